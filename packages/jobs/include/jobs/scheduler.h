// Decides, on the leader, which task starts where and when. Does no I/O and
// reads no clock.
//
// The scheduler reads the job table, which only stored records change, and
// binds a task only while the table lists it as waiting. All resulting actions
// are added to a SchedulerOutput.

#ifndef JOBS_SCHEDULER_H_
#define JOBS_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/account_load.h"
#include "jobs/account_shares.h"
#include "jobs/advice_tracker.h"
#include "jobs/fleet.h"
#include "jobs/job_table.h"
#include "jobs/plan_counts.h"
#include "jobs/queue_policy.h"
#include "jobs/run_times.h"
#include "jobs/scheduler_options.h"
#include "jobs/scheduler_output.h"
#include "jobs/start_pacer.h"
#include "jobs/worker_speeds.h"

namespace azurespur::jobs {

class StepView;
struct SingleTaskWorkers;
struct WorkerPreemption;

// The groups of ready steps that plans serve one after the other where the
// policy names accounts.
enum class Turn {
  kFirst,       // A step past its use whose turn has come.
  kWithinRate,  // Of jobs within the rate of their account.
  kBeyondRate,
  kPastUse,  // Too late for the job to be useful.
};

// A step whose dependencies are done and that has tasks without a run.
struct ReadyStep {
  StepRef ref;
  const Job* job = nullptr;
  const QueueTerms* terms = nullptr;
  AccountIndex account = kNoAccount;
  std::vector<int32_t> waiting;  // Tasks without a run.
  int64_t slack_ms = 0;  // Time left before the objective would be missed.
  // Limit on the worker's slowness; see MaxSlowness(). Empty while the speeds
  // of the workers don't differ.
  std::optional<double> max_slowness;
  // Only where the policy names accounts.
  Turn turn = Turn::kWithinRate;
  int64_t useful_until_unix_ms = 0;  // Of the job; set if the step is late.
  bool within_share = false;         // Of the account, as the step is placed.
};

// How many stored bindings were released before their start was sent.
struct UnsentBindings {
  int64_t job_over = 0;   // The job is gone or has a final state.
  int64_t too_old = 0;    // The start would extend a lease too late.
  int64_t no_ticket = 0;  // Advice no longer allows the start.
  int64_t no_worker = 0;  // The worker is lost or draining, or a stop came.
};

// Ratios of a run's time to its estimates; 0 where nothing was declared.
struct RunOutcome {
  double to_declared = 0;
  double to_expected = 0;  // By RunTimes and the worker's slowness.
};

class Scheduler {
 public:
  // `table` must outlive the scheduler.
  Scheduler(const SchedulerOptions& options, const JobTable& table);

  // Takes over all bindings in the table. Must be called once, before any
  // other method.
  void Adopt(base::MonoTime now);

  void SetPolicy(const CellPolicy& policy) {
    m_policy = policy;
    m_shares.SetAccounts(policy.accounts);
  }
  void SetWorkers(std::span<const WorkerEntry> entries, base::MonoTime now);
  void SetAdviceVms(std::span<const std::string> vms) { m_advice.SetVms(vms); }

  // An order that is sent now would wait so long for this VM's link.
  void SetLinkWait(base::Micros wait) {
    m_pacer.SetLinkWait(wait);
    m_advice.SetLinkWait(wait);
  }
  // The log answered an append of records after `latency`.
  void OnAppended(base::Micros latency) { m_pacer.OnAppend(latency); }
  // The record was stored and applied to the table; its append was sent at
  // `append_sent_at`.
  void OnStored(const PendingRecord& stored,
                base::MonoTime append_sent_at,
                base::MonoTime now,
                SchedulerOutput& out);

  void OnStarted(const StartOrder& order,
                 const StartAnswer& answer,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void OnStopped(const StopOrder& order,
                 OrderOutcome outcome,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void OnReport(const HoldOrder& order,
                const WorkerReport& report,
                base::MonoTime now,
                SchedulerOutput& out);
  void OnHoldFailed(const HoldOrder& order,
                    OrderOutcome outcome,
                    base::MonoTime now,
                    SchedulerOutput& out);
  // A former leader heard from `worker_id` that the run has ended, and could
  // not store it.
  void OnForwardedEnd(const EndRecord& end,
                      std::string_view worker_id,
                      base::MonoTime now,
                      SchedulerOutput& out);
  void OnAdvice(uint64_t query_id,
                std::span<const AdviceTicket> tickets,
                base::MonoTime now);
  void OnAdviceFailed(uint64_t query_id, base::MonoTime now);

  // Runs due actions and plans. `last_append` is when the last successful
  // append was sent; `unix_ms` is the wall-clock time.
  void Tick(base::MonoTime now,
            int64_t unix_ms,
            base::MonoTime last_append,
            SchedulerOutput& out);

  // So many of the term's bindings, from its first one on, have a start that is
  // answered or never sent, or an OpenStartRecord in the output so far.
  uint64_t settled_binds() const;

  const Fleet& fleet() const { return m_fleet; }
  const UnsentBindings& unsent() const { return m_unsent; }
  const PlanCounts& plan_counts() const { return m_counts; }
  const StartPacer& pacer() const { return m_pacer; }
  const WorkerSpeeds& speeds() const { return m_speeds; }
  // As of the last full plan. Empty where the policy names no accounts.
  const AccountLoads& account_loads() const { return m_account_loads; }
  // Returns the outcomes of the runs that were timed since the last call.
  std::vector<RunOutcome> TakeRunOutcomes() {
    return std::exchange(m_run_outcomes, {});
  }

 private:
  // Capacity that is reserved for a gang.
  struct Reservation {
    std::map<std::string, placement::Resources, std::less<>> capacity;
    bool firm = false;  // Otherwise urgent tasks may use the capacity.
    base::MonoTime expires{};
  };
  // Workers and slots for a gang's members, by the eligibility of the workers.
  struct GangCapacity {
    // Eligible with a valid ticket.
    std::vector<std::pair<const Worker*, int64_t>> with_ticket;
    // Eligible with or without a valid ticket.
    std::vector<std::pair<const Worker*, int64_t>> eligible;
    std::vector<std::pair<const Worker*, int64_t>> unknown;
    int64_t ticket_slots = 0;
    int64_t eligible_slots = 0;
    // Slots if all eligible and unknown workers were empty.
    int64_t max_slots = 0;
  };

  // Notices if this tick comes late.
  void ObserveTick(base::MonoTime now);
  void DropReservations(bool full, base::MonoTime now);
  placement::Resources FindLargestFree(base::MonoTime now) const;
  bool IsPlannedNow(const Job& job, const QueueTerms& terms, bool full) const;
  // Unless `full`, returns only steps of urgent queues and advised steps.
  std::vector<ReadyStep> FindReady(bool full,
                                   base::MonoTime now,
                                   int64_t unix_ms,
                                   SchedulerOutput& out);
  void AddReadySteps(const Job& job,
                     const QueueTerms& terms,
                     bool full,
                     base::MonoTime now,
                     int64_t unix_ms,
                     std::vector<ReadyStep>& ready,
                     SchedulerOutput& out);
  void SetSlack(ReadyStep& step, int64_t unix_ms) const;
  RunOutcome OutcomeOf(const TimedRun& timed,
                       const Job& job,
                       base::MonoTime now) const;
  void ObserveFinishedRuns(base::MonoTime now);
  void UpdateSpeeds(base::MonoTime now);
  bool FailIfAttemptsExhausted(const Job& job,
                               size_t step,
                               const QueueTerms& terms,
                               SchedulerOutput& out);
  // Requests a stop of all runs of the step.
  void StopStep(const Job& job, size_t s, StopReason reason);
  void StopFinalJobs();
  // Binds at most `limit` of the step's waiting tasks, and returns how many it
  // bound.
  size_t PlaceStep(const ReadyStep& step,
                   size_t limit,
                   base::MonoTime now,
                   SchedulerOutput& out);
  // Places the steps in the order of accounts' shares.
  void PlaceByShares(std::vector<ReadyStep>& ready,
                     base::MonoTime now,
                     SchedulerOutput& out);
  void SetTurn(ReadyStep& step) const;
  // Moves a step that is past its use to the front, another one each second.
  void ChooseFirst(std::vector<ReadyStep>& ready, base::MonoTime now);
  void ShareOut(std::span<const ReadyStep> ready, base::MonoTime now);
  void PlaceTurn(std::span<ReadyStep> steps,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void PlaceFirst(ReadyStep& step, base::MonoTime now, SchedulerOutput& out);
  // Places the tasks of the step that start while its account is within its
  // share. Returns true if others are left to be placed beyond it.
  bool PlaceWithinShare(ReadyStep& step,
                        ShareLimit limit,
                        base::MonoTime now,
                        SchedulerOutput& out);
  // The same as PlaceStep(), and removes the bound tasks from the step.
  size_t PlaceAndTrim(ReadyStep& step,
                      size_t limit,
                      base::MonoTime now,
                      SchedulerOutput& out);
  placement::Resources FindUsableCapacity(base::MonoTime now) const;
  void UpdateAccountLoads(std::span<const ReadyStep> ready);
  // Returns how many of the step's waiting tasks fit its account's cap.
  size_t CountUnderCap(const ReadyStep& step, base::MonoTime now);
  // Returns true, and logs it, if the step can never fit its account's cap.
  bool ExceedsCap(const ReadyStep& step, base::MonoTime now);
  // Returns true if the gang was bound.
  bool PlaceGang(const ReadyStep& step,
                 base::MonoTime now,
                 SchedulerOutput& out);
  // The lists are not sorted.
  GangCapacity FindGangCapacity(const ReadyStep& step,
                                base::MonoTime now) const;
  // Finds only the slots with a valid ticket.
  GangCapacity FindTicketCapacity(const ReadyStep& step,
                                  base::MonoTime now) const;
  // Returns true if the gang waits for advice, so that only tickets that it
  // already has can let it start, and no log line about it is due.
  bool NeedsOnlyTickets(const ReadyStep& step, base::MonoTime now) const;
  void LogWaitingGang(const ReadyStep& step,
                      const GangCapacity& capacity,
                      base::MonoTime now);
  void BindGang(const ReadyStep& step,
                GangCapacity& capacity,
                base::MonoTime now,
                SchedulerOutput& out);
  // Returns capacity for as many members as fit on eligible workers now.
  static Reservation MakeReservation(const ReadyStep& step,
                                     GangCapacity& capacity);
  // Reserves capacity for the whole gang and asks for tickets there. Does
  // neither, and returns false, if no VM is free for the query.
  bool ReserveAndQuery(const ReadyStep& step,
                       GangCapacity& capacity,
                       base::MonoTime now,
                       SchedulerOutput& out);
  // Returns true if tasks are being stopped for the gang.
  bool Preempt(const ReadyStep& step, base::MonoTime now, SchedulerOutput& out);
  void ExecutePreemption(const ReadyStep& step,
                         std::span<const WorkerPreemption> plans,
                         base::MonoTime now,
                         SchedulerOutput& out);
  void QueryAdviceForGang(const ReadyStep& step,
                          GangCapacity& capacity,
                          base::MonoTime now,
                          SchedulerOutput& out);
  size_t PlaceSingleTasks(const ReadyStep& step,
                          size_t limit,
                          base::MonoTime now,
                          SchedulerOutput& out);
  void QueryAdviceForSingles(const ReadyStep& step,
                             size_t missing,
                             SingleTaskWorkers& workers,
                             base::MonoTime now,
                             SchedulerOutput& out);
  // Returns true if the plan being made sees all steps that are as urgent.
  bool PlansInOrder(const ReadyStep& step) const;
  // Returns true if the step may start an advice query in this plan.
  bool MayQueryAdvice(const ReadyStep& step) const;
  // Returns false if no VM is free for the query.
  bool QueryAdvice(const ReadyStep& step,
                   std::vector<WorkerBoot> workers,
                   base::MonoTime now,
                   SchedulerOutput& out);
  bool IsCompatible(const ReadyStep& step, const Worker& worker) const;
  StepView ViewOf(const ReadyStep& step) const;
  SingleTaskWorkers FindSingleTaskWorkers(const ReadyStep& step,
                                          base::MonoTime now) const;
  void BindTask(const ReadyStep& step,
                int32_t index,
                int32_t run,
                const Worker& worker,
                base::MonoTime now,
                SchedulerOutput& out);
  // Returns the counter of the reason against starting the binding, null if
  // there is none.
  int64_t* ReasonNotToStart(const BindRecord& bind,
                            const Job* job,
                            base::MonoTime append_sent_at,
                            base::MonoTime now);
  // The newest terms of the job's queue; those under which the job was accepted
  // once the queue is removed. Null if neither is known.
  const QueueTerms* TermsOf(const Job& job) const;
  bool NeedsTicket(const Job& job) const;
  void SendStart(const BindRecord& bind,
                 base::MonoTime append_sent_at,
                 base::MonoTime now,
                 SchedulerOutput& out);
  StartOrder MakeStart(const TaskRef& task,
                       int32_t run,
                       const Job& job,
                       const Worker& worker,
                       base::MonoTime now);
  // The outcome of the binding's first send is known, or an open start.
  void SettleBind(const StartOrder& order);
  // Returns true if the task, which is bound there, may begin on the worker.
  bool FitsOn(const TaskRef& task, const Worker& worker) const;
  // Sends starts of unknown outcome again.
  void ResendStarts(base::MonoTime now, SchedulerOutput& out);
  void StopIncompleteGangs();
  void RecordJobStarted(JobId id, SchedulerOutput& out);
  void LogCounts(base::MonoTime now, size_t ready_steps);
  void PruneState(base::MonoTime now);

  const SchedulerOptions m_options;
  const JobTable& m_table;
  CellPolicy m_policy;
  AccountShares m_shares;
  AccountLoads m_account_loads;
  // The step past its use that goes first, and its place in their order.
  std::optional<StepRef> m_first_step;
  std::pair<int64_t, StepRef> m_last_first{};
  base::MonoTime m_next_first{};
  Fleet m_fleet;
  AdviceTracker m_advice;
  std::map<StepRef, Reservation> m_reservations;
  std::map<StepRef, base::MonoTime> m_next_wait_log;
  std::map<StepRef, base::MonoTime> m_next_preemption;
  std::map<AccountIndex, base::MonoTime> m_next_cap_log;
  std::map<AccountIndex, base::MonoTime> m_next_beyond_cap_log;
  // Gangs with a non-firm reservation in the current plan.
  int32_t m_waiting_gangs = 0;
  // Steps with new advice since the last plan.
  std::set<StepRef> m_advised;
  std::set<JobId> m_failing;          // JobFailedRecord is being stored.
  std::set<JobId> m_recorded_starts;  // JobStartedRecord was appended.
  std::map<TaskRef, std::string> m_last_failed_worker;  // Worker id.
  // No worker has more free than this of any resource; as of the plan's begin.
  placement::Resources m_largest_free;
  UnsentBindings m_unsent;
  // Bindings of the term are numbered from 0 on, in the order of the log.
  uint64_t m_stored_binds = 0;
  std::map<std::pair<TaskRef, int32_t>, uint64_t> m_unsettled_binds;
  std::set<uint64_t> m_unsettled_numbers;
  StartPacer m_pacer;
  RunTimes m_run_times;
  WorkerSpeeds m_speeds;
  std::vector<RunOutcome> m_run_outcomes;
  base::MonoTime m_next_speed_update{};
  base::MonoTime m_last_tick{};
  base::MonoTime m_next_full_plan{};
  bool m_plan_is_full = false;  // The plan being made.
  base::MonoTime m_next_prune{};
  mutable PlanCounts m_counts;
  PlanCounts m_logged_counts;
  base::MonoTime m_next_counts_log{};
};

}  // namespace azurespur::jobs

#endif  // JOBS_SCHEDULER_H_
