// What the leader knows of the advice service's answers, and which VM may ask
// it next. The service answers one call at a time for each VM, so long calls
// must not take all VMs from short ones. No I/O, no clock.

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

// What was said of one worker for one step. Whether it is good never changes;
// its ticket ages and ends with the worker's life.
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
  // The VMs that can ask, this one included.
  void SetVms(std::span<const std::string> vms);

  Eligibility EligibilityOf(const StepRef& step,
                            const WorkerBoot& worker,
                            base::MonoTime now) const;

  // The valid ticket of a worker whose standing is kGood.
  const std::string& TicketOf(const StepRef& step,
                              std::string_view worker_id) const;

  // A ticket was refused; it is asked for again.
  void InvalidateTicket(const StepRef& step, std::string_view worker_id);

  bool HasPendingQuery(const StepRef& step) const;

  // Share of workers that answers for the queue found good, between 0.1 and 1.
  double EligibleShare(std::string_view queue) const;

  // Starts a query, if a VM is free for one of this length.
  std::optional<AdviceQuery> StartQuery(const StepRef& step,
                                        std::string_view queue,
                                        const AdvicePolicy& policy,
                                        std::vector<WorkerBoot> workers,
                                        base::MonoTime now);

  // `tickets` names the good ones of those asked about; all others are bad.
  void OnAnswer(uint64_t query_id,
                std::span<const AdviceTicket> tickets,
                base::MonoTime now);
  void OnQueryFailed(uint64_t query_id, base::MonoTime now);

  // Ends queries that were not answered in time.
  void Tick(base::MonoTime now);

  // Drops what is known of steps of jobs that are not in `table`.
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
    int32_t queries = 0;     // Not answered yet.
    double expected_ms = 0;  // What these take.
    bool has_long = false;
    base::MonoTime avoid_until{};
  };
  struct QueueStats {
    double asked = 2;
    double eligible = 1;
  };

  std::string FindVmForQuery(double expected_ms, base::MonoTime now) const;
  void EndQuery(uint64_t query_id);

  std::map<StepRef, std::map<std::string, WorkerAdvice, std::less<>>>
      m_advice_by_step;
  std::map<uint64_t, Query> m_queries;
  std::map<StepRef, uint64_t> m_query_by_step;
  std::map<std::string, VmState> m_vms;
  std::map<std::string, QueueStats, std::less<>> m_queue_stats;
  uint64_t m_next_id = 1;
};

}  // namespace azurespur::jobs

#endif  // JOBS_ADVICE_TRACKER_H_
