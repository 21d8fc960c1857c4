#include "view_waiters.h"

namespace azurespur::cell {

void ViewWaiters::Tick(const ViewTimes& view,
                       const IsKnown& is_known,
                       base::MonoTime now) {
  m_waiters.Tick(
      [&view, now](const ViewRequirement& needed) {
        return IsCurrent(view, needed, now);
      },
      [&is_known](const ViewRequirement& needed) {
        return needed.job && is_known(*needed.job);
      },
      now);
}

ViewWaiters::Missing ViewWaiters::FindMissing(const ViewTimes& view,
                                              base::MonoTime now) const {
  Missing missing;
  m_waiters.ForEach([&](const ViewRequirement& needed) {
    missing.intake = missing.intake || !IsCurrent(view.intake, needed, now);
    missing.work = missing.work ||
                   (needed.needs_work && !IsCurrent(view.work, needed, now));
  });
  return missing;
}

}  // namespace azurespur::cell
