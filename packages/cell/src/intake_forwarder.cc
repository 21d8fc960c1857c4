#include "intake_forwarder.h"

#include <utility>
#include <vector>

namespace azurespur::cell {

namespace {

constexpr size_t kMaxRecordBytes = 32 << 10;
// The delay doubles with each attempt: early retries replace lost messages, and
// later ones give a slow log time to answer.
constexpr base::Millis kFirstRetryDelay{120};
constexpr int kMaxAttempts = 4;
// A record is given up after this time if the leader isn't heard any more.
constexpr base::Millis kUnreachableTimeout{400};

}  // namespace

bool IntakeForwarder::Fits(std::string_view record) {
  return record.size() <= kMaxRecordBytes;
}

void IntakeForwarder::Start(std::string record,
                            bool uncertain,
                            base::MonoTime deadline,
                            base::MonoTime now,
                            Done done) {
  const uint64_t id = m_next_id++;
  ForwardedRecord& forwarded = m_records[id];
  forwarded.record = std::move(record);
  forwarded.uncertain = uncertain;
  forwarded.started_at = now;
  forwarded.next_retry = now + kFirstRetryDelay;
  forwarded.deadline = deadline;
  forwarded.done = std::move(done);
  m_send(id, forwarded.record,
         base::Millis{base::MillisBetween(now, deadline)});
}

void IntakeForwarder::OnOutcome(uint64_t id, StoreOutcome outcome) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    return;
  }
  // This VM's own append, or an earlier message, may still take effect.
  const bool may_be_stored =
      found->second.uncertain || found->second.attempts > 1;
  if (outcome == StoreOutcome::kNotStored && may_be_stored) {
    outcome = StoreOutcome::kUnknown;
  }
  Finish(id, outcome);
}

void IntakeForwarder::Tick(base::MonoTime now, bool reachable) {
  std::vector<uint64_t> expired;
  for (auto& [id, forwarded] : m_records) {
    const bool unreachable =
        !reachable && now >= forwarded.started_at + kUnreachableTimeout;
    if (now >= forwarded.deadline || unreachable) {
      expired.push_back(id);
    } else if (now >= forwarded.next_retry &&
               forwarded.attempts < kMaxAttempts) {
      forwarded.next_retry = now + kFirstRetryDelay * (1 << forwarded.attempts);
      ++forwarded.attempts;
      m_send(id, forwarded.record,
             base::Millis{base::MillisBetween(now, forwarded.deadline)});
    }
  }
  for (uint64_t id : expired) {
    Finish(id, StoreOutcome::kUnknown);
  }
}

void IntakeForwarder::Finish(uint64_t id, StoreOutcome outcome) {
  const auto node = m_records.extract(id);
  node.mapped().done(outcome);
}

}  // namespace azurespur::cell
