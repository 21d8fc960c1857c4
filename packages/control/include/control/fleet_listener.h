// Receives what the worker fleet learns. Runs on the controllers' thread.

#ifndef CONTROL_FLEET_LISTENER_H_
#define CONTROL_FLEET_LISTENER_H_

#include <span>
#include <string>

#include "base/clock.h"
#include "services/worker_client.h"

namespace azurespur::control {

class FleetListener {
 public:
  virtual ~FleetListener() = default;

  // `report` was made after every earlier owner's lease had lapsed.
  virtual void OnWorkerOwned(const std::string& worker,
                             const services::WorkerReport& report) = 0;
  virtual void OnWorkerLost(const std::string& worker) = 0;
  // A newer report of an owned worker.
  virtual void OnWorkerReport(const std::string& worker,
                              const services::WorkerReport& report) = 0;
  // Ids that a renewal sent at `sent` found not running.
  virtual void OnNotRunning(const std::string& worker,
                            std::span<const std::string> ids,
                            base::MonoTime sent) = 0;
  // The worker is off the VM list: it does not run any more. It may be listed
  // again, in another boot than `boot`, the newest that this VM saw (empty:
  // none). `owned`: this VM owned it until now.
  virtual void OnWorkerRemoved(const std::string& worker,
                               const std::string& boot,
                               bool owned) = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_FLEET_LISTENER_H_
