// One VM of a cell. It accepts jobs, replicates the job table, takes part in
// leader elections, and runs the scheduler while it is the leader.

#ifndef CELL_CELL_NODE_H_
#define CELL_CELL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/link_queue.h"
#include "base/metrics.h"
#include "cell/fenced_log.h"
#include "cell/node_dependencies.h"
#include "cell/node_options.h"
#include "cell/snapshot_store.h"
#include "jobs/access.h"
#include "jobs/admission_estimate.h"
#include "jobs/job_table.h"
#include "jobs/records.h"

namespace azurespur::cell {

// The outcome of a submission or cancellation.
enum class IntakeOutcome {
  kAccepted,
  // The job never runs, whatever became of earlier requests to submit it. It
  // may be submitted again.
  kNotAccepted,
  kUnknown,       // May have been accepted.
  kNoSuchJob,     // Only for cancellations.
  kOtherAccount,  // The job belongs to an account that is not the caller's.
};

// The result of CellNode::Submit().
struct SubmissionResult {
  IntakeOutcome outcome = IntakeOutcome::kUnknown;
  // Set if the outcome is kNotAccepted because of overload.
  std::optional<jobs::AdmissionRefusal> overload;
};

struct NodeDependencies {
  FencedLog& log;
  WorkerOrderClient& workers;
  AdviceClient& advice;
  WorkerDirectory& directory;
  PolicySource& policy;
  DatagramTransport& datagrams;
  SnapshotStore& snapshots;
  // All that this VM sends; null: not counted.
  base::LinkQueue* uplink = nullptr;
};

// The result of CellNode::FindState().
struct JobStateResult {
  // False if the log could not be read far enough to know.
  bool known = false;
  std::optional<jobs::JobState> state;  // Empty if there is no such job.
  // The job belongs to an account that is not the caller's; `state` is empty.
  bool other_account = false;
  // Why the job can't go on until the policy changes; empty if it can.
  std::string reason = {};
};

// The result of CellNode::CountPending().
struct PendingCountResult {
  // Empty if this VM's view of the streams is too old, or the node is
  // overloaded.
  std::optional<int64_t> count;
};

// What a caller of CellNode::WhenPolicyCurrent() waits for: a policy that is
// known to be the newest, or a newer one than the caller has tried.
struct PolicyRequirement {
  int64_t newer_than = 0;
  base::Millis max_age{0};
};

class CellNode {
 public:
  virtual ~CellNode() = default;

  // Stops accepting jobs; a leader also gives up its leadership. Returns once
  // its yield record is stored or `timeout` has passed.
  virtual void Drain(base::Millis timeout) = 0;

  virtual void Stop() = 0;

  // The `done` callbacks run on the node's thread and must not block.
  // `deadline` is when the caller stops waiting. A caller can't repeat, cancel
  // or read a job that jobs::MayAccess() denies it.
  virtual void Submit(jobs::Submission submission,
                      const jobs::Caller& caller,
                      base::MonoTime deadline,
                      std::function<void(SubmissionResult)> done) = 0;
  // Passes the outcome of a request to submit the job that is not passed to
  // Submit(): kAccepted if an earlier request for the job was accepted,
  // kUnknown if one may be, kOtherAccount if the job is another account's, else
  // kNotAccepted. While the log takes nothing from
  // this VM, kNotAccepted speaks only for the requests that this VM knows of.
  virtual void Refuse(jobs::JobId job,
                      const jobs::Caller& caller,
                      base::MonoTime deadline,
                      std::function<void(IntakeOutcome)> done) = 0;
  virtual void Cancel(jobs::JobId job,
                      const jobs::Caller& caller,
                      base::MonoTime deadline,
                      std::function<void(IntakeOutcome)> done) = 0;
  virtual void FindState(jobs::JobId job,
                         const jobs::Caller& caller,
                         base::MonoTime deadline,
                         std::function<void(JobStateResult)> done) = 0;
  virtual void CountPending(std::string queue,
                            base::MonoTime deadline,
                            std::function<void(PendingCountResult)> done) = 0;

  // Null until the first policy was read.
  virtual std::shared_ptr<const jobs::CellPolicy> policy() const = 0;

  // When the policy was last known to be the newest; empty if never.
  virtual std::optional<base::MonoTime> policy_as_of() const = 0;

  // Since when another VM has known a newer policy; empty if none does.
  virtual std::optional<base::MonoTime> policy_outdated_since() const = 0;

  // Calls `done` with true once the policy meets the requirement, or with false
  // at `deadline` or if too many callers wait. Meanwhile asks another VM for
  // the policy, at a limited rate: a newer one is applied, and if the known one
  // is confirmed, policy_as_of() advances.
  virtual void WhenPolicyCurrent(const PolicyRequirement& requirement,
                                 base::MonoTime deadline,
                                 std::function<void(bool)> done) = 0;

  // True if the node can accept jobs now.
  virtual bool ready() const = 0;

  // Passes the node's state, for operators, to `done` as JSON.
  virtual void Dump(std::function<void(std::string)> done) = 0;
};

std::unique_ptr<CellNode> StartCellNode(const NodeOptions& options,
                                        const NodeDependencies& dependencies,
                                        const base::Clock& clock,
                                        base::Metrics& metrics);

}  // namespace azurespur::cell

#endif  // CELL_CELL_NODE_H_
