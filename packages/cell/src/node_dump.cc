#include "node_dump.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace azurespur::cell {

namespace {

nlohmann::json DumpJob(const jobs::Job& job) {
  nlohmann::json steps = nlohmann::json::array();
  for (const jobs::StepProgress& step : job.steps) {
    steps.push_back({{"tasks", step.tasks.size()},
                     {"done", step.done},
                     {"bound", step.bound},
                     {"failed_runs", step.failed_runs}});
  }
  return {{"job", jobs::FormatJobId(job.spec.id)},
          {"queue", job.spec.queue},
          {"state", jobs::JobStateName(job.state)},
          {"steps", steps}};
}

nlohmann::json DumpResources(const placement::Resources& resources) {
  return {{"cpu_millis", resources.cpu_millis},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

nlohmann::json DumpAccount(const jobs::AccountLoad& load) {
  return {{"weight", load.weight},
          {"cap", DumpResources(load.cap)},
          {"in_use", DumpResources(load.in_use)},
          {"entitled_cpu_millis", load.entitled.cpu_millis},
          {"waiting_tasks", load.waiting_tasks},
          {"running_tasks", load.running_tasks}};
}

nlohmann::json DumpWorker(const jobs::Worker& worker, base::MonoTime now) {
  const placement::Resources free = jobs::FreeCapacity(worker);
  return {{"worker", worker.entry.boot.id},
          {"takes_tasks", jobs::AcceptsTasks(worker, now)},
          {"runs", worker.runs.size()},
          {"slowness", std::exp(worker.estimate.log_slowness)},
          {"slowness_deviation", worker.estimate.deviation},
          {"timed_runs", worker.estimate.runs},
          {"speed_used", worker.speed.slowness_bound != 1},
          {"free_cpu_millis", free.cpu_millis},
          {"free_memory_mb", free.memory_mb},
          {"lease_left_ms", base::MillisBetween(now, worker.lease_expires_at)}};
}

}  // namespace

std::string DumpNode(const NodeView& view,
                     const jobs::JobTable& table,
                     const jobs::Scheduler* scheduler,
                     base::MonoTime now) {
  nlohmann::json dump = {{"vm", view.vm},
                         {"leading", view.leading},
                         {"ready", view.ready},
                         {"leader", view.leader.vm},
                         {"epoch", view.leader.epoch},
                         {"intake_next", view.intake_next},
                         {"work_next", view.work_next},
                         {"intake_age_ms", view.intake_age_ms},
                         {"work_age_ms", view.work_age_ms},
                         {"policy_version", view.policy_version}};
  nlohmann::json jobs = nlohmann::json::array();
  for (const auto& [id, job] : table.jobs()) {
    jobs.push_back(DumpJob(job));
  }
  dump["jobs"] = std::move(jobs);
  if (scheduler != nullptr) {
    nlohmann::json workers = nlohmann::json::array();
    for (const auto& [id, worker] : scheduler->fleet().workers()) {
      workers.push_back(DumpWorker(worker, now));
    }
    dump["workers"] = std::move(workers);
    nlohmann::json accounts = nlohmann::json::object();
    for (const jobs::AccountLoad& load : scheduler->account_loads()) {
      accounts[load.account] = DumpAccount(load);
    }
    dump["accounts"] = std::move(accounts);
  }
  // Names come from other writers, and need not be UTF-8.
  return dump.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace azurespur::cell
