#include "intake_forwards.h"

#include <utility>
#include <vector>

namespace azurespur::cell {

namespace {

constexpr size_t kMaxRecordBytes = 32 << 10;
// Doubles with each try: a slow log takes its time, and the first repeats are
// for lost messages.
constexpr base::Millis kRepeatAfter{120};
constexpr int kMaxTries = 4;
// An unanswered VM that is not heard any more will not answer.
constexpr base::Millis kPatience{400};

}  // namespace

bool IntakeForwards::Fits(std::string_view record) {
  return record.size() <= kMaxRecordBytes;
}

void IntakeForwards::Start(std::string record,
                           bool uncertain,
                           base::MonoTime deadline,
                           base::MonoTime now,
                           Done done) {
  const uint64_t id = m_next_id++;
  Item& item = m_items[id];
  item.record = std::move(record);
  item.uncertain = uncertain;
  item.began_at = now;
  item.next_try = now + kRepeatAfter;
  item.deadline = deadline;
  item.done = std::move(done);
  m_send(id, item.record, base::Millis{base::MillisBetween(now, deadline)});
}

void IntakeForwards::OnOutcome(uint64_t id, StoreOutcome outcome) {
  const auto found = m_items.find(id);
  if (found == m_items.end()) {
    return;
  }
  // Another try of this VM, or an earlier message, may still be carried out.
  const bool may_be_stored = found->second.uncertain || found->second.tries > 1;
  if (outcome == StoreOutcome::kNotStored && may_be_stored) {
    outcome = StoreOutcome::kUnknown;
  }
  Finish(id, outcome);
}

void IntakeForwards::Tick(base::MonoTime now, bool reachable) {
  std::vector<uint64_t> over;
  for (auto& [id, item] : m_items) {
    const bool gone = !reachable && now >= item.began_at + kPatience;
    if (now >= item.deadline || gone) {
      over.push_back(id);
    } else if (now >= item.next_try && item.tries < kMaxTries) {
      item.next_try = now + kRepeatAfter * (1 << item.tries);
      ++item.tries;
      m_send(id, item.record,
             base::Millis{base::MillisBetween(now, item.deadline)});
    }
  }
  for (uint64_t id : over) {
    Finish(id, StoreOutcome::kUnknown);
  }
}

void IntakeForwards::Finish(uint64_t id, StoreOutcome outcome) {
  const auto node = m_items.extract(id);
  node.mapped().done(outcome);
}

}  // namespace azurespur::cell
