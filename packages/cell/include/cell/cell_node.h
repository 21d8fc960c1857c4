// One VM of a cell: takes jobs in, keeps a replica of all jobs, stands for
// leader, and schedules while it leads.

#ifndef CELL_CELL_NODE_H_
#define CELL_CELL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "cell/fenced_log.h"
#include "cell/node_dependencies.h"
#include "cell/node_options.h"
#include "jobs/job_spec.h"
#include "jobs/job_table.h"

namespace azurespur::cell {

// The fate of a submission or cancellation.
enum class IntakeOutcome {
  kAccepted,
  kNotAccepted,  // Never runs. It may be sent again.
  kUnknown,      // May have been accepted.
  kNoSuchJob,    // Cancellations only.
};

struct NodeDependencies {
  FencedLog& log;
  WorkerOrderClient& workers;
  AdviceClient& advice;
  WorkerDirectory& directory;
  PolicySource& policy;
  DatagramTransport& datagrams;
};

// The state of a job, or why it can't be told.
struct JobStateResult {
  bool known = false;                   // False: the log can't be read now.
  std::optional<jobs::JobState> state;  // Empty: no such job.
};

class CellNode {
 public:
  virtual ~CellNode() = default;

  // Stops taking jobs; a leader yields. Returns once the yield is stored or
  // `timeout` has passed.
  virtual void Drain(base::Millis timeout) = 0;

  virtual void Stop() = 0;

  // The answers run on the node's thread and must not block. `deadline` is
  // when the caller stops waiting.
  virtual void Submit(jobs::JobSpec spec,
                      base::MonoTime deadline,
                      std::function<void(IntakeOutcome)> done) = 0;
  virtual void Cancel(jobs::JobId job,
                      base::MonoTime deadline,
                      std::function<void(IntakeOutcome)> done) = 0;
  virtual void FindState(jobs::JobId job,
                         std::function<void(JobStateResult)> done) = 0;
  virtual void CountPending(std::string queue,
                            std::function<void(int64_t)> done) = 0;

  // Null until the first one was read.
  virtual std::shared_ptr<const jobs::CellPolicy> policy() const = 0;

  // True if jobs can be accepted now.
  virtual bool ready() const = 0;

  // State for operators, as JSON.
  virtual void Dump(std::function<void(std::string)> done) = 0;
};

std::unique_ptr<CellNode> StartCellNode(const NodeOptions& options,
                                        const NodeDependencies& dependencies,
                                        const base::Clock& clock,
                                        base::Metrics& metrics);

}  // namespace azurespur::cell

#endif  // CELL_CELL_NODE_H_
