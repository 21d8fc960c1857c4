// Interfaces to the services that a cell node uses. Callbacks run on another
// thread and must not block.

#ifndef CELL_NODE_DEPENDENCIES_H_
#define CELL_NODE_DEPENDENCIES_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/outcome.h"
#include "jobs/orders.h"
#include "jobs/queue_policy.h"
#include "jobs/worker_entry.h"
#include "jobs/worker_report.h"

namespace azurespur::cell {

// A worker's report, or why there is none.
struct HoldResult {
  jobs::OrderOutcome outcome = jobs::OrderOutcome::kUnknown;
  jobs::WorkerReport report;  // Valid if the outcome is kAccepted.
};

class WorkerOrderClient {
 public:
  virtual ~WorkerOrderClient() = default;

  virtual void Start(const jobs::StartOrder& order,
                     std::function<void(jobs::StartAnswer)> done) = 0;
  virtual void Stop(const jobs::StopOrder& order,
                    std::function<void(jobs::OrderOutcome)> done) = 0;
  virtual void Hold(const jobs::HoldOrder& order,
                    std::function<void(HoldResult)> done) = 0;
};

class AdviceClient {
 public:
  virtual ~AdviceClient() = default;

  // Asks which of `query.workers` may run the step.
  virtual void Query(
      const jobs::AdviceQuery& query,
      std::function<void(base::Outcome<std::vector<jobs::AdviceTicket>>)>
          done) = 0;
};

class WorkerDirectory {
 public:
  using Entries = std::vector<jobs::WorkerEntry>;

  virtual ~WorkerDirectory() = default;

  // Reads the changes and passes all current entries to `done`. Only one call
  // may be in flight.
  virtual void Poll(std::function<void(base::Outcome<Entries>)> done) = 0;
};

class PolicySource {
 public:
  using Policy = std::shared_ptr<const jobs::CellPolicy>;

  virtual ~PolicySource() = default;

  // Waits for a newer version for a limited time, then passes the current one
  // to `done`, or null if there is none yet. Only one call may be in flight.
  virtual void Poll(std::function<void(base::Outcome<Policy>)> done) = 0;
};

// Sends datagrams between the VMs of a cell. They may be lost.
class DatagramTransport {
 public:
  using Handler = std::function<void(std::string_view bytes)>;

  virtual ~DatagramTransport() = default;

  // `address` is "IP:PORT". False if the datagram was not handed to the
  // network.
  virtual bool Send(std::string_view address, std::string_view bytes) = 0;

  // Starts receiving. `handler` runs on another thread.
  virtual void Receive(Handler handler) = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_NODE_DEPENDENCIES_H_
