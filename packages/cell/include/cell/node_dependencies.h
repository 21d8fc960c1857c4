// Interfaces to what lies outside a VM of the cell. Callbacks run on another
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

// A report, or why there is none.
struct HoldResult {
  jobs::OrderOutcome outcome = jobs::OrderOutcome::kUnknown;
  jobs::WorkerReport report;  // If accepted.
};

class WorkerOrderClient {
 public:
  virtual ~WorkerOrderClient() = default;

  virtual void Start(const jobs::StartOrder& order,
                     std::function<void(jobs::OrderOutcome)> done) = 0;
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

  // Reads what changed; `done` gets all current entries. One call at a time.
  virtual void Poll(std::function<void(base::Outcome<Entries>)> done) = 0;
};

class PolicySource {
 public:
  using Policy = std::shared_ptr<const jobs::CellPolicy>;

  virtual ~PolicySource() = default;

  // Waits a while for a newer version; `done` gets the current one, null if
  // there is none yet. One call at a time.
  virtual void Poll(std::function<void(base::Outcome<Policy>)> done) = 0;
};

// Datagrams between the VMs of a cell; they may be lost.
class DatagramTransport {
 public:
  using Handler = std::function<void(std::string_view bytes)>;

  virtual ~DatagramTransport() = default;

  // `address` is "IP:PORT".
  virtual void Send(std::string_view address, std::string_view bytes) = 0;

  // Starts to receive; `handler` runs on another thread.
  virtual void Receive(Handler handler) = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_NODE_DEPENDENCIES_H_
