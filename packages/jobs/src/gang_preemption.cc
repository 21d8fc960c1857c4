#include "gang_preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace azurespur::jobs {

namespace {

// Of a stop, an advice query where one is needed, and the next start.
constexpr int64_t kRestartMs = 500;
// Runs that save their progress do so more often.
constexpr int64_t kMaxUnsavedMs = 10'000;

// Victims on one worker whose stop gives the worker slots for more members.
struct PreemptionOption {
  size_t candidate = 0;
  int64_t slots = 0;  // Slots of the worker after the stop.
  int64_t added = 0;
  int64_t loss = 0;  // Total of the victims.
  std::vector<TaskRef> victims;
};

bool IsPreemptible(const Run& run, int32_t priority) {
  return run.preemptible && run.priority > priority && !run.stop_requested &&
         run.phase == RunPhase::kRunning;
}

// Time that the run's task has to run again, and that its restart takes.
int64_t LostMs(const Run& run, base::MonoTime now) {
  if (!run.checkpoint.empty()) {
    return kRestartMs;
  }
  // A former leader started it, which this one took over some time ago.
  if (run.started_at == base::MonoTime{}) {
    return kRestartMs + kMaxUnsavedMs;
  }
  return kRestartMs +
         std::clamp<int64_t>(base::MillisBetween(run.started_at, now), 0,
                             kMaxUnsavedMs);
}

struct Victim {
  TaskRef task;
  placement::Resources demand;
  int64_t lost_ms = 0;
};

// Least lost time first; among equal ones the largest, so that few are stopped.
std::vector<Victim> PreemptibleCheapestFirst(const Worker& worker,
                                             const GangRequest& request) {
  std::vector<Victim> victims;
  for (const auto& [task, run] : worker.runs) {
    if (IsPreemptible(run, request.priority)) {
      victims.push_back({task, run.demand, LostMs(run, request.now)});
    }
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [](const Victim& a, const Victim& b) {
                     return std::tuple(a.lost_ms, -a.demand.cpu_millis) <
                            std::tuple(b.lost_ms, -b.demand.cpu_millis);
                   });
  return victims;
}

int64_t CountSlots(const PreemptionCandidate& candidate,
                   const placement::Resources& free,
                   const placement::Resources& demand) {
  return placement::CountFitting(demand, free, candidate.max_slots);
}

// Each option of a candidate includes the victims of the options before it.
void AddOptions(size_t index,
                const PreemptionCandidate& candidate,
                const GangRequest& request,
                std::vector<PreemptionOption>& options) {
  placement::Resources free = candidate.free;
  int64_t slots = CountSlots(candidate, free, request.demand);
  PreemptionOption option;
  option.candidate = index;
  for (const Victim& victim :
       PreemptibleCheapestFirst(*candidate.worker, request)) {
    free = placement::Add(free, victim.demand);
    option.victims.push_back(victim.task);
    option.loss += victim.demand.cpu_millis * victim.lost_ms;
    const int64_t now_slots = CountSlots(candidate, free, request.demand);
    if (now_slots > slots) {
      option.slots = now_slots;
      option.added = now_slots - slots;
      options.push_back(option);
      slots = now_slots;
    }
  }
}

bool CheaperPerSlot(const PreemptionOption& a, const PreemptionOption& b) {
  return a.loss * b.added < b.loss * a.added;
}

}  // namespace

std::vector<WorkerPreemption> PlanGangPreemption(
    std::span<const PreemptionCandidate> candidates,
    const GangRequest& request) {
  std::vector<WorkerPreemption> plans(candidates.size());
  std::vector<PreemptionOption> options;
  int64_t slots = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    plans[i].worker = candidates[i].worker;
    plans[i].slots =
        CountSlots(candidates[i], candidates[i].free, request.demand);
    slots += plans[i].slots;
    AddOptions(i, candidates[i], request, options);
  }
  std::stable_sort(options.begin(), options.end(), CheaperPerSlot);
  for (const PreemptionOption& option : options) {
    WorkerPreemption& plan = plans[option.candidate];
    if (slots >= request.members) {
      break;
    }
    if (option.slots > plan.slots) {
      slots += option.slots - plan.slots;
      plan.slots = option.slots;
      plan.victims = option.victims;
    }
  }
  if (slots < request.members) {
    return {};
  }
  std::erase_if(plans,
                [](const WorkerPreemption& plan) { return plan.slots == 0; });
  // Workers with victims come first, so that the freed capacity is used.
  std::stable_sort(plans.begin(), plans.end(),
                   [](const WorkerPreemption& a, const WorkerPreemption& b) {
                     return !a.victims.empty() && b.victims.empty();
                   });
  int64_t left = request.members;
  for (WorkerPreemption& plan : plans) {
    plan.slots = std::min(plan.slots, left);
    left -= plan.slots;
  }
  std::erase_if(plans,
                [](const WorkerPreemption& plan) { return plan.slots == 0; });
  return plans;
}

}  // namespace azurespur::jobs
