// Calls that wait until a requirement is met, each with a deadline. Does no I/O
// and reads no clock.

#ifndef CELL_SRC_DEADLINE_WAITERS_H_
#define CELL_SRC_DEADLINE_WAITERS_H_

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace azurespur::cell {

template <typename Requirement>
class DeadlineWaiters {
 public:
  // `met` is false if the requirement is not met.
  using Done = std::function<void(bool met)>;

  // Returns false if too many calls wait; `done` is then not called.
  bool Add(const Requirement& requirement, base::MonoTime deadline, Done done) {
    if (m_waiters.size() >= kMaxWaiters) {
      return false;
    }
    m_waiters.push_back({requirement, deadline, std::move(done)});
    return true;
  }

  // Ends the calls whose requirement `is_met`, for which `ends` is true, or
  // whose deadline has passed.
  template <typename IsMet, typename Ends>
  void Tick(const IsMet& is_met, const Ends& ends, base::MonoTime now) {
    // A callback may add a call, so the list is complete before any runs.
    std::vector<Waiter> ended;
    std::vector<Waiter> waiting;
    for (Waiter& waiter : m_waiters) {
      const bool over = is_met(waiter.requirement) || now >= waiter.deadline ||
                        ends(waiter.requirement);
      (over ? ended : waiting).push_back(std::move(waiter));
    }
    m_waiters = std::move(waiting);
    for (const Waiter& waiter : ended) {
      waiter.done(is_met(waiter.requirement));
    }
  }

  template <typename Visit>
  void ForEach(const Visit& visit) const {
    for (const Waiter& waiter : m_waiters) {
      visit(waiter.requirement);
    }
  }

  bool empty() const { return m_waiters.empty(); }

 private:
  static constexpr size_t kMaxWaiters = 1024;

  struct Waiter {
    Requirement requirement;
    base::MonoTime deadline{};
    Done done;
  };

  std::vector<Waiter> m_waiters;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_DEADLINE_WAITERS_H_
