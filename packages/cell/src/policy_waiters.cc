#include "policy_waiters.h"

namespace azurespur::cell {

bool MeetsRequirement(const PolicyView& view,
                      const PolicyRequirement& requirement,
                      base::MonoTime now) {
  if (view.version > requirement.newer_than) {
    return true;
  }
  return view.as_of && !view.outdated &&
         now <= *view.as_of + requirement.max_age;
}

void PolicyWaiters::Tick(const PolicyView& view, base::MonoTime now) {
  m_waiters.Tick(
      [&view, now](const PolicyRequirement& requirement) {
        return MeetsRequirement(view, requirement, now);
      },
      [](const PolicyRequirement&) { return false; }, now);
}

}  // namespace azurespur::cell
