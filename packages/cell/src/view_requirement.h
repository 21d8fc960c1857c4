// How current the applied streams must be for an answer from the job table.

#ifndef CELL_SRC_VIEW_REQUIREMENT_H_
#define CELL_SRC_VIEW_REQUIREMENT_H_

#include <optional>

#include "base/clock.h"
#include "jobs/job_id.h"

namespace azurespur::cell {

// The times as of which the streams are applied completely; empty if unknown.
struct ViewTimes {
  std::optional<base::MonoTime> intake;
  std::optional<base::MonoTime> work;
};

// A limit that is not set is met by any view, and by an unknown age too.
struct ViewRequirement {
  std::optional<base::Millis> max_age;
  std::optional<base::MonoTime> not_before;
  bool needs_work = true;  // False if the intake stream alone decides.
  // If set, the question is also answered once this job is known.
  std::optional<jobs::JobId> job;
};

inline bool IsCurrent(const std::optional<base::MonoTime>& as_of,
                      const ViewRequirement& requirement,
                      base::MonoTime now) {
  const bool young =
      !requirement.max_age || (as_of && now <= *as_of + *requirement.max_age);
  const bool late_enough =
      !requirement.not_before || (as_of && *as_of >= *requirement.not_before);
  return young && late_enough;
}

inline bool IsCurrent(const ViewTimes& view,
                      const ViewRequirement& requirement,
                      base::MonoTime now) {
  return IsCurrent(view.intake, requirement, now) &&
         (!requirement.needs_work || IsCurrent(view.work, requirement, now));
}

}  // namespace azurespur::cell

#endif  // CELL_SRC_VIEW_REQUIREMENT_H_
