// Tasks as callers see them, and the thread that runs the controllers.

#ifndef CONTROL_TASK_SERVICE_H_
#define CONTROL_TASK_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/mailbox.h"
#include "base/outcome.h"
#include "control/placement_controller.h"
#include "control/run_controller.h"
#include "control/task_state.h"
#include "control/vm_identity.h"
#include "control/worker_fleet.h"

namespace azurespur::control {

class ListsView;
class LogChannel;
class PeerBus;
class ProposalBoard;
class TaskLedger;
class VmDirectory;

struct TaskServiceOptions {
  WorkerFleetOptions fleet;
  RunControllerOptions runs;
  PlacementControllerOptions placement;
  base::Millis accept_deadline{5000};
  base::Millis peer_timeout{1000};
  base::Millis tick{10};
  size_t mailbox_size = 32768;
};

struct TaskServiceDeps {
  LogChannel& tasks;  // Stream "tasks"; its observer is `ledger`.
  TaskLedger& ledger;
  PeerBus& peers;
  VmDirectory& directory;
  ListsView& lists;
  services::WorkerClient& workers;
  const base::Clock& clock;
  base::Metrics& metrics;
  VmIdentity identity;
  TaskServiceOptions options;
  ProposalBoard* proposals = nullptr;  // Where disruptive actions are proposed.
};

// What is known of a task. An empty `fate` was not found.
struct TaskFate {
  std::string id;
  std::string fate;  // See TaskPhaseName(); "unknown" if nobody knows it.
  std::string domain;
  std::vector<std::string> workers;
  std::string reason;
  std::string result;
  bool cancel_requested = false;
  bool known = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, fate, domain, workers, reason, result, cancel_requested, known);
  }
};

// Construct before the channel and the peers are started, destroy after both
// are stopped. All methods are thread-safe.
class TaskService {
 public:
  using SubmitDone = std::function<void(base::Outcome<TaskFate>)>;
  using CancelDone = std::function<void(base::Outcome<base::Unit>)>;
  using FateDone = std::function<void(TaskFate)>;

  explicit TaskService(const TaskServiceDeps& deps);
  ~TaskService();

  // Starts the controllers' thread.
  void Start();

  // Accepts a task. An empty `spec.id` gets a new one; the same id again finds
  // the first task. `done` is called, on any thread, once the record was seen.
  // Errors: kInvalid, kConflict (the id names another task), kUnavailable (not
  // accepted), kUnknown (may be accepted; the message names the id).
  void Submit(TaskSpec spec, SubmitDone done);

  // A new, unused task id.
  std::string NewId();

  // What this VM knows.
  TaskFate Fate(std::string_view id) const;

  // The same; where this VM does not know the task, asks its peers.
  void FindFate(const std::string& id, FateDone done);

  // Cancels a wave of tasks by one record. Ends that precede it stand.
  void Cancel(std::vector<std::string> ids, CancelDone done);

  // Tasks in `fate`, or all if it is empty, at most `limit`.
  std::vector<TaskFate> List(std::string_view fate, size_t limit) const;

  // Workers owned by this VM; on the controllers' thread, or without one.
  size_t OwnedWorkers() const { return m_fleet.OwnedWorkers().size(); }

  // JSON object with ownership, runs and counts.
  std::string Dump();

  // Takes nothing new, settles what is under way, then gives up all workers.
  // Running tasks run on, for a successor to adopt. Blocks up to `limit`;
  // returns true if everything was settled.
  bool Drain(base::Millis limit);

  // Stops the controllers' thread.
  void Stop();

  // One round of the controllers. For callers that drive the service
  // themselves instead of Start().
  void RunOnce();

 private:
  void Run();
  void Append(TaskSpec spec, int tries, SubmitDone done);
  void OnAccepted(TaskSpec spec, int tries, SubmitDone done);
  std::string DumpNow() const;

  const TaskServiceDeps m_deps;
  const std::shared_ptr<base::Mailbox> m_mailbox;
  PlacementController m_placement;
  RunController m_runs;
  WorkerFleet m_fleet;
  std::atomic<uint64_t> m_next_id{1};
  std::atomic<bool> m_stop{false};
  std::atomic<bool> m_draining{false};
  std::thread m_thread;
};

}  // namespace azurespur::control

#endif  // CONTROL_TASK_SERVICE_H_
