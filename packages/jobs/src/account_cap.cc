#include "jobs/account_cap.h"

#include <limits>

namespace azurespur::jobs {

namespace {

int64_t RoomOf(int64_t cap, int64_t in_use) {
  return cap > 0 ? cap - in_use : std::numeric_limits<int64_t>::max();
}

}  // namespace

placement::Resources RoomUnderCap(const placement::Resources& cap,
                                  const placement::Resources& in_use) {
  return {RoomOf(cap.cpu_millis, in_use.cpu_millis),
          RoomOf(cap.memory_mb, in_use.memory_mb),
          RoomOf(cap.accelerators, in_use.accelerators)};
}

bool NeverFitsCap(const StepSpec& step, const placement::Resources& cap) {
  const int64_t needed = step.gang ? step.count : 1;
  return placement::CountFitting(step.demand, RoomUnderCap(cap, {}), needed) <
         needed;
}

std::optional<size_t> FindStepBeyondCap(const Job& job,
                                        const CellPolicy& policy) {
  const auto account = policy.accounts.find(job.spec.account);
  if (account == policy.accounts.end()) {
    return std::nullopt;
  }
  for (size_t s = 0; s < job.steps.size(); ++s) {
    const auto count = static_cast<int32_t>(job.steps[s].tasks.size());
    if (job.steps[s].done < count &&
        NeverFitsCap(job.spec.steps[s], account->second.cap)) {
      return s;
    }
  }
  return std::nullopt;
}

}  // namespace azurespur::jobs
