// Runs bound tasks on the workers that this VM owns, from the first message to
// the record of their end; adopts those of earlier owners.

#ifndef CONTROL_RUN_CONTROLLER_H_
#define CONTROL_RUN_CONTROLLER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/mailbox.h"
#include "control/fleet_listener.h"
#include "control/task_run.h"
#include "control/vm_identity.h"
#include "control/worker_fleet.h"
#include "placement/worker_state.h"
#include "wire/log_entry.h"

namespace azurespur::control {

class LogChannel;
class RunListener;
class TaskLedger;
struct UnstartedBinding;

struct RunControllerOptions {
  base::Millis append_deadline{10000};
  base::Millis append_retry{500};
  base::Millis call_retry{500};
  // A start or stop unanswered for longer than this counts as unanswered.
  base::Millis call_timeout{2000};
  // See SettleFromReport().
  base::Millis settle{6000};
  // How long room is kept for a start without an answer: it may still land.
  base::Millis late_start_hold{15000};
  // How long a worker must be off the VM list before a process takes the tasks
  // bound to it as over if it never saw the boot that they were bound in.
  base::Millis removal_grace{30000};
  // How long a run waits for a worker that another VM owns.
  base::Millis split_run_wait{12000};
  // How long an intent stays on its worker; see IntentId().
  base::Millis intent_lease{1800000};
};

struct RunControllerDeps {
  LogChannel& log;
  TaskLedger& ledger;
  services::WorkerClient& workers;
  WorkerFleet& fleet;
  // Shared with the calls in flight, which may end after their caller.
  std::shared_ptr<base::Mailbox> mailbox;
  const base::Clock& clock;
  base::Metrics& metrics;
  VmIdentity identity;
};

// Runs on the controllers' thread only.
class RunController : public FleetListener {
 public:
  RunController(const RunControllerDeps& deps,
                const RunControllerOptions& options,
                RunListener& listener);

  void OnWorkerOwned(const std::string& worker,
                     const services::WorkerReport& report) override;
  void OnWorkerLost(const std::string& worker) override;
  void OnWorkerReport(const std::string& worker,
                      const services::WorkerReport& report) override;
  void OnNotRunning(const std::string& worker,
                    std::span<const std::string> ids,
                    base::MonoTime sent) override;
  void OnWorkerRemoved(const std::string& worker,
                       const std::string& boot,
                       bool owned) override;

  // The stream told a change of the task.
  void OnTaskChanged(const TaskState& task);

  // The stream told that a binding was given up.
  void OnGivenUp(UnstartedBinding binding);

  // Retries what is due.
  void Tick();

  // Moves the task off its workers, if it may run again elsewhere.
  void Move(const std::string& id, std::string reason);

  placement::WorkerUsage UsageOf(const std::string& worker) const;
  std::vector<const TaskRun*> RunsOn(const std::string& worker) const;
  size_t RunCount() const { return m_runs.size(); }
  bool HasRun(const std::string& id) const { return m_runs.contains(id); }
  // Runs with a message or a record under way, or about to be.
  size_t UnsettledCount() const;

 private:
  using Runs = std::unordered_map<std::string, TaskRun>;

  struct LateStart {
    std::string run_id;
    base::MonoTime until;
    placement::Resources size;
    int64_t given_up_ms = -1;  // By a former owner; the log service's clock.
  };

  struct OwnedWorker {
    services::WorkerReport report;
    std::set<std::string> tasks;  // With a member here.
  };

  void CreateRun(const TaskState& task);
  void Inherit(TaskRun& run, const TaskState& task, size_t member);
  void RegainMembers(TaskRun& run, const TaskState& task);
  void StopIfThrottled(TaskRun& run, MemberRun& member);
  void DropRun(const std::string& id);
  void SweepRemovedWorkers();
  void NoteAbsence(const TaskPlace& place);
  bool IsGone(const TaskState& task, size_t member) const;
  void YieldSplitTasks();
  bool HasRoomFor(const std::string& worker) const;
  void HoldLateStart(const TaskRun& run, const MemberRun& member);
  bool MayLand(const LateStart& late) const;
  void ForgetLateStarts();
  void StopLeftovers(const std::string& worker);
  void ApplyReport(const std::string& worker);
  void Advance(TaskRun& run);
  bool WriteIntents(TaskRun& run);
  void WriteIntent(TaskRun& run, MemberRun& member);
  void OnIntentAnswer(const std::string& run_id,
                      const base::Outcome<base::Unit>& result);
  bool IsUntouched(const TaskState& task, size_t member) const;
  bool MayStillStart(const TaskState& task) const;
  void StartMembers(TaskRun& run);
  void StartMember(TaskRun& run, MemberRun& member, const TaskState& task);
  void ReleaseMembers(TaskRun& run);
  void StopMembers(TaskRun& run);
  void StopMember(TaskRun& run, MemberRun& member);
  void TakeCheckpoint(TaskRun& run);
  void RetryCalls(TaskRun& run);
  void OnStartAnswer(const std::string& run_id,
                     const base::Outcome<base::Unit>& result);
  void OnReleaseAnswer(const std::string& run_id,
                       const base::Outcome<base::Unit>& result);
  void OnStopAnswer(const std::string& run_id,
                    const base::Outcome<services::WorkerStop>& result);
  void OnCheckpoint(const std::string& id,
                    uint64_t attempt,
                    const base::Outcome<std::string>& result);
  void Record(TaskRun& run, wire::EntryKind kind, std::string payload);
  void OnRecorded(const std::string& id,
                  uint64_t attempt,
                  wire::EntryKind kind,
                  bool seen);
  void NoteSettled(TaskRun& run, MemberRun& member);
  std::pair<TaskRun*, MemberRun*> FindMember(std::string_view run_id);
  const services::WorkerTask* FindReported(const std::string& worker,
                                           const std::string& run_id) const;

  const RunControllerDeps m_deps;
  const RunControllerOptions m_options;
  RunListener& m_listener;
  Runs m_runs;
  std::map<std::string, OwnedWorker> m_owned;
  // By worker, owned or not: a start may land at the next boot or after a loss.
  std::map<std::string, std::vector<LateStart>> m_late_starts;
  std::set<std::string> m_busy;  // Runs that Tick() looks at.
  // Bound tasks with some workers owned here and some elsewhere, and since
  // when.
  std::map<std::string, base::MonoTime> m_split;
  // Boots of workers off the VM list. A boot is over if the list, read at this
  // time or later, still lacks the worker.
  std::map<std::string, std::map<std::string, base::MonoTime>> m_gone;
  base::MonoTime m_swept_at;
  base::Counter& m_starts;
  base::Counter& m_adoptions;
};

}  // namespace azurespur::control

#endif  // CONTROL_RUN_CONTROLLER_H_
