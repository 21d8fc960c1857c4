// Calls that wait until this VM's policy is known to be the newest, or is
// replaced by a newer one. Does no I/O and reads no clock.

#ifndef CELL_SRC_POLICY_WAITERS_H_
#define CELL_SRC_POLICY_WAITERS_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "cell/cell_node.h"
#include "deadline_waiters.h"

namespace azurespur::cell {

// What this VM knows of its policy.
struct PolicyView {
  int64_t version = 0;                  // 0: no policy.
  std::optional<base::MonoTime> as_of;  // When it was last the newest.
  bool outdated = false;                // Another VM has a newer one.
};

bool MeetsRequirement(const PolicyView& view,
                      const PolicyRequirement& requirement,
                      base::MonoTime now);

class PolicyWaiters {
 public:
  using Done = DeadlineWaiters<PolicyRequirement>::Done;

  // Returns false if too many calls wait; `done` is then not called.
  bool Add(const PolicyRequirement& requirement,
           base::MonoTime deadline,
           Done done) {
    return m_waiters.Add(requirement, deadline, std::move(done));
  }

  // Ends the calls whose requirement is met or whose deadline has passed.
  void Tick(const PolicyView& view, base::MonoTime now);

  bool empty() const { return m_waiters.empty(); }

 private:
  DeadlineWaiters<PolicyRequirement> m_waiters;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_POLICY_WAITERS_H_
