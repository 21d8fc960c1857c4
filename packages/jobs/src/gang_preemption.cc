#include "gang_preemption.h"

#include <algorithm>
#include <utility>

namespace azurespur::jobs {

namespace {

// Victims on one worker whose stop gives the worker slots for more members.
struct PreemptionOption {
  size_t candidate = 0;
  int64_t slots = 0;  // Slots of the worker after the stop.
  int64_t added = 0;
  int64_t cpu_millis = 0;  // Total of the victims.
  std::vector<TaskRef> victims;
};

bool IsPreemptible(const Run& run, int32_t priority) {
  return run.preemptible && run.priority > priority && !run.stop_requested &&
         run.phase == RunPhase::kRunning;
}

std::vector<std::pair<TaskRef, placement::Resources>> PreemptibleLargestFirst(
    const Worker& worker,
    int32_t priority) {
  std::vector<std::pair<TaskRef, placement::Resources>> runs;
  for (const auto& [task, run] : worker.runs) {
    if (IsPreemptible(run, priority)) {
      runs.emplace_back(task, run.demand);
    }
  }
  std::stable_sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
    return a.second.cpu_millis > b.second.cpu_millis;
  });
  return runs;
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
  for (const auto& [task, demand] :
       PreemptibleLargestFirst(*candidate.worker, request.priority)) {
    free = placement::Add(free, demand);
    option.victims.push_back(task);
    option.cpu_millis += demand.cpu_millis;
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
  return a.cpu_millis * b.added < b.cpu_millis * a.added;
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
