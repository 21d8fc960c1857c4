// Questions that wait until this VM's view of the streams is current enough to
// answer them. Does no I/O and reads no clock.

#ifndef CELL_SRC_VIEW_WAITERS_H_
#define CELL_SRC_VIEW_WAITERS_H_

#include <functional>
#include <utility>

#include "base/clock.h"
#include "deadline_waiters.h"
#include "view_requirement.h"

namespace azurespur::cell {

class ViewWaiters {
 public:
  using Done = DeadlineWaiters<ViewRequirement>::Done;

  using IsKnown = std::function<bool(jobs::JobId)>;

  // Which streams must be read for the waiting questions.
  struct Missing {
    bool intake = false;
    bool work = false;
  };

  // Returns false if too many questions wait; `done` is then not called.
  bool Add(const ViewRequirement& requirement,
           base::MonoTime deadline,
           Done done) {
    return m_waiters.Add(requirement, deadline, std::move(done));
  }

  // Ends the questions whose requirement is met, whose job is known or whose
  // deadline has passed.
  void Tick(const ViewTimes& view, const IsKnown& is_known, base::MonoTime now);

  Missing FindMissing(const ViewTimes& view, base::MonoTime now) const;

 private:
  DeadlineWaiters<ViewRequirement> m_waiters;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_VIEW_WAITERS_H_
