// A worker in virtual time, with the journal that the checks read.

#ifndef CONTROL_TESTS_FAKE_WORKER_H_
#define CONTROL_TESTS_FAKE_WORKER_H_

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fake_time.h"
#include "services/worker_client.h"

namespace azurespur::control {

// One run of one task id: when it held resources and when it did work.
struct JournalRun {
  std::string id;
  int64_t held_ms = 0;
  int64_t released_ms = -1;
  int64_t end_ms = -1;  // -1: still held.
  bool finished = false;
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
};

class FakeWorker {
 public:
  FakeWorker(FakeTime& time, std::string id, int64_t report_lag_ms)
      : m_time(time), m_id(std::move(id)), m_report_lag_ms(report_lag_ms) {}

  base::Outcome<base::Unit> Start(const services::WorkerStart& start) {
    Expire();
    if (m_tasks.contains(start.id)) {
      return base::Error{base::ErrorCode::kConflict, "known"};
    }
    if (m_failing && start.cpu_millis > 0) {
      return base::Error{base::ErrorCode::kInvalid, "start failed"};
    }
    Task& task = m_tasks[start.id];
    task.report.id = start.id;
    task.report.cpu_millis = start.cpu_millis;
    task.report.memory_mb = start.memory_mb;
    task.until_ms = Now() + start.lease.count();
    const size_t run = start.payload.find("run_ms=");
    task.run_ms = run == std::string::npos
                      ? 0
                      : std::atoll(start.payload.c_str() + run + 7);
    task.journal = m_journal.size();
    m_journal.push_back(
        {start.id, Now(), -1, -1, false, start.cpu_millis, start.memory_mb});
    return start.throttled ? base::Outcome<base::Unit>(base::Unit{})
                           : Release(start.id);
  }

  base::Outcome<std::vector<std::string>> Renew(
      base::Millis lease,
      const std::vector<std::string>& ids) {
    Expire();
    std::vector<std::string> unknown;
    for (const std::string& id : ids) {
      const auto found = m_tasks.find(id);
      if (found == m_tasks.end() || !Held(found->second)) {
        unknown.push_back(id);
      } else {
        found->second.until_ms = Now() + lease.count();
      }
    }
    return unknown;
  }

  base::Outcome<base::Unit> Release(const std::string& id) {
    Expire();
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end() || !Held(found->second)) {
      return base::Error{base::ErrorCode::kNotFound, "not running"};
    }
    Task& task = found->second;
    if (!task.report.released) {
      task.report.released = true;
      task.report.state = services::WorkerTaskState::kRunning;
      m_journal[task.journal].released_ms = Now();
      task.finish_ms = task.run_ms > 0 ? Now() + task.run_ms : -1;
    }
    return base::Unit{};
  }

  base::Outcome<services::WorkerStop> Stop(const std::string& id) {
    Expire();
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
      return services::WorkerStop{};
    }
    const services::WorkerStop stop{Held(found->second),
                                    found->second.report.released};
    if (stop.known) {
      End(found->second, services::WorkerTaskState::kStopped);
    }
    return stop;
  }

  services::WorkerReport Report() {
    Expire();
    services::WorkerReport report =
        m_snapshots.empty() ? Snapshot() : m_snapshots.front();
    for (const services::WorkerReport& snapshot : m_snapshots) {
      if (snapshot.made_ms <= Now() - m_report_lag_ms) {
        report = snapshot;
      }
    }
    return report;
  }

  // Call every virtual millisecond step.
  void Step() {
    Expire();
    if (Now() - m_snapshot_ms >= kSnapshotMillis) {
      m_snapshot_ms = Now();
      m_snapshots.push_back(Snapshot());
      while (m_snapshots.size() > 1 &&
             m_snapshots[1].made_ms <= Now() - m_report_lag_ms) {
        m_snapshots.pop_front();
      }
    }
  }

  void Restart() {
    for (auto& [id, task] : m_tasks) {
      if (Held(task)) {
        End(task, services::WorkerTaskState::kStopped);
      }
    }
    m_tasks.clear();
    m_snapshots.clear();
    ++m_boot;
    m_snapshot_ms = 0;
  }

  void SetFailing(bool failing) { m_failing = failing; }
  const std::string& id() const { return m_id; }
  const std::vector<JournalRun>& journal() const { return m_journal; }

 private:
  static constexpr int64_t kSnapshotMillis = 100;
  static constexpr int64_t kEndedMemoryMillis = 20000;

  struct Task {
    services::WorkerTask report;
    int64_t until_ms = 0;
    int64_t run_ms = 0;
    int64_t finish_ms = -1;
    int64_t ended_ms = 0;
    size_t journal = 0;
  };

  int64_t Now() const { return m_time.NowMillis(); }

  static bool Held(const Task& task) {
    return task.report.state == services::WorkerTaskState::kThrottled ||
           task.report.state == services::WorkerTaskState::kRunning;
  }

  void End(Task& task, services::WorkerTaskState state) {
    task.report.state = state;
    task.ended_ms = Now();
    JournalRun& run = m_journal[task.journal];
    run.end_ms = Now();
    run.finished = state == services::WorkerTaskState::kFinished;
  }

  void Expire() {
    for (auto it = m_tasks.begin(); it != m_tasks.end();) {
      Task& task = it->second;
      if (Held(task) && task.finish_ms >= 0 && task.finish_ms <= Now()) {
        task.report.result = "done";
        End(task, services::WorkerTaskState::kFinished);
      } else if (Held(task) && task.until_ms <= Now()) {
        End(task, services::WorkerTaskState::kLapsed);
      }
      const bool forget =
          !Held(task) && Now() - task.ended_ms > kEndedMemoryMillis;
      it = forget ? m_tasks.erase(it) : std::next(it);
    }
  }

  services::WorkerReport Snapshot() {
    services::WorkerReport report;
    report.boot = m_id + "/" + std::to_string(m_boot);
    report.made_ms = Now();
    for (auto& [id, task] : m_tasks) {
      services::WorkerTask entry = task.report;
      entry.lease_left_ms = std::max<int64_t>(0, task.until_ms - Now());
      report.tasks.push_back(std::move(entry));
    }
    return report;
  }

  FakeTime& m_time;
  const std::string m_id;
  const int64_t m_report_lag_ms;
  int m_boot = 1;
  bool m_failing = false;
  int64_t m_snapshot_ms = 0;
  std::map<std::string, Task> m_tasks;
  std::deque<services::WorkerReport> m_snapshots;
  std::vector<JournalRun> m_journal;
};

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAKE_WORKER_H_
