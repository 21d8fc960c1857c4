#include "received_forwards.h"

#include <algorithm>

namespace azurespur::cell {

ForwardReceipt ReceivedForwards::Receive(std::string_view reply_to,
                                         uint64_t id,
                                         base::MonoTime deadline) {
  const Key key(reply_to, id);
  const auto found = m_records.find(key);
  if (found != m_records.end()) {
    const auto& outcome = found->second.outcome;
    return outcome ? ForwardReceipt{ForwardStep::kAnswer, *outcome}
                   : ForwardReceipt{ForwardStep::kWait};
  }
  // A refusal that isn't kept wouldn't hold for a later copy.
  if (m_records.size() >= m_max_records) {
    return {ForwardStep::kAnswer, StoreOutcome::kUnknown};
  }
  m_records[key].keep_until = deadline;
  return {ForwardStep::kStore};
}

// A copy that is stored after its sender stopped waiting does no harm unless
// the record was refused: the job was accepted, or may have been.
void ReceivedForwards::Finish(std::string_view reply_to,
                              uint64_t id,
                              StoreOutcome outcome,
                              base::MonoTime now) {
  const auto found = m_records.find(Key(reply_to, id));
  if (found == m_records.end()) {
    return;
  }
  ReceivedRecord& record = found->second;
  record.outcome = outcome;
  if (outcome == StoreOutcome::kNotStored) {
    record.keep_until = std::max(record.keep_until, now + m_keep_refusals);
  }
}

void ReceivedForwards::RemoveExpired(base::MonoTime now) {
  std::erase_if(m_records, [now](const auto& entry) {
    const ReceivedRecord& record = entry.second;
    return record.outcome && record.keep_until <= now;
  });
}

}  // namespace azurespur::cell
