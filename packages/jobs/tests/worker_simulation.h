// Workers as a leader meets them: boots under one id, fence numbers, leases on
// the worker's own clock, ends that are listed until they are noted.

#ifndef JOBS_TESTS_WORKER_SIMULATION_H_
#define JOBS_TESTS_WORKER_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/orders.h"
#include "jobs/worker_entry.h"
#include "jobs/worker_report.h"

namespace azurespur::jobs {

// One run of a task as its worker saw it.
struct RunRow {
  TaskRef task;
  int32_t run = 0;
  std::string worker;
  base::MonoTime began{};
  std::optional<base::MonoTime> ended;
  bool done = false;
  bool noted = false;         // A leader has taken note of the end.
  bool started_late = false;  // By a call that was carried out late.
};

class SimulatedWorker {
 public:
  static constexpr int64_t kMaxLeaseMs = 10000;
  static constexpr base::Millis kStopTime{300};

  // `uptime` is the age of the first boot, and so its clock. `rows` must
  // outlive the worker.
  SimulatedWorker(WorkerEntry entry,
                  base::MonoTime now,
                  base::Millis uptime,
                  std::vector<RunRow>& rows)
      : m_entry(std::move(entry)), m_booted(now - uptime), m_rows(&rows) {}

  const WorkerEntry& entry() const { return m_entry; }
  bool up() const { return m_up; }
  // Something listens at its address.
  bool answers() const { return m_up || m_replaced; }
  size_t starts_over_capacity() const { return m_starts_over_capacity; }
  int64_t ClockMs(base::MonoTime now) const {
    return base::MillisBetween(m_booted, now);
  }

  void Crash(base::MonoTime now) {
    for (const auto& [task, index] : m_running) {
      (*m_rows)[index].ended = now;
    }
    m_running.clear();
    m_up = false;
  }

  // It crashes, and another worker takes its address.
  void Replace(base::MonoTime now) {
    Crash(now);
    m_replaced = true;
  }

  // Begins a new boot, which knows nothing of the former one.
  void Boot(base::MonoTime now) {
    m_up = true;
    m_replaced = false;
    ++m_entry.boot.boot_unix_ms;
    m_booted = now;
    m_fence = 0;
    m_lease_until_ms = 0;
    m_lapsed_at = now;
    m_stops.clear();
    m_ends.clear();
    m_next_end = 1;
    m_refused_up_to.clear();
  }

  // Ends the runs whose work or lease is over.
  void Advance(base::MonoTime now) {
    if (!m_up) {
      return;
    }
    const bool lapsed = ClockMs(now) >= m_lease_until_ms;
    if (lapsed) {
      m_lapsed_at = now;
    }
    const auto running = m_running;
    for (const auto& [task, index] : running) {
      const RunRow& row = (*m_rows)[index];
      const auto stop = m_stops.find(task);
      if (lapsed) {
        End(task, EndCause::kLeaseExpired, now);
      } else if (stop != m_stops.end() && now >= stop->second) {
        End(task, EndCause::kStopped, now);
      } else if (now >= row.began + m_work.at(task)) {
        End(task, EndCause::kDone, now);
      }
    }
  }

  OrderOutcome Start(const StartOrder& order, bool late, base::MonoTime now) {
    if (m_replaced) {
      return OrderOutcome::kOtherBoot;
    }
    if (!Admit(order.fence)) {
      return OrderOutcome::kFenced;
    }
    if (order.lease_until_ms <= ClockMs(now)) {
      return OrderOutcome::kLeaseExpired;
    }
    ExtendLease(order.lease_until_ms, now);
    const auto running = m_running.find(order.task);
    if (running != m_running.end() &&
        (*m_rows)[running->second].run == order.run) {
      return OrderOutcome::kAccepted;
    }
    if (running != m_running.end() ||
        order.run <= m_refused_up_to[order.task]) {
      return OrderOutcome::kStaleRun;
    }
    m_running[order.task] = m_rows->size();
    m_work[order.task] = base::Millis{std::stoll(order.payload)};
    m_rows->push_back({order.task, order.run, m_entry.boot.id, now,
                       std::nullopt, false, false, late});
    m_starts_over_capacity += !late && !HasRoom() ? 1 : 0;
    return OrderOutcome::kAccepted;
  }

  OrderOutcome Stop(const StopOrder& order, base::MonoTime now) {
    if (m_replaced) {
      return OrderOutcome::kOtherBoot;
    }
    if (!Admit(order.fence)) {
      return OrderOutcome::kFenced;
    }
    int32_t& refused = m_refused_up_to[order.task];
    refused = std::max(refused, order.run);
    const auto running = m_running.find(order.task);
    if (running != m_running.end() &&
        (*m_rows)[running->second].run <= order.run) {
      m_stops.emplace(order.task, now + kStopTime);
    }
    return OrderOutcome::kAccepted;
  }

  // Answers at once, whatever the order says of waiting.
  std::pair<OrderOutcome, WorkerReport> Hold(const HoldOrder& order,
                                             base::MonoTime now) {
    WorkerReport report;
    if (m_replaced) {
      return {OrderOutcome::kOtherBoot, report};
    }
    report.boot_unix_ms = m_entry.boot.boot_unix_ms;
    report.clock_ms = ClockMs(now);
    if (!Admit(order.fence)) {
      return {OrderOutcome::kFenced, report};
    }
    if (order.lease_until_ms) {
      ExtendLease(*order.lease_until_ms, now);
    }
    std::erase_if(m_ends, [this, &order](const ListedEnd& listed) {
      const bool seen = listed.end.number <= order.acked_end_number;
      if (seen && m_lapsed_at < *(*m_rows)[listed.row].ended) {
        (*m_rows)[listed.row].noted = true;
      }
      return seen;
    });
    for (const auto& [task, index] : m_running) {
      const RunRow& row = (*m_rows)[index];
      const int64_t worked = base::MillisBetween(row.began, now);
      report.running.push_back(
          {task, row.run, "",
           static_cast<int32_t>(100 * worked / m_work.at(task).count())});
    }
    for (const ListedEnd& listed : m_ends) {
      report.ended.push_back(listed.end);
    }
    return {OrderOutcome::kAccepted, report};
  }

 private:
  struct ListedEnd {
    EndedTask end;
    size_t row = 0;
  };

  bool Admit(uint64_t fence) {
    if (fence < m_fence) {
      return false;
    }
    m_fence = fence;
    return true;
  }

  void ExtendLease(int64_t until_ms, base::MonoTime now) {
    m_lease_until_ms = std::max(m_lease_until_ms,
                                std::min(until_ms, ClockMs(now) + kMaxLeaseMs));
  }

  // All tasks of these tests demand half of a worker.
  bool HasRoom() const { return m_running.size() <= 2; }

  void End(const TaskRef& task, EndCause cause, base::MonoTime now) {
    const size_t index = m_running.at(task);
    RunRow& row = (*m_rows)[index];
    row.ended = now;
    row.done = cause == EndCause::kDone;
    m_ends.push_back({{m_next_end++, task, row.run, cause, ""}, index});
    int32_t& refused = m_refused_up_to[task];
    refused = std::max(refused, row.run);
    m_running.erase(task);
    m_stops.erase(task);
  }

  WorkerEntry m_entry;
  base::MonoTime m_booted;
  std::vector<RunRow>* m_rows;
  bool m_up = true;
  bool m_replaced = false;
  uint64_t m_fence = 0;
  int64_t m_lease_until_ms = 0;
  base::MonoTime m_lapsed_at{};
  std::map<TaskRef, size_t> m_running;  // Index of the row.
  std::map<TaskRef, base::Millis> m_work;
  std::map<TaskRef, base::MonoTime> m_stops;
  std::vector<ListedEnd> m_ends;
  int64_t m_next_end = 1;
  std::map<TaskRef, int32_t> m_refused_up_to;
  size_t m_starts_over_capacity = 0;
};

}  // namespace azurespur::jobs

#endif  // JOBS_TESTS_WORKER_SIMULATION_H_
