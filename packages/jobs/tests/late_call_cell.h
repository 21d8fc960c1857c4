// A leader, simulated workers, and a network that may carry a call out seconds
// later, at whichever boot of its worker is up then.

#ifndef JOBS_TESTS_LATE_CALL_CELL_H_
#define JOBS_TESTS_LATE_CALL_CELL_H_

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/scheduler.h"
#include "worker_simulation.h"

namespace azurespur::jobs {

enum class CallKind { kStart, kStop, kHold };

struct LateCallCell {
  static constexpr base::Millis kTick{20};
  static constexpr base::Millis kAnswerTimeout{350};
  static constexpr base::Millis kDirectoryInterval{500};
  static constexpr uint64_t kFencesPerTerm = uint64_t{1} << 20;
  static constexpr int64_t kCapacity = 100;

  LateCallCell() {
    QueuePolicy queue;
    queue.name = "batch";
    queue.service = "s";
    queue.priority = 1;
    queue.max_attempts = 100;
    queue.stretch = 2;
    queue.target_ms = 100000;
    policy.queues["batch"] = queue;
    options.fence = kFencesPerTerm;
    ReplaceLeader();
  }

  void AddWorker(const std::string& id, base::Millis uptime) {
    WorkerEntry entry;
    entry.boot = {id, 1};
    entry.service = "s";
    entry.address = "addr-" + id;
    entry.rack = "r";
    entry.capacity = {kCapacity, 1000000, 0};
    workers.emplace(id, SimulatedWorker(entry, now, uptime, *rows));
    directory[id] = entry;
  }

  // One task that works for `work` and demands half of a worker.
  void Submit(JobId id, base::Millis work) {
    JobSpec spec;
    spec.id = id;
    spec.queue = "batch";
    spec.submitted_unix_ms = UnixMs();
    spec.payload = std::to_string(work.count());
    StepSpec step;
    step.count = 1;
    step.demand = {kCapacity / 2, 1, 0};
    step.estimate_ms = work.count();
    spec.steps = {step};
    table.Submit(Submission{spec, policy.queues["batch"]}, now);
  }

  // The next call of this kind to the worker is not answered, and carried out
  // after `delay`.
  void MakeLate(const std::string& worker, CallKind kind, base::Millis delay) {
    late[{worker, kind}] = delay;
  }

  // A job whose first send is carried out so much later, at whichever boot.
  // Returns the id of the worker that it is bound to.
  std::string SubmitWithLateStart(JobId id,
                                  base::Millis work,
                                  base::Millis delay) {
    for (const auto& [worker, simulated] : workers) {
      MakeLate(worker, CallKind::kStart, delay);
    }
    Submit(id, work);
    Run(base::Millis{100});
    late.clear();
    REQUIRE(table.Find(id)->steps.at(0).bound == 1);
    REQUIRE(RowsOf(id).empty());
    return table.Find(id)->steps.at(0).tasks.at(0).worker.id;
  }

  void Restart(const std::string& worker) {
    workers.at(worker).Crash(now);
    workers.at(worker).Boot(now);
  }

  void Replace(const std::string& worker) { workers.at(worker).Replace(now); }

  // The next leader knows what is stored, and nothing else.
  void ReplaceLeader() {
    options.fence += kFencesPerTerm;
    ++term;
    out = {};
    settled_binds = 0;
    table.Apply(WorkRecord(LeaderRecord{options.fence, "vm", "addr"}), now);
    scheduler = std::make_unique<Scheduler>(options, table);
    scheduler->Adopt(now);
    next_directory = now;
  }

  void Step() {
    now += kTick;
    while (!events.empty() && events.begin()->first <= now) {
      const auto event = events.extract(events.begin());
      event.mapped()();
    }
    for (auto& [id, worker] : workers) {
      worker.Advance(now);
    }
    scheduler->SetPolicy(policy);
    ReadDirectory();
    scheduler->Tick(now, UnixMs(), now, out);
    while (ExecuteOutput()) {
    }
  }

  void Run(base::Millis time) {
    const base::MonoTime end = now + time;
    while (now < end) {
      Step();
    }
  }

  int64_t UnixMs() const { return base::MillisBetween(base::MonoTime{}, now); }

  // Rows of the task, in the order in which they began.
  std::vector<RunRow> RowsOf(JobId job) const {
    std::vector<RunRow> found;
    for (const RunRow& row : *rows) {
      if (row.task.job == job) {
        found.push_back(row);
      }
    }
    return found;
  }

  // Starts that met another run of their task, or came after an end as done
  // that is taken note of. Those that a worker carried out late are left out
  // unless `late_ones`.
  size_t CountSecondRuns(bool late_ones = false) const {
    size_t count = 0;
    for (size_t i = 0; i < rows->size(); ++i) {
      const RunRow& row = (*rows)[i];
      if (row.started_late != late_ones) {
        continue;
      }
      for (size_t k = 0; k < i; ++k) {
        const RunRow& before = (*rows)[k];
        const bool overlap = !before.ended || row.began < *before.ended;
        if (before.task == row.task &&
            (overlap || (before.done && before.noted))) {
          ++count;
          break;
        }
      }
    }
    return count;
  }

  // Also those that a worker carried out late.
  size_t CountAll() const {
    return CountSecondRuns() + CountSecondRuns(/*late_ones=*/true);
  }

  size_t CountStartsOverCapacity() const {
    size_t count = 0;
    for (const auto& [id, worker] : workers) {
      count += worker.starts_over_capacity();
    }
    return count;
  }

  SchedulerOptions options;
  JobTable table;
  CellPolicy policy;
  std::unique_ptr<Scheduler> scheduler;
  int64_t term = 0;
  uint64_t settled_binds = 0;
  SchedulerOutput out;
  base::MonoTime now{base::Millis{1000000}};
  // Behind a pointer, so that workers keep it when the cell is moved.
  std::shared_ptr<std::vector<RunRow>> rows =
      std::make_shared<std::vector<RunRow>>();
  std::map<std::string, SimulatedWorker> workers;
  std::set<std::string> cut;  // Workers that nothing but late calls reaches.
  std::map<std::string, WorkerEntry> directory;
  std::set<std::string> unlisted;  // Workers whose entry has expired.
  base::MonoTime next_directory{};
  std::map<std::pair<std::string, CallKind>, base::Millis> late;
  // If set, decides for each call whether it is carried out late.
  std::function<std::optional<base::Millis>()> draw_delay;
  // If set, decides for each call that is carried out at once whether its
  // answer is lost.
  std::function<bool()> draw_lost;
  // Hold orders are answered only after the wait that they name.
  bool long_polls = false;
  std::multimap<base::MonoTime, std::function<void()>> events;

 private:
  // The order takes effect at once; the lists are those at the end of the wait.
  // A worker that restarts or is cut off meanwhile gives no answer.
  void LongPoll(const HoldOrder& order) {
    const std::string& id = order.worker.id;
    SimulatedWorker& worker = workers.at(id);
    const int64_t boot = worker.entry().boot.boot_unix_ms;
    if (worker.Hold(order, now).first != OrderOutcome::kAccepted) {
      scheduler->OnHoldFailed(order, OrderOutcome::kFenced, now, out);
      return;
    }
    events.emplace(now + order.wait, [this, order, boot, id, &worker,
                                      in_term = term] {
      const bool same = worker.up() && cut.count(id) == 0 &&
                        worker.entry().boot.boot_unix_ms == boot;
      if (same && in_term == term) {
        const auto answer = worker.Hold(order, now);
        if (answer.first == OrderOutcome::kAccepted) {
          scheduler->OnReport(order, answer.second, now, out);
        }
      } else if (!same) {
        events.emplace(now + kAnswerTimeout, [this, order, in_term] {
          if (in_term == term) {
            scheduler->OnHoldFailed(order, OrderOutcome::kUnknown, now, out);
          }
        });
      }
    });
  }

  void ReadDirectory() {
    if (now < next_directory) {
      return;
    }
    next_directory = now + kDirectoryInterval;
    std::vector<WorkerEntry> entries;
    for (const auto& [id, worker] : workers) {
      if (worker.up() && cut.count(id) == 0) {
        directory[id] = worker.entry();
      }
      if (unlisted.count(id) == 0) {
        entries.push_back(directory[id]);
      }
    }
    scheduler->SetWorkers(entries, now);
  }

  std::optional<base::Millis> TakeDelay(const std::string& worker,
                                        CallKind kind) {
    const auto found = late.find({worker, kind});
    if (found != late.end()) {
      const base::Millis delay = found->second;
      late.erase(found);
      return delay;
    }
    return draw_delay ? draw_delay() : std::nullopt;
  }

  // Carries the call out at once and passes its answer on, or later and
  // without an answer. `execute` tells if it was late and returns what
  // `answered` takes.
  template <class Execute, class Answered, class Failed>
  void Call(const std::string& id,
            CallKind kind,
            Execute execute,
            Answered answered,
            Failed failed) {
    SimulatedWorker& worker = workers.at(id);
    const std::optional<base::Millis> delay = TakeDelay(id, kind);
    if (!delay && worker.answers() && cut.count(id) == 0) {
      auto answer = execute(worker, /*late=*/false);
      if (draw_lost && draw_lost()) {
        events.emplace(now + kAnswerTimeout, [this, failed, in_term = term] {
          if (in_term == term) {
            failed();
          }
        });
        return;
      }
      answered(answer);
      return;
    }
    if (delay) {
      events.emplace(now + *delay, [&worker, execute] {
        if (worker.up()) {
          execute(worker, /*late=*/true);
        }
      });
    }
    events.emplace(now + kAnswerTimeout, [this, failed, in_term = term] {
      if (in_term == term) {
        failed();
      }
    });
  }

  // A batch tells what the batches before it have settled.
  void Store(const std::vector<PendingRecord>& records) {
    table.Apply(WorkRecord(HeartbeatRecord{options.fence, 0, settled_binds}),
                now);
    settled_binds = scheduler->settled_binds();
    for (const PendingRecord& pending : records) {
      table.Apply(pending.record, now);
    }
    for (const PendingRecord& pending : records) {
      scheduler->OnStored(pending, now, now, out);
    }
  }

  bool ExecuteOutput() {
    const SchedulerOutput wanted = std::exchange(out, {});
    Store(wanted.records);
    for (const StartOrder& order : wanted.starts) {
      Call(
          order.worker.id, CallKind::kStart,
          [this, order](SimulatedWorker& worker, bool is_late) {
            return StartAnswer{worker.Start(order, is_late, now),
                               worker.ClockMs(now)};
          },
          [this, order](const StartAnswer& answer) {
            scheduler->OnStarted(order, answer, now, out);
          },
          [this, order] { scheduler->OnStarted(order, {}, now, out); });
    }
    for (const StopOrder& order : wanted.stops) {
      Call(
          order.worker.id, CallKind::kStop,
          [this, order](SimulatedWorker& worker, bool) {
            return worker.Stop(order, now);
          },
          [this, order](OrderOutcome outcome) {
            scheduler->OnStopped(order, outcome, now, out);
          },
          [this, order] {
            scheduler->OnStopped(order, OrderOutcome::kUnknown, now, out);
          });
    }
    for (const HoldOrder& order : wanted.holds) {
      if (long_polls && order.wait > base::Millis{0} &&
          workers.at(order.worker.id).up() && cut.count(order.worker.id) == 0 &&
          !(draw_delay && draw_delay())) {
        LongPoll(order);
        continue;
      }
      Call(
          order.worker.id, CallKind::kHold,
          [this, order](SimulatedWorker& worker, bool) {
            return worker.Hold(order, now);
          },
          [this, order](const std::pair<OrderOutcome, WorkerReport>& answer) {
            if (answer.first == OrderOutcome::kAccepted) {
              scheduler->OnReport(order, answer.second, now, out);
            } else {
              scheduler->OnHoldFailed(order, answer.first, now, out);
            }
          },
          [this, order] {
            scheduler->OnHoldFailed(order, OrderOutcome::kUnknown, now, out);
          });
    }
    return !out.records.empty() || !out.starts.empty() || !out.stops.empty();
  }
};

}  // namespace azurespur::jobs

#endif  // JOBS_TESTS_LATE_CALL_CELL_H_
