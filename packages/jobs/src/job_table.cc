#include "jobs/job_table.h"

#include <algorithm>
#include <utility>

namespace azurespur::jobs {

namespace {

// After its record, a start is open for up to 10 s more until the next record,
// 12.5 s until it has arrived, and the lease of what it began.
constexpr base::Millis kKeepOpenStarts{35000};
// Each binding is applied by all VMs, so none but the first one to a worker is
// noted; idle workers are found by their tasks once in this time.
constexpr base::Millis kKeepIdleWorkers{60000};
// A term of an earlier release settles none. More than any leader has under
// way.
constexpr size_t kMaxUnsettled = 20000;

TaskProgress* FindTask(Job& job, const TaskRef& task) {
  if (task.step < 0 || static_cast<size_t>(task.step) >= job.steps.size()) {
    return nullptr;
  }
  auto& tasks = job.steps[static_cast<size_t>(task.step)].tasks;
  if (task.index < 0 || static_cast<size_t>(task.index) >= tasks.size()) {
    return nullptr;
  }
  return &tasks[static_cast<size_t>(task.index)];
}

void CountFailure(StepProgress& step, TaskProgress& task, int32_t run) {
  ++task.failures;
  // Several members of a gang may report the failure of the same run.
  if (run > step.last_failed_run) {
    step.last_failed_run = run;
    ++step.failed_runs;
  }
}

// The end `done` of one member completes the whole gang.
void FinishGang(StepProgress& step) {
  for (TaskProgress& task : step.tasks) {
    task.phase = TaskPhase::kDone;
  }
  step.bound = 0;
  step.done = static_cast<int32_t>(step.tasks.size());
}

bool AllDone(const Job& job) {
  return std::all_of(
      job.steps.begin(), job.steps.end(), [](const StepProgress& step) {
        return step.done == static_cast<int32_t>(step.tasks.size());
      });
}

bool AnyBound(const Job& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const StepProgress& step) { return step.bound > 0; });
}

}  // namespace

bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

std::string_view JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

bool StepIsReady(const Job& job, size_t step) {
  const auto& after = job.spec.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&job](int32_t earlier) {
    const StepProgress& progress = job.steps[static_cast<size_t>(earlier)];
    return progress.done == static_cast<int32_t>(progress.tasks.size());
  });
}

bool JobTable::Submit(const JobSpec& spec, base::MonoTime now) {
  if (StateOf(spec.id)) {
    return false;
  }
  m_missing.erase(spec.id);
  if (m_early_cancels.erase(spec.id) > 0) {
    m_final[spec.id] = {JobState::kCancelled, now, spec.account};
    return true;
  }
  Job job;
  job.spec = spec;
  if (!spec.account.empty()) {
    job.beyond_rate =
        m_rates.Add(spec.account, spec.account_rate, spec.submitted_unix_ms);
  }
  job.accepted_at = now;
  job.state_since = now;
  job.steps.resize(spec.steps.size());
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    job.steps[i].tasks.resize(static_cast<size_t>(spec.steps[i].count));
  }
  ++m_pending[spec.queue];
  m_jobs.emplace(spec.id, std::move(job));
  return true;
}

bool JobTable::Submit(const Submission& submission, base::MonoTime now) {
  if (!Submit(submission.spec, now)) {
    return false;
  }
  const auto found = m_jobs.find(submission.spec.id);
  if (found != m_jobs.end()) {
    found->second.terms = submission.terms;
  }
  return true;
}

bool JobTable::Cancel(JobId id, int64_t offset, base::MonoTime now) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    const bool known = m_final.count(id) > 0;
    if (!known) {
      m_early_cancels.emplace(id, now);
    }
    return known;
  }
  if (!IsFinal(found->second.state)) {
    SetState(found->second, JobState::kCancelled, now);
    m_cancel_offsets.emplace(id, offset);
  }
  return true;
}

void JobTable::DeclareMissing(JobId id, int64_t offset, base::MonoTime now) {
  if (!StateOf(id)) {
    m_missing[id] = {offset, now};
  }
}

bool JobTable::IsVoid(JobId id, int64_t intake_next) const {
  const auto found = m_missing.find(id);
  return found != m_missing.end() && intake_next <= found->second.offset;
}

void JobTable::Apply(const IntakeRecord& record,
                     int64_t offset,
                     base::MonoTime now) {
  if (const auto* cancel = std::get_if<CancelRecord>(&record)) {
    Cancel(cancel->job, offset, now);
    return;
  }
  if (const auto* missing = std::get_if<MissingJobRecord>(&record)) {
    DeclareMissing(missing->job, offset, now);
    return;
  }
  const auto* received = std::get_if<ReceivedSubmission>(&record);
  // Earlier releases don't store how far the receiver had read.
  if (IsVoid(JobOf(record), received != nullptr ? received->intake_next : 0)) {
    return;
  }
  if (received != nullptr) {
    Submit(received->submission, now);
  } else if (const auto* submission = std::get_if<Submission>(&record)) {
    Submit(*submission, now);
  } else {
    Submit(std::get<JobSpec>(record), now);
  }
}

void JobTable::Apply(const WorkRecord& record, base::MonoTime now) {
  std::visit([this, now](const auto& one) { ApplyOne(one, now); }, record);
}

// Nobody waits for the answers to the former leader's starts any more.
void JobTable::ApplyOne(const LeaderRecord& record, base::MonoTime now) {
  m_leader = record;
  m_yielded = false;
  if (m_settles) {
    for (const auto& [number, bind] : m_unsettled) {
      m_open_starts[bind.task] = {bind.worker, now};
    }
  }
  m_unsettled.clear();
  m_term_binds = 0;
  m_settles = false;
}

void JobTable::ApplyOne(const OpenStartRecord& record, base::MonoTime now) {
  m_open_starts[record.task] = {record.worker, now};
}

void JobTable::ApplyOne(const YieldRecord& record, base::MonoTime /*now*/) {
  m_yielded = m_yielded || record.epoch == m_leader.epoch;
}

// The leader knew of all cancellations before `intake_end`, so no bindings of
// the cancelled jobs follow.
void JobTable::ApplyOne(const HeartbeatRecord& record, base::MonoTime /*now*/) {
  for (auto it = m_cancel_offsets.begin(); it != m_cancel_offsets.end();) {
    const JobId id = it->first;
    const bool known = it->second < record.intake_end;
    it = known ? m_cancel_offsets.erase(it) : std::next(it);
    if (known) {
      CompactIfFinished(id);
    }
  }
  if (record.settled_binds) {
    m_settles = true;
    m_unsettled.erase(m_unsettled.begin(),
                      m_unsettled.lower_bound(*record.settled_binds));
  }
}

void JobTable::ApplyOne(const BindRecord& record, base::MonoTime now) {
  if (!record.address.empty()) {
    m_workers[record.worker.id] = {record.worker, record.address, now};
  }
  m_unsettled[m_term_binds++] = {record.task, record.worker.id};
  if (m_unsettled.size() > kMaxUnsettled) {
    m_unsettled.erase(m_unsettled.begin());
  }
  const auto found = m_jobs.find(record.task.job);
  if (found == m_jobs.end()) {
    return;
  }
  Job& job = found->second;
  TaskProgress* task = FindTask(job, record.task);
  if (task == nullptr || task->phase == TaskPhase::kDone) {
    return;
  }
  if (task->phase == TaskPhase::kWaiting) {
    ++job.steps[static_cast<size_t>(record.task.step)].bound;
  }
  task->phase = TaskPhase::kBound;
  task->run = std::max(task->run, record.run);
  task->worker = record.worker;
}

void JobTable::ApplyOne(const JobStartedRecord& record, base::MonoTime now) {
  const auto found = m_jobs.find(record.job);
  if (found != m_jobs.end() && found->second.state == JobState::kQueued) {
    SetState(found->second, JobState::kRunning, now);
  }
}

void JobTable::ApplyOne(const EndRecord& record, base::MonoTime now) {
  const auto found = m_jobs.find(record.task.job);
  if (found == m_jobs.end()) {
    return;
  }
  Job& job = found->second;
  TaskProgress* task = FindTask(job, record.task);
  if (task == nullptr || task->phase != TaskPhase::kBound ||
      task->run != record.run) {
    return;
  }
  const StepSpec& spec = job.spec.steps[static_cast<size_t>(record.task.step)];
  StepProgress& step = job.steps[static_cast<size_t>(record.task.step)];
  if (!record.checkpoint.empty()) {
    task->checkpoint = record.checkpoint;
    step.gang_checkpoint = record.checkpoint;
  }
  if (record.kind == EndKind::kDone && spec.gang) {
    FinishGang(step);
  } else {
    --step.bound;
    task->worker = {};
    const bool done = record.kind == EndKind::kDone;
    task->phase = done ? TaskPhase::kDone : TaskPhase::kWaiting;
    step.done += done ? 1 : 0;
  }
  if (record.kind == EndKind::kFailed) {
    CountFailure(step, *task, record.run);
  }
  if (job.state == JobState::kQueued && record.kind != EndKind::kReleased) {
    SetState(job, JobState::kRunning, now);
  }
  if (!IsFinal(job.state) && AllDone(job)) {
    SetState(job, JobState::kCompleted, now);
  }
  CompactIfFinished(record.task.job);
}

void JobTable::ApplyOne(const JobFailedRecord& record, base::MonoTime now) {
  const auto found = m_jobs.find(record.job);
  if (found == m_jobs.end() || IsFinal(found->second.state)) {
    return;
  }
  SetState(found->second, JobState::kFailed, now);
  CompactIfFinished(record.job);
}

void JobTable::SetState(Job& job, JobState state, base::MonoTime now) {
  if (job.state == JobState::kQueued) {
    --m_pending[job.spec.queue];
  }
  job.state = state;
  job.state_since = now;
}

void JobTable::CompactIfFinished(JobId id) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || !IsFinal(found->second.state) ||
      AnyBound(found->second) || m_cancel_offsets.count(id) > 0) {
    return;
  }
  m_final[id] = {found->second.state, found->second.state_since,
                 found->second.spec.account};
  m_jobs.erase(found);
}

const Job* JobTable::Find(JobId id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : &found->second;
}

std::optional<JobState> JobTable::StateOf(JobId id) const {
  if (const Job* job = Find(id)) {
    return job->state;
  }
  const auto found = m_final.find(id);
  if (found == m_final.end()) {
    return std::nullopt;
  }
  return found->second.state;
}

std::string_view JobTable::AccountOf(JobId id) const {
  if (const Job* job = Find(id)) {
    return job->spec.account;
  }
  const auto found = m_final.find(id);
  return found == m_final.end() ? std::string_view()
                                : std::string_view(found->second.account);
}

int64_t JobTable::CountPending(std::string_view queue) const {
  const auto found = m_pending.find(queue);
  return found == m_pending.end() ? 0 : found->second;
}

void JobTable::RemoveExpired(base::MonoTime now, base::Millis keep) {
  std::erase_if(m_final, [now, keep](const auto& entry) {
    return entry.second.since + keep < now;
  });
  std::erase_if(m_early_cancels, [now, keep](const auto& entry) {
    return entry.second + keep < now;
  });
  std::erase_if(m_missing, [now, keep](const auto& entry) {
    return entry.second.since + keep < now;
  });
  std::erase_if(m_open_starts, [now](const auto& entry) {
    return entry.second.since + kKeepOpenStarts < now;
  });
  RemoveIdleWorkers(now);
}

void JobTable::RemoveIdleWorkers(base::MonoTime now) {
  const auto is_old = [now](const auto& entry) {
    return entry.second.known_since + kKeepIdleWorkers < now;
  };
  if (std::none_of(m_workers.begin(), m_workers.end(), is_old)) {
    return;
  }
  for (const auto& [id, job] : m_jobs) {
    for (const StepProgress& step : job.steps) {
      for (const TaskProgress& task : step.tasks) {
        if (task.phase != TaskPhase::kBound) {
          continue;
        }
        const auto worker = m_workers.find(task.worker.id);
        if (worker != m_workers.end()) {
          worker->second.known_since = now;
        }
      }
    }
  }
  std::erase_if(m_workers, is_old);
}

std::string_view JobTable::AddressOf(const WorkerBoot& boot) const {
  const auto found = m_workers.find(boot.id);
  return found != m_workers.end() && found->second.boot == boot
             ? std::string_view(found->second.address)
             : std::string_view();
}

}  // namespace azurespur::jobs
