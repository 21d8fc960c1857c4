// Runs bound tasks on the workers that this VM owns, from the first message to
// the record of their end; adopts those of earlier owners.

#ifndef CONTROL_RUN_CONTROLLER_H_
#define CONTROL_RUN_CONTROLLER_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/fleet_listener.h"
#include "control/mailbox.h"
#include "control/task_run.h"
#include "control/vm_identity.h"
#include "control/worker_fleet.h"
#include "placement/worker_state.h"
#include "wire/log_entry.h"

namespace azurespur::control {

class LogChannel;
class RunListener;
class TaskLedger;

struct RunControllerOptions {
  base::Millis append_deadline{10000};
  base::Millis append_retry{500};
  base::Millis call_retry{500};
  // A start or stop unanswered for longer than this counts as unanswered.
  base::Millis call_timeout{2000};
  // See SettleFromReport().
  base::Millis settle{6000};
  // How long an intent stays on its worker; see IntentId().
  base::Millis intent_lease{1800000};
};

struct RunControllerDeps {
  LogChannel& log;
  TaskLedger& ledger;
  platform::WorkerClient& workers;
  WorkerFleet& fleet;
  Mailbox& mailbox;
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
                     const platform::WorkerReport& report) override;
  void OnWorkerLost(const std::string& worker) override;
  void OnWorkerReport(const std::string& worker,
                      const platform::WorkerReport& report) override;
  void OnNotRunning(const std::string& worker,
                    std::span<const std::string> ids) override;
  void OnWorkerRemoved(const std::string& worker) override;

  // The stream told a change of the task.
  void OnTaskChanged(const TaskState& task);

  // Retries what is due.
  void Tick();

  // Moves the task off its workers, if it may run again elsewhere.
  void Move(const std::string& id, std::string reason);

  placement::WorkerUsage UsageOf(const std::string& worker) const;
  std::vector<const TaskRun*> RunsOn(const std::string& worker) const;
  size_t RunCount() const { return m_runs.size(); }
  // Runs with a message or a record under way, or about to be.
  size_t UnsettledCount() const;

 private:
  using Runs = std::unordered_map<std::string, TaskRun>;

  struct OwnedWorker {
    platform::WorkerReport report;
    std::set<std::string> tasks;  // With a member here.
  };

  void CreateRun(const TaskState& task);
  void Inherit(TaskRun& run, const TaskState& task, size_t member);
  void DropRun(const std::string& id);
  void StopLeftovers(const std::string& worker);
  void ApplyReport(const std::string& worker);
  void Advance(TaskRun& run);
  bool WriteIntents(TaskRun& run);
  void WriteIntent(TaskRun& run, MemberRun& member);
  void OnIntentAnswer(const std::string& run_id,
                      const base::Outcome<base::Unit>& result);
  bool IsUntouched(const TaskState& task, size_t member) const;
  void StartMembers(TaskRun& run);
  void StartMember(TaskRun& run, MemberRun& member, const TaskSpec& spec);
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
                    const base::Outcome<platform::WorkerStop>& result);
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
  const platform::WorkerTask* FindReported(const std::string& worker,
                                           const std::string& run_id) const;

  const RunControllerDeps m_deps;
  const RunControllerOptions m_options;
  RunListener& m_listener;
  Runs m_runs;
  std::map<std::string, OwnedWorker> m_owned;
  std::set<std::string> m_busy;  // Runs that Tick() looks at.
  base::Counter& m_starts;
  base::Counter& m_adoptions;
};

}  // namespace azurespur::control

#endif  // CONTROL_RUN_CONTROLLER_H_
