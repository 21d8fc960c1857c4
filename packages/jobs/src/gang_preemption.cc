#include "gang_preemption.h"

#include <algorithm>
#include <utility>

namespace azurespur::jobs {

namespace {

// Stopping these victims of a site makes room for more members.
struct Gain {
  size_t site = 0;
  int64_t slots = 0;  // That the site then has.
  int64_t added = 0;
  int64_t cpu_millis = 0;  // Of the victims.
  std::vector<TaskRef> victims;
};

bool MayStop(const Run& run, int32_t priority) {
  return run.preemptible && run.priority > priority && !run.stop_wanted &&
         run.phase == RunPhase::kRunning;
}

std::vector<std::pair<TaskRef, placement::Resources>> LargestFirst(
    const Worker& worker,
    int32_t priority) {
  std::vector<std::pair<TaskRef, placement::Resources>> runs;
  for (const auto& [task, run] : worker.runs) {
    if (MayStop(run, priority)) {
      runs.emplace_back(task, run.demand);
    }
  }
  std::stable_sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
    return a.second.cpu_millis > b.second.cpu_millis;
  });
  return runs;
}

int64_t CountSlots(const GangSite& site,
                   const placement::Resources& room,
                   const placement::Resources& demand) {
  return placement::CountFitting(demand, room, site.most_slots);
}

// Each gain of a site includes the victims of those before it.
void AddGains(size_t index,
              const GangSite& site,
              const GangNeed& need,
              std::vector<Gain>& gains) {
  placement::Resources room = site.room;
  int64_t slots = CountSlots(site, room, need.demand);
  Gain gain;
  gain.site = index;
  for (const auto& [task, demand] : LargestFirst(*site.worker, need.priority)) {
    room = placement::Add(room, demand);
    gain.victims.push_back(task);
    gain.cpu_millis += demand.cpu_millis;
    const int64_t now_slots = CountSlots(site, room, need.demand);
    if (now_slots > slots) {
      gain.slots = now_slots;
      gain.added = now_slots - slots;
      gains.push_back(gain);
      slots = now_slots;
    }
  }
}

bool CheaperPerSlot(const Gain& a, const Gain& b) {
  return a.cpu_millis * b.added < b.cpu_millis * a.added;
}

}  // namespace

std::vector<SitePlan> PlanGangPreemption(std::span<const GangSite> sites,
                                         const GangNeed& need) {
  std::vector<SitePlan> plans(sites.size());
  std::vector<Gain> gains;
  int64_t slots = 0;
  for (size_t i = 0; i < sites.size(); ++i) {
    plans[i].worker = sites[i].worker;
    plans[i].slots = CountSlots(sites[i], sites[i].room, need.demand);
    slots += plans[i].slots;
    AddGains(i, sites[i], need, gains);
  }
  std::stable_sort(gains.begin(), gains.end(), CheaperPerSlot);
  for (const Gain& gain : gains) {
    SitePlan& plan = plans[gain.site];
    if (slots >= need.members) {
      break;
    }
    if (gain.slots > plan.slots) {
      slots += gain.slots - plan.slots;
      plan.slots = gain.slots;
      plan.victims = gain.victims;
    }
  }
  if (slots < need.members) {
    return {};
  }
  std::erase_if(plans, [](const SitePlan& plan) { return plan.slots == 0; });
  // Sites with victims first, so that what was stopped is surely used.
  std::stable_sort(plans.begin(), plans.end(),
                   [](const SitePlan& a, const SitePlan& b) {
                     return !a.victims.empty() && b.victims.empty();
                   });
  int64_t left = need.members;
  for (SitePlan& plan : plans) {
    plan.slots = std::min(plan.slots, left);
    left -= plan.slots;
  }
  std::erase_if(plans, [](const SitePlan& plan) { return plan.slots == 0; });
  return plans;
}

}  // namespace azurespur::jobs
