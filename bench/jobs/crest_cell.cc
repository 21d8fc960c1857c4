#include "crest_cell.h"

#include <algorithm>
#include <variant>

#include "jobs/records.h"
#include "report_text.h"
#include "wire_codec.h"

namespace azurespur::jobs {

namespace {

constexpr base::Millis kStep{1};
constexpr base::Millis kTickInterval{15};
constexpr base::Millis kAppendTime{6};
constexpr base::Millis kOrderTime{2};
constexpr base::Millis kNotifyTime{1};
constexpr int64_t kWorkerCpuMillis = 16000;
constexpr int64_t kWorkerMemoryMb = 65536;
constexpr int kWorkersPerRack = 20;
constexpr double kMillisPerSecond = 1000;

std::vector<WorkerEntry> MakeEntries(int count) {
  std::vector<WorkerEntry> entries;
  for (int i = 0; i < count; ++i) {
    WorkerEntry entry;
    entry.boot = {"worker-" + std::to_string(i), 1};
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.rack = "r" + std::to_string(i / kWorkersPerRack);
    entry.labels = {i % 2 == 0 ? "a" : "b", entry.rack};
    entry.capacity = {kWorkerCpuMillis, kWorkerMemoryMb, 0};
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace

CrestCell::CrestCell(int workers,
                     int vms,
                     double jobs_per_second,
                     uint64_t seed)
    : m_load(seed),
      m_scheduler(SchedulerOptions{}, m_table),
      m_jobs_per_second(jobs_per_second) {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(vms));
  for (int i = 0; i < vms; ++i) {
    names.push_back("vm-" + std::to_string(i));
  }
  m_scheduler.Adopt(m_now);
  m_scheduler.SetPolicy(CrestLoad::Policy());
  m_scheduler.SetAdviceVms(names);
  m_scheduler.SetWorkers(MakeEntries(workers), m_now);
}

void CrestCell::At(base::MonoTime time, std::function<void()> event) {
  m_events.emplace(time, std::move(event));
}

void CrestCell::Run(base::Millis time) {
  const base::MonoTime end = m_now + time;
  while (m_now < end) {
    m_now += kStep;
    SubmitDue();
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      auto event = m_events.extract(m_events.begin());
      event.mapped()();
    }
    TickIfDue();
    Dispatch();
  }
}

void CrestCell::ResetFigures() {
  m_duties.Reset();
  m_starts = 0;
  m_holds = 0;
  m_answers = 0;
}

int64_t CrestCell::CountWaitingSteps() const {
  int64_t count = 0;
  for (const auto& [id, job] : m_table.jobs()) {
    for (size_t s = 0; s < job.steps.size(); ++s) {
      const StepProgress& step = job.steps[s];
      const auto tasks = static_cast<int32_t>(step.tasks.size());
      count += StepIsReady(job, s) && step.done + step.bound < tasks ? 1 : 0;
    }
  }
  return count;
}

void CrestCell::SubmitDue() {
  m_jobs_due += m_jobs_per_second / kMillisPerSecond;
  while (m_jobs_due >= 1) {
    m_jobs_due -= 1;
    m_table.Submit(m_load.NextJob(m_next_job, UnixMs()), m_now);
    ++m_next_job;
  }
}

void CrestCell::TickIfDue() {
  if (m_now < m_next_tick) {
    return;
  }
  m_next_tick = m_now + kTickInterval;
  const int64_t before = m_scheduler.plan_counts().full_plans;
  m_duties.Measure([&] {
    m_scheduler.Tick(m_now, UnixMs(), m_now, m_out);
    return m_scheduler.plan_counts().full_plans > before ? Duty::kFullPlan
                                                         : Duty::kUrgentPlan;
  });
}

void CrestCell::Dispatch() {
  SchedulerOutput out = std::exchange(m_out, {});
  if (!out.records.empty()) {
    Store(std::move(out.records));
  }
  std::for_each(out.starts.begin(), out.starts.end(),
                [this](const auto& order) { Start(order); });
  std::for_each(out.stops.begin(), out.stops.end(),
                [this](const auto& order) { Stop(order); });
  std::for_each(out.holds.begin(), out.holds.end(),
                [this](const auto& order) { Hold(order); });
  std::for_each(out.queries.begin(), out.queries.end(),
                [this](const auto& query) { Query(query); });
}

void CrestCell::Store(std::vector<PendingRecord> records) {
  std::vector<std::string> bytes;
  m_duties.Measure(Duty::kRecordEncode, [&] {
    for (const PendingRecord& pending : records) {
      bytes.push_back(EncodeWork(pending.record));
    }
  });
  const base::MonoTime sent_at = m_now;
  At(m_now + kAppendTime,
     [this, records = std::move(records), bytes = std::move(bytes), sent_at] {
       OnStored(records, bytes, sent_at);
     });
}

void CrestCell::OnStored(const std::vector<PendingRecord>& records,
                         const std::vector<std::string>& bytes,
                         base::MonoTime stored_at) {
  m_duties.Measure(Duty::kRecordApply, [&] {
    for (const std::string& one : bytes) {
      m_table.Apply(base::Value(DecodeWork(one)), m_now);
    }
  });
  m_duties.Measure(Duty::kStored, [&] {
    for (const PendingRecord& pending : records) {
      m_scheduler.OnStored(pending, stored_at, m_now, m_out);
    }
  });
}

void CrestCell::Start(const StartOrder& order) {
  ++m_starts;
  m_duties.Measure(Duty::kStartEncode, [&] { platform::EncodeStart(order); });
  At(m_now + kOrderTime, [this, order] {
    const Job* job = m_table.Find(order.task.job);
    if (job != nullptr) {
      const auto step = static_cast<size_t>(order.task.step);
      m_workers[order.worker.id].running[order.task] = {order.run};
      const auto duration =
          base::Millis{m_load.NextDurationMs(job->spec.steps[step])};
      At(m_now + duration, [this, worker = order.worker.id, task = order.task] {
        End(worker, task, EndCause::kDone);
      });
    }
    m_duties.Measure(Duty::kStarted, [&] {
      m_scheduler.OnStarted(order, {OrderOutcome::kAccepted, std::nullopt},
                            m_now, m_out);
    });
  });
}

void CrestCell::Stop(const StopOrder& order) {
  At(m_now + kOrderTime, [this, order] {
    End(order.worker.id, order.task, EndCause::kStopped);
    m_scheduler.OnStopped(order, OrderOutcome::kAccepted, m_now, m_out);
  });
}

void CrestCell::End(const std::string& id,
                    const TaskRef& task,
                    EndCause cause) {
  CrestWorker& worker = m_workers[id];
  const auto found = worker.running.find(task);
  if (found == worker.running.end()) {
    return;
  }
  EndedTask end;
  end.number = ++worker.end_number;
  end.task = task;
  end.run = found->second.run;
  end.cause = cause;
  worker.ended.push_back(end);
  worker.running.erase(found);
  AnswerHold(id);
}

void CrestCell::Hold(const HoldOrder& order) {
  ++m_holds;
  m_duties.Measure(Duty::kHoldEncode, [&] { platform::EncodeHold(order); });
  At(m_now + kOrderTime, [this, order] {
    CrestWorker& worker = m_workers[order.worker.id];
    std::erase_if(worker.ended, [&order](const EndedTask& end) {
      return end.number <= order.acked_end_number;
    });
    worker.hold = order;
    worker.holding = true;
    if (!worker.ended.empty() || order.wait.count() == 0) {
      AnswerHold(order.worker.id);
      return;
    }
    At(m_now + order.wait, [this, id = order.worker.id, sent = order.sent_at] {
      if (m_workers[id].hold.sent_at == sent) {
        AnswerHold(id);
      }
    });
  });
}

void CrestCell::AnswerHold(const std::string& id) {
  CrestWorker& worker = m_workers[id];
  if (!worker.holding) {
    return;
  }
  worker.holding = false;
  std::vector<TaskRef> running;
  for (const auto& [task, run] : worker.running) {
    running.push_back(task);
  }
  const std::string body =
      platform::FormatReport(UnixMs(), running, worker.ended);
  WorkerReport report;
  m_duties.Measure(Duty::kReportDecode,
                   [&] { report = base::Value(platform::DecodeReport(body)); });
  // Progress grows, so that no run counts as stalled.
  for (RunningTask& task : report.running) {
    const auto found = worker.running.find(task.task);
    task.run = found->second.run;
    task.percent = static_cast<int32_t>(UnixMs());
  }
  m_duties.Measure(Duty::kReport, [&] {
    m_scheduler.OnReport(worker.hold, report, m_now, m_out);
  });
}

// A VM's calls are answered one after another.
void CrestCell::Query(const AdviceQuery& query) {
  const Job* job = m_table.Find(query.step.job);
  if (job == nullptr) {
    return;
  }
  const std::string& queue = job->spec.queue;
  const AdvicePolicy advice = *CrestLoad::Policy().queues[queue].advice;
  std::vector<AdviceTicket> tickets;
  for (const std::string& worker : query.workers) {
    if (CrestLoad::IsEligible(queue, query.step, worker)) {
      tickets.push_back({worker, "0123456789abcdef"});
    }
  }
  const double duration =
      advice.base_ms +
      advice.per_worker_ms * static_cast<double>(query.workers.size());
  base::MonoTime& free_at = m_vm_free_at[query.vm];
  free_at = std::max(free_at, m_now + kNotifyTime) +
            base::Millis{static_cast<int64_t>(duration)};
  At(free_at + kNotifyTime, [this, id = query.id, tickets] {
    ++m_answers;
    m_duties.Measure(Duty::kAdvice,
                     [&] { m_scheduler.OnAdvice(id, tickets, m_now); });
  });
}

}  // namespace azurespur::jobs
