// Places the pending tasks of this VM's domain on the workers that it owns.

#ifndef CONTROL_PLACEMENT_CONTROLLER_H_
#define CONTROL_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/mailbox.h"
#include "control/run_listener.h"
#include "control/vm_identity.h"
#include "placement/cell.h"
#include "placement/decision.h"

namespace azurespur::base {
class Counter;
class Distribution;
class Metrics;
}  // namespace azurespur::base

namespace azurespur::control {

class ListsView;
class LogChannel;
class RunController;
class TaskLedger;
class WorkerFleet;

struct PlacementControllerOptions {
  base::Millis append_deadline{10000};
  // Wait before a task that found no room is tried again without news.
  base::Millis retry_interval{200};
  size_t max_decisions_per_tick = 4096;
};

struct PlacementControllerDeps {
  LogChannel& log;
  TaskLedger& ledger;
  ListsView& lists;
  WorkerFleet& fleet;
  Mailbox& mailbox;
  const base::Clock& clock;
  base::Metrics& metrics;
  VmIdentity identity;
};

// Runs on the controllers' thread only.
class PlacementController : public RunListener {
 public:
  PlacementController(const PlacementControllerDeps& deps,
                      const PlacementControllerOptions& options);

  // Called once, before any other call.
  void SetRuns(RunController& runs) { m_runs = &runs; }

  void OnWorkerChanged(const std::string& worker) override;
  void OnMemberFailed(const TaskRun& run, const MemberRun& member) override;
  void OnMemberFinished(const TaskRun& run, const MemberRun& member) override;

  void OnTaskChanged(const TaskState& task);
  void OnTaskGone(const std::string& id);

  void Tick();

  size_t PendingCount() const { return m_pending.size(); }
  const placement::Cell& cell() const { return m_cell; }
  // Why a pending task waits; empty if it is not known.
  std::string WaitReason(const std::string& id) const;

 private:
  // Urgent first, then by time of acceptance.
  using Key = std::tuple<bool, int64_t, std::string>;

  struct Pending {
    Key key;
    std::string reason;
  };

  struct Binding {
    placement::Placement placement;
    placement::Resources size;
  };

  void Place(const TaskState& task);
  void Bind(const TaskState& task, placement::Placement placement);
  void OnBound(const std::string& id);
  std::string QuotaRefusal(const TaskSpec& spec) const;
  void UpdateCell(const std::string& worker);

  const PlacementControllerDeps m_deps;
  const PlacementControllerOptions m_options;
  RunController* m_runs = nullptr;
  placement::Cell m_cell;
  std::map<Key, std::string> m_queue;
  std::unordered_map<std::string, Pending> m_pending;
  std::unordered_map<std::string, Binding> m_bindings;  // Record under way.
  std::set<std::string> m_stale_workers;
  bool m_room_changed = true;
  base::MonoTime m_last_round;
  base::Counter& m_binds;
  base::Counter& m_pending_gauge;
  base::Distribution& m_decision_us;
};

}  // namespace azurespur::control

#endif  // CONTROL_PLACEMENT_CONTROLLER_H_
