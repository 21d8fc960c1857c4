#include "view_waiters.h"

#include <algorithm>
#include <utility>

namespace azurespur::cell {

namespace {

constexpr size_t kMaxWaiters = 1024;

}  // namespace

bool ViewWaiters::Add(const ViewRequirement& requirement,
                      base::MonoTime deadline,
                      Done done) {
  if (m_waiters.size() >= kMaxWaiters) {
    return false;
  }
  m_waiters.push_back({requirement, deadline, std::move(done)});
  return true;
}

void ViewWaiters::Tick(const ViewTimes& view,
                       const IsKnown& is_known,
                       base::MonoTime now) {
  // A callback may add a question, so the list is complete before any runs.
  std::vector<Waiter> ended;
  std::vector<Waiter> waiting;
  for (Waiter& waiter : m_waiters) {
    const auto& job = waiter.requirement.job;
    const bool ends = IsCurrent(view, waiter.requirement, now) ||
                      now >= waiter.deadline || (job && is_known(*job));
    (ends ? ended : waiting).push_back(std::move(waiter));
  }
  m_waiters = std::move(waiting);
  for (const Waiter& waiter : ended) {
    waiter.done(IsCurrent(view, waiter.requirement, now));
  }
}

ViewWaiters::Missing ViewWaiters::FindMissing(const ViewTimes& view,
                                              base::MonoTime now) const {
  Missing missing;
  for (const Waiter& waiter : m_waiters) {
    const ViewRequirement& needed = waiter.requirement;
    missing.intake = missing.intake || !IsCurrent(view.intake, needed, now);
    missing.work = missing.work ||
                   (needed.needs_work && !IsCurrent(view.work, needed, now));
  }
  return missing;
}

}  // namespace azurespur::cell
