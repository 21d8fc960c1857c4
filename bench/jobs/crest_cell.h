// Workers, log and advice service of a crest in virtual time, around a real
// scheduler, record encoding and wire codec.

#ifndef BENCH_JOBS_CREST_CELL_H_
#define BENCH_JOBS_CREST_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "crest_load.h"
#include "duty_clock.h"
#include "jobs/job_table.h"
#include "jobs/scheduler.h"

namespace azurespur::jobs {

class CrestCell {
 public:
  CrestCell(int workers, int vms, double jobs_per_second, uint64_t seed);

  void Run(base::Millis time);
  void ResetFigures();

  const DutyClock& duties() const { return m_duties; }
  const PlanCounts& plans() const { return m_scheduler.plan_counts(); }
  int64_t starts() const { return m_starts; }
  int64_t holds() const { return m_holds; }
  int64_t answers() const { return m_answers; }
  // Ready steps with tasks that wait.
  int64_t CountWaitingSteps() const;

 private:
  struct RunningHere {
    int32_t run = 0;
  };
  struct CrestWorker {
    std::map<TaskRef, RunningHere> running;
    std::vector<EndedTask> ended;
    int64_t end_number = 0;
    // The hold order that waits, if `holding`.
    HoldOrder hold;
    bool holding = false;
  };

  void At(base::MonoTime time, std::function<void()> event);
  void SubmitDue();
  void TickIfDue();
  void Dispatch();
  void Store(std::vector<PendingRecord> records);
  void OnStored(const std::vector<PendingRecord>& records,
                const std::vector<std::string>& bytes,
                base::MonoTime stored_at);
  void Start(const StartOrder& order);
  void Stop(const StopOrder& order);
  void Hold(const HoldOrder& order);
  void AnswerHold(const std::string& worker);
  void Query(const AdviceQuery& query);
  void End(const std::string& worker, const TaskRef& task, EndCause cause);
  int64_t UnixMs() const { return base::MillisBetween({}, m_now); }

  CrestLoad m_load;
  JobTable m_table;
  Scheduler m_scheduler;
  SchedulerOutput m_out;
  DutyClock m_duties;
  base::MonoTime m_now{base::Millis{1000000}};
  base::MonoTime m_next_tick{};
  const double m_jobs_per_second;
  double m_jobs_due = 0;
  JobId m_next_job = 1;
  std::map<std::string, CrestWorker> m_workers;
  std::map<std::string, base::MonoTime> m_vm_free_at;
  std::multimap<base::MonoTime, std::function<void()>> m_events;
  int64_t m_starts = 0;
  int64_t m_holds = 0;
  int64_t m_answers = 0;
};

}  // namespace azurespur::jobs

#endif  // BENCH_JOBS_CREST_CELL_H_
