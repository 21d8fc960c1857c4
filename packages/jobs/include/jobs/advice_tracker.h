// Caches the advice service's answers and chooses the VM that sends each query.
// The service handles one call at a time for each VM, so long calls must not
// occupy all VMs and block short ones. Does no I/O and reads no clock.

#ifndef JOBS_ADVICE_TRACKER_H_
#define JOBS_ADVICE_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/job_table.h"
#include "jobs/orders.h"
#include "jobs/queue_policy.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

// The service's answer on one worker for one step. The eligibility of a worker
// never changes while it runs; its ticket expires with time and at a restart.
struct WorkerAdvice {
  bool eligible = false;
  std::string ticket;
  WorkerBoot boot;
  base::MonoTime expires{};
};

enum class Eligibility {
  kUnknown,
  kIneligible,
  kEligibleWithoutTicket,
  kEligible
};

class AdviceTracker {
 public:
  using StepAdvice = std::map<std::string, WorkerAdvice, std::less<>>;

  // Sets the VMs that can send queries, including this one.
  void SetVms(std::span<const std::string> vms);

  Eligibility EligibilityOf(const StepRef& step,
                            const WorkerBoot& worker,
                            base::MonoTime now) const;

  // The answers for the step, by worker id; null if there are none.
  const StepAdvice* AdviceFor(const StepRef& step) const;

  // `advice` is the answer on the worker, or null.
  static Eligibility EligibilityOf(const WorkerAdvice* advice,
                                   const WorkerBoot& worker,
                                   base::MonoTime now);

  // Returns the valid ticket of a worker whose eligibility is kEligible.
  const std::string& TicketOf(const StepRef& step,
                              std::string_view worker_id) const;

  // Marks a ticket as expired after a worker refused it, so that a new one is
  // requested.
  void InvalidateTicket(const StepRef& step, std::string_view worker_id);

  bool HasPendingQuery(const StepRef& step) const;

  // Returns the share of eligible workers in the answers for the queue, clamped
  // to between 0.1 and 1.
  double EligibleShare(std::string_view queue) const;

  // A query that is sent now would wait so long for this VM's link.
  void SetLinkWait(base::Micros wait) { m_link_wait = wait; }

  // Starts a query, if a VM is free for one of the expected duration.
  std::optional<AdviceQuery> StartQuery(const StepRef& step,
                                        std::string_view queue,
                                        const AdvicePolicy& policy,
                                        std::vector<WorkerBoot> workers,
                                        base::MonoTime now);

  // `tickets` lists the eligible workers of the query; all others are
  // ineligible. Returns the step of the query, or nothing if it is unknown.
  std::optional<StepRef> OnAnswer(uint64_t query_id,
                                  std::span<const AdviceTicket> tickets,
                                  base::MonoTime now);
  void OnQueryFailed(uint64_t query_id, base::MonoTime now);

  // Fails queries whose deadline has passed.
  void Tick(base::MonoTime now);

  // Removes the answers for steps of jobs that are not in `table`.
  void RemoveJobsNotIn(const JobTable& table);

 private:
  struct Query {
    StepRef step;
    std::string queue;
    std::string vm;
    std::vector<WorkerBoot> workers;
    base::MonoTime deadline{};
    base::Millis valid{0};
    double expected_ms = 0;
  };
  struct VmState {
    int32_t queries = 0;     // In flight.
    double expected_ms = 0;  // Expected duration of these.
    bool has_long = false;
    base::MonoTime avoid_until{};
  };
  struct QueueStats {
    double asked = 2;
    double eligible = 1;
  };

  std::string FindVmForQuery(double expected_ms, base::MonoTime now) const;
  void EndQuery(uint64_t query_id);

  std::map<StepRef, StepAdvice> m_advice_by_step;
  std::map<uint64_t, Query> m_queries;
  std::map<StepRef, uint64_t> m_query_by_step;
  std::map<std::string, VmState> m_vms;
  std::map<std::string, QueueStats, std::less<>> m_queue_stats;
  base::Micros m_link_wait{0};
  uint64_t m_next_id = 1;
};

}  // namespace azurespur::jobs

#endif  // JOBS_ADVICE_TRACKER_H_
