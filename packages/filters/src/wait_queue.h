// Requests that wait for a slot: one queue per class, fair queueing among the
// plans of a class, and within a plan the earliest latest start first.

#ifndef FILTERS_WAIT_QUEUE_H_
#define FILTERS_WAIT_QUEUE_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "control/allowance.h"
#include "work_item.h"

namespace azurespur::filters {

inline constexpr size_t kRequestClasses = 3;

// Start-time fair queueing over the plans of one class. Each dispatched request
// advances the virtual time of its plan by its expected run time divided by its
// weight. The plan with the lowest virtual time is served first.
class FairQueue {
 public:
  void Push(WorkItem item);
  std::optional<WorkItem> Pop(double expected_run_ms);

  // Returns the request that Pop() would return, or null.
  const WorkItem* Peek() const;

  // Returns the number of requests that would be served before a new one of
  // `plan` if all plans had the same weight and run time.
  size_t CountAhead(const std::string& plan) const;

  // Moves the requests whose latest start is at or before `now` to `expired`.
  void RemoveExpired(base::MonoTime now, std::vector<WorkItem>& expired);

  size_t size() const { return m_size; }

 private:
  struct PlanQueue {
    double virtual_time = 0;
    std::multimap<base::MonoTime, WorkItem> items;  // By latest start.
  };
  using Active = std::set<std::pair<double, std::string>>;

  size_t m_size = 0;
  double m_virtual_time = 0;
  std::map<std::string, PlanQueue> m_plans;
  Active m_active;  // Plans with items, by virtual time.
};

class WaitQueue {
 public:
  void Push(WorkItem item);

  FairQueue& Class(control::RequestClass request_class);
  const FairQueue& Class(control::RequestClass request_class) const;
  std::vector<WorkItem> RemoveExpired(base::MonoTime now);

  size_t size() const;

 private:
  std::array<FairQueue, kRequestClasses> m_classes;
};

}  // namespace azurespur::filters

#endif  // FILTERS_WAIT_QUEUE_H_
