// The workers of this VM's domain: polls their reports, seeks ownership of
// them and renews the leases of those that it owns.

#ifndef CONTROL_WORKER_FLEET_H_
#define CONTROL_WORKER_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/mailbox.h"
#include "control/ownership.h"
#include "control/task_state.h"
#include "control/vm_identity.h"
#include "services/vm_list.h"
#include "services/worker_client.h"

namespace azurespur::base {
class Counter;
class Metrics;
}  // namespace azurespur::base

namespace azurespur::control {

class FleetListener;
class PeerBus;
class VmDirectory;

struct WorkerFleetOptions {
  OwnershipOptions ownership;
  // Lease of tasks. Outlasts a takeover, so that the tasks of a dead owner are
  // adopted running.
  base::Millis task_lease{15000};
  base::Millis task_renew_interval{4000};
  base::Millis report_interval{1000};
  // While ownership is being sought.
  base::Millis seek_report_interval{250};
  // A call without an answer for this long is taken as unanswered.
  base::Millis call_timeout{2000};
  // Racks are split among this many owners; see SeeksRack().
  size_t owners_per_domain = 1;
};

// The rule that splits a domain among its VMs: the rank at which a VM that
// ranks `rank` in its domain seeks the workers of rack number `rack`; a rank
// of 0 seeks first.
size_t SeekRank(size_t rank, size_t rack, size_t owners_per_domain);

struct FleetWorkerView {
  std::string id;
  OwnershipPhase phase = OwnershipPhase::kIdle;
  std::string marker;
  int64_t lease_left_ms = 0;
  int64_t report_age_ms = -1;  // -1: none yet.
  size_t tasks = 0;            // Renewed with it.
  bool leaving = false;
};

struct WorkerFleetDeps {
  services::WorkerClient& workers;
  VmDirectory& directory;
  PeerBus& peers;
  // Shared with the calls in flight, which may end after their caller.
  std::shared_ptr<base::Mailbox> mailbox;
  const base::Clock& clock;
  base::Metrics& metrics;
  VmIdentity identity;
};

// Runs on the controllers' thread only.
class WorkerFleet {
 public:
  WorkerFleet(const WorkerFleetDeps& deps,
              const WorkerFleetOptions& options,
              FleetListener& listener);

  // Call often: at least a few times in a renew interval.
  void Tick();

  // True if a start or release may be sent to the worker at this instant.
  bool Owns(std::string_view worker) const;
  // Null if the worker is not on the VM list.
  const services::Vm* FindVm(std::string_view worker) const;
  // Marker under which the worker is owned; empty otherwise.
  std::string MarkerOf(std::string_view worker) const;
  // What a binding to the worker records; an empty marker if it is not owned.
  TaskPlace PlaceOn(std::string_view worker) const;
  // Age of the newest report by its receipt.
  int64_t ReportAgeMillis(std::string_view worker) const;
  std::vector<std::string> OwnedWorkers() const;
  base::Millis TaskLease() const { return m_options.task_lease; }
  base::Millis OwnerLease() const { return m_options.ownership.lease; }

  // Task ids to renew on an owned worker.
  void AddTask(std::string_view worker, const std::string& id);
  void RemoveTask(std::string_view worker, const std::string& id);

  // Gives one worker up, for a VM of lower rank; no effect at the lowest rank.
  void Yield(const std::string& worker);

  // True once a VM list was read.
  bool ListKnown() const { return m_list_version != 0; }
  uint64_t ListVersion() const { return m_list_version; }
  // When the VM list in use was last read, changed or not.
  base::MonoTime ListReadAt() const { return m_list_read_at; }
  // Workers of the domain, owned or not.
  size_t WorkerCount() const { return m_workers.size(); }

  // Stops seeking and gives up every owned worker.
  void Resign();

  std::vector<FleetWorkerView> View() const;

 private:
  struct Worker {
    services::Vm vm;
    size_t rack = 0;
    size_t seek_rank = 0;
    OwnershipState ownership;
    bool report_pending = false;
    base::MonoTime report_sent;
    base::MonoTime report_received;
    bool any_report = false;
    int64_t marker_left_ms = 0;  // Longest lease of a marker in the report.
    base::MonoTime tasks_renew_sent;
    std::unordered_set<std::string> tasks;
  };
  using Workers = std::map<std::string, Worker, std::less<>>;

  void SyncList();
  void TickWorker(Worker& worker, size_t rank);
  void PollReport(Worker& worker);
  void OnReport(const std::string& id,
                base::MonoTime sent,
                base::Outcome<services::WorkerReport> result);
  void AdvanceOwnership(Worker& worker, const services::WorkerReport& report);
  void KeepTasksAlive(Worker& worker, const services::WorkerReport& report);
  void Act(Worker& worker, const OwnershipStep& step);
  void StartMarker(Worker& worker, const std::string& marker);
  void RenewMarker(Worker& worker, const std::string& marker);
  void RenewTasks(Worker& worker, std::vector<std::string> ids, bool owner);
  void StopMarker(Worker& worker, const std::string& marker);
  void Lose(Worker& worker);
  bool OwnerIsSilent(const Worker& worker) const;
  base::Millis PollInterval(const Worker& worker) const;
  Worker* Find(std::string_view id);
  const Worker* Find(std::string_view id) const;

  const WorkerFleetDeps m_deps;
  const WorkerFleetOptions m_options;
  FleetListener& m_listener;
  Workers m_workers;
  uint64_t m_list_version = 0;
  base::MonoTime m_list_read_at;
  // Most attempts at a worker that left the list. Attempts go on from there, so
  // that no marker of a worker that returns has been used before.
  uint64_t m_attempts = 0;
  bool m_seeking = true;
  base::Counter& m_owned_gauge;
  base::Counter& m_takeovers;
  base::Counter& m_losses;
};

}  // namespace azurespur::control

#endif  // CONTROL_WORKER_FLEET_H_
