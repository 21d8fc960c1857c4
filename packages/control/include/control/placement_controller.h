// Places the pending tasks of this VM's domain on the workers that it owns.

#ifndef CONTROL_PLACEMENT_CONTROLLER_H_
#define CONTROL_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "base/clock.h"
#include "base/mailbox.h"
#include "control/run_listener.h"
#include "control/vm_identity.h"
#include "placement/job_key.h"
#include "placement/scheduler.h"
#include "placement/worker_health.h"
#include "wire/log_entry.h"

namespace azurespur::base {
class Counter;
class Distribution;
class Metrics;
}  // namespace azurespur::base

namespace azurespur::control {

class ListsView;
class LogChannel;
class PeerBus;
class ProposalBoard;
class RunController;
class StartFailures;
class TaskLedger;
class VmDirectory;
class WorkerFleet;
struct ListsSnapshot;

struct PlacementControllerOptions {
  base::Millis append_deadline{10000};
  // Longest time between passes while tasks wait.
  base::Millis pass_interval{200};
  // How often quotas and other domains' claims are looked at.
  base::Millis review_interval{1000};
  // A task that waits longer for room may be claimed by another domain.
  base::Millis give_back_after{60000};
  // A domain none of whose VMs was heard for this long loses its claims on
  // tasks that are not bound.
  base::Millis claim_after{30000};
  // A gang that waits longer makes VMs other than the lowest rank yield their
  // workers, at most once in `yield_interval`.
  base::Millis gang_wait{10000};
  base::Millis yield_interval{60000};
  // How long all tasks of a job that fails everywhere are failed.
  base::Millis failed_job_memory{60000};
  // Between two moves off one overloaded worker.
  base::Millis relief_interval{5000};
  size_t most_claims_per_review = 256;
  size_t most_reasons_noted = 1000;
  placement::SchedulerOptions scheduler;
  placement::HealthLimits health;
};

struct PlacementControllerDeps {
  LogChannel& log;
  TaskLedger& ledger;
  ListsView& lists;
  VmDirectory& directory;
  PeerBus& peers;
  WorkerFleet& fleet;
  // Shared with the calls in flight, which may end after their caller.
  std::shared_ptr<base::Mailbox> mailbox;
  const base::Clock& clock;
  base::Metrics& metrics;
  VmIdentity identity;
  ProposalBoard* proposals;  // Null: proposals are only logged.
};

// Runs on the controllers' thread only.
class PlacementController : public RunListener {
 public:
  PlacementController(const PlacementControllerDeps& deps,
                      const PlacementControllerOptions& options);
  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;
  ~PlacementController() override;

  // Called once, before any other call.
  void SetRuns(RunController& runs) { m_runs = &runs; }

  void OnWorkerChanged(const std::string& worker) override;
  void OnRunCreated(const TaskRun& run) override;
  void OnRunEnded(const std::string& id) override;
  void OnMemberFailed(const TaskRun& run, const MemberRun& member) override;
  void OnMemberFinished(const TaskRun& run, const MemberRun& member) override;

  void OnTaskChanged(const TaskState& task);
  void OnTaskGone(const std::string& id);

  void Tick();

  size_t PendingCount() const { return m_scheduler.queue().size(); }
  // Why a task waited at the last review; empty if it is not known. Any thread.
  std::string WaitReason(const std::string& id) const;
  size_t QuarantinedCount() const { return m_health.QuarantinedCount(); }

 private:
  void Review();
  void NoteWaitReasons();
  void SyncAllowances(const ListsSnapshot& lists);
  void ClaimForeignTasks();
  void GiveBackOldTasks();
  void DropLostBindings();
  void YieldToGangs();
  bool WaitedFor(const placement::TaskDemand& demand, base::Millis wait) const;
  void Claim(const TaskState& task);
  void GiveBack(const TaskState& task, std::string reason);
  void RunPass();
  void Bind(const placement::StartDecision& start);
  void OnBound(const std::string& id);
  void FailUnbound(const std::string& id, const std::string& reason);
  void Preempt(const placement::PreemptionPlan& plan);
  bool MayDisrupt(const std::string& task,
                  std::string_view action,
                  const std::string& reason);
  void UpdateCell(const std::string& worker);
  void MoveOff(const std::string& worker, const std::string& reason);
  void RelieveOverload(const std::string& worker);
  void SubmitToScheduler(const TaskState& task);
  void RetryFailed();
  bool Append(wire::EntryKind kind, std::string payload);
  int64_t NowMillis() const;

  struct Binding {
    placement::Placement placement;
    placement::Resources size;
    base::MonoTime given_up_at;  // When its answer must have been lost.
  };

  const PlacementControllerDeps m_deps;
  const PlacementControllerOptions m_options;
  RunController* m_runs = nullptr;
  placement::Scheduler m_scheduler;
  placement::WorkerHealth m_health;
  std::unique_ptr<StartFailures> m_start_failures;
  std::unordered_map<std::string, Binding> m_bindings;  // Record under way.
  std::set<std::string> m_stale_workers;
  std::unordered_set<std::string> m_probes;
  std::map<placement::JobKey, base::MonoTime> m_failed_jobs;
  std::map<std::string, base::MonoTime> m_relieved_at;
  mutable std::mutex m_reasons_mutex;
  std::map<std::string, std::string> m_reasons;
  uint64_t m_list_version = 0;
  uint64_t m_allowances_version = 0;
  bool m_changed = true;
  base::MonoTime m_passed_at;
  base::MonoTime m_reviewed_at;
  base::MonoTime m_yield_at;
  base::Counter& m_binds;
  base::Counter& m_pending_gauge;
  base::Counter& m_quarantined_gauge;
  base::Distribution& m_pass_us;
};

}  // namespace azurespur::control

#endif  // CONTROL_PLACEMENT_CONTROLLER_H_
