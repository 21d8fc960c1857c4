// A leader with its scheduler, its term and the order of work of the node's
// thread, on one processor in virtual time. Workers and log are in memory. Each
// message, plan and order costs processor time, which the thread of the node
// and the thread of the HTTP client share equally.

#ifndef CELL_TESTS_LEADER_SIMULATION_H_
#define CELL_TESTS_LEADER_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/link_queue.h"
#include "cell/topics.h"
#include "fake_log.h"
#include "fan_out_limit.h"
#include "jobs/records.h"
#include "leader_term.h"
#include "mail_loop.h"
#include "simulated_link.h"
#include "simulation_costs.h"

namespace azurespur::cell {

class LeaderSimulation : public FencedLog {
 public:
  // `worker_cpu` is the capacity of a worker; a task needs 10.
  explicit LeaderSimulation(int worker_count,
                            const SimulationCosts& costs = {},
                            int64_t worker_cpu = 100,
                            const SimulatedLink& link = {})
      : m_costs(costs), m_link(link) {
    m_options.resources.link_mbps = link.mbps;
    m_term = MakeTerm();
    for (int i = 0; i < worker_count; ++i) {
      jobs::WorkerEntry entry;
      entry.boot = {"w" + std::to_string(i), 1};
      entry.service = "s";
      entry.address = "addr";
      entry.rack = "r";
      entry.capacity = {worker_cpu, 1000000, 0};
      m_entries.push_back(entry);
    }
    AddQueue("batch", 1);
    AddQueue("urgent", 0);
    m_term->scheduler().SetPolicy(m_policy);
    m_term->scheduler().SetWorkers(m_entries, m_clock.now);
  }

  void Submit(const std::string& queue, int32_t count, base::Millis duration) {
    jobs::JobSpec spec;
    spec.id = ++m_last_job;
    spec.queue = queue;
    spec.submitted_unix_ms = m_clock.WallMillis();
    jobs::StepSpec step;
    step.count = count;
    step.demand = {10, 1, 0};
    step.estimate_ms = duration.count();
    spec.steps = {step};
    m_submitted[spec.id] = m_clock.now;
    Post([this, spec] {
      Spend(m_costs.per_stored_record);
      m_table.Submit(spec, m_clock.now);
    });
  }

  // Runs for `time`.
  void Run(base::Millis time) {
    const base::MonoTime end = m_clock.now + time;
    base::Micros tick_time{0};
    while (m_clock.now < end) {
      std::optional<base::Mail> first = Wait(base::Millis{20});
      HandleMail(std::move(first), m_mailbox, m_clock,
                 std::max<base::Micros>(base::Millis{100}, tick_time));
      const base::MonoTime began = m_clock.now;
      Tick();
      tick_time = m_clock.now - began;
    }
  }

  // Calls `arrive` once each `interval` until `end`, even while the node is
  // busy.
  void Every(base::Micros interval,
             base::MonoTime end,
             std::function<void()> arrive) {
    m_events.emplace(m_clock.now + interval, [this, interval, end, arrive] {
      arrive();
      if (m_clock.now < end) {
        Every(interval, end, arrive);
      }
    });
  }

  // Other traffic of the leader's VM: answers to callers, records for peers.
  void SendOther(size_t bytes) { m_uplink.Add(bytes); }

  base::MonoTime now() const { return m_clock.now; }
  const SimulationCosts& costs() const { return m_costs; }

  const jobs::Scheduler& scheduler() { return m_term->scheduler(); }

  // Bindings that are not yet stored or whose start is not yet answered.
  int64_t CountOutstanding() { return scheduler().fleet().CountOutstanding(); }

  // All work takes so many times its cost, as if other processes computed.
  int slowdown = 1;
  // The log takes this long for an append.
  base::Millis append_time{0};
  std::set<std::string> silent;           // Workers that are cut off.
  std::map<std::string, int64_t> starts;  // Of runs, by worker.
  int64_t done = 0;      // Tasks that ended at their workers as done.
  int64_t stopped = 0;   // Tasks stopped before their end.
  int64_t lapsed = 0;    // Tasks whose lease lapsed.
  int64_t released = 0;  // Stored ends of kind kReleased.
  int64_t lost = 0;      // Times that a worker was taken for lost.
  base::Millis worst_tick_gap{0};
  // Of urgent jobs, by the time of submission.
  std::map<base::MonoTime, base::Millis> urgent_start_delays;

 private:
  struct FakeTask {
    int32_t run = 0;
    uint64_t life = 0;
  };
  struct FakeWorker {
    std::map<jobs::TaskRef, FakeTask> running;
    std::set<std::pair<jobs::TaskRef, int32_t>> refused;
    std::vector<jobs::EndedTask> ended;
    int64_t last_number = 0;
    int64_t lease_until_ms = 0;
    std::function<void()> answer_hold;  // Of the hold order that waits.
    uint64_t hold = 0;
  };
  struct HttpJob {
    base::Micros cost{0};
    std::function<void()> done;
  };

  static constexpr base::Micros kSlice{100};
  static constexpr base::Millis kLatency{5};
  static constexpr base::Millis kSchedulingInterval{15};

  void AddQueue(const std::string& name, int32_t priority) {
    jobs::QueuePolicy queue;
    queue.name = name;
    queue.service = "s";
    queue.priority = priority;
    queue.max_attempts = 3;
    queue.stretch = 2;
    queue.target_ms = 1000;
    m_policy.queues[name] = queue;
  }

  void Post(base::Mail mail) {
    if (!m_mailbox.Push(std::move(mail))) {
      ++m_refused;
    }
  }

  // The node's thread computes for `cost`.
  void Spend(base::Micros cost) {
    while (cost > base::Micros{0}) {
      const base::Micros slice = std::min(cost, kSlice);
      cost -= slice;
      m_clock.now += slowdown * (m_http.empty() ? slice : 2 * slice);
      WorkHttp(slice);
      DeliverDue();
    }
  }

  void WorkHttp(base::Micros time) {
    while (!m_http.empty() && time > base::Micros{0}) {
      const base::Micros part = std::min(time, m_http.front().cost);
      m_http.front().cost -= part;
      time -= part;
      if (m_http.front().cost == base::Micros{0}) {
        const auto finished = std::move(m_http.front().done);
        m_http.pop_front();
        finished();
      }
    }
  }

  void DeliverDue() {
    while (!m_events.empty() && m_events.begin()->first <= m_clock.now) {
      const auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
  }

  // The node's thread waits for mail, at most for `longest`.
  std::optional<base::Mail> Wait(base::Millis longest) {
    const base::MonoTime end = m_clock.now + longest;
    std::optional<base::Mail> mail = m_mailbox.Pop();
    while (!mail && m_clock.now < end) {
      base::MonoTime next = end;
      if (!m_http.empty()) {
        next = std::min(next, m_clock.now + slowdown * kSlice);
      } else if (!m_events.empty()) {
        next = std::min(next, m_events.begin()->first);
      }
      const base::MonoTime before = m_clock.now;
      m_clock.now = std::max(next, before);
      WorkHttp((m_clock.now - before) / slowdown);
      DeliverDue();
      mail = m_mailbox.Pop();
    }
    return mail;
  }

  void Tick() {
    worst_tick_gap =
        std::max(worst_tick_gap,
                 base::Millis{base::MillisBetween(m_last_tick, m_clock.now)});
    m_last_tick = m_clock.now;
    jobs::SchedulerOutput& out = m_term->output();
    if (m_clock.now >= m_next_scheduling) {
      m_next_scheduling = m_clock.now + kSchedulingInterval;
      const size_t before = out.records.size();
      m_term->scheduler().SetLinkWait(m_uplink.Wait());
      m_term->scheduler().Tick(m_clock.now, m_clock.WallMillis(),
                               m_term->last_append(), out);
      CountLost();
      Spend(m_costs.plan +
            m_costs.per_job_in_plan *
                static_cast<int64_t>(m_table.jobs().size()) +
            m_costs.per_bind *
                static_cast<int64_t>(out.records.size() - before));
    }
    m_term->AppendPending(m_clock.now, 0);
    for (const jobs::StartOrder& order : std::exchange(out.starts, {})) {
      SendStart(order);
    }
    for (const jobs::StopOrder& order : std::exchange(out.stops, {})) {
      SendStop(order);
    }
    for (const jobs::HoldOrder& order : std::exchange(out.holds, {})) {
      SendHold(order);
    }
  }

  void CountLost() {
    for (const auto& [id, worker] : m_term->scheduler().fleet().workers()) {
      const bool lost_now = worker.clock_known && !worker.responsive;
      lost += lost_now && m_lost_workers.insert(id).second ? 1 : 0;
      if (!lost_now) {
        m_lost_workers.erase(id);
      }
    }
  }

  void Append(AppendRequest request,
              std::function<void(AppendResult)> answer) override {
    const auto count = static_cast<int64_t>(request.records.size());
    const int64_t offset = m_stored;
    m_stored += count;
    Exchange(
        std::string(),
        [this](std::function<void()> respond) {
          if (append_time == base::Millis{0}) {
            respond();
            return;
          }
          m_events.emplace(m_clock.now + append_time, std::move(respond));
        },
        base::Millis{5000},
        m_link.append_bytes + m_link.record_bytes * static_cast<size_t>(count),
        [this, answer = std::move(answer), offset](bool /*in_time*/) {
          answer({AppendStatus::kAppended, offset, append_time});
        });
  }

  void Read(ReadRequest /*request*/,
            std::function<void(ReadResult)> answer) override {
    answer({});
  }

  void OnWorkStored(const std::vector<std::string>& records) {
    SendToFollowers(m_link.record_bytes * records.size() * m_link.followers);
    for (const std::string& bytes : records) {
      Spend(m_costs.per_stored_record);
      const auto record = jobs::DecodeWork(bytes);
      const jobs::WorkRecord& work = base::Value(record);
      const auto* end = std::get_if<jobs::EndRecord>(&work);
      released +=
          end != nullptr && end->kind == jobs::EndKind::kReleased ? 1 : 0;
      m_table.Apply(work, m_clock.now);
    }
  }

  void SendToFollowers(size_t bytes) {
    if (bytes > 0 && m_fan_out.Allows(bytes, m_uplink.Wait(), m_clock.now)) {
      m_uplink.Add(bytes);
    }
  }

  // Sends a call of `bytes` to `worker`, or to the log if it is empty. `serve`
  // runs at the other end and calls its argument to respond. `on_result` runs
  // on the HTTP client's thread; its argument is false if the response came
  // after `timeout` or, from a silent worker, never.
  void Exchange(const std::string& worker,
                std::function<void(std::function<void()>)> serve,
                base::Millis timeout,
                size_t bytes,
                std::function<void(bool)> on_result) {
    const auto deadline =
        std::make_shared<base::MonoTime>(m_clock.now + timeout);
    const auto finish = [this, deadline, on_result = std::move(on_result)] {
      m_http.push_back(
          {slowdown * m_costs.http_receive, [this, deadline, on_result] {
             on_result(m_clock.now <= *deadline);
           }});
    };
    const auto time_out = [this, deadline, finish] {
      m_events.emplace(std::max(*deadline + base::Millis{1}, m_clock.now),
                       finish);
    };
    const auto respond = [this, worker, finish, time_out] {
      if (silent.count(worker) > 0) {
        time_out();
      } else {
        m_events.emplace(m_clock.now + kLatency, finish);
      }
    };
    m_http.push_back(
        {m_costs.http_send,
         [this, worker, serve, respond, time_out, deadline, bytes] {
           // The HTTP client adds twice the wait to the timeout.
           const base::Micros wait = m_uplink.Add(bytes);
           *deadline += 2 * wait;
           if (silent.count(worker) > 0) {
             time_out();
           } else {
             m_events.emplace(m_clock.now + wait + kLatency,
                              [serve, respond] { serve(respond); });
           }
         }});
  }

  void SendStart(const jobs::StartOrder& order) {
    Spend(m_costs.per_order);
    const auto outcome = std::make_shared<jobs::OrderOutcome>();
    Exchange(
        order.worker.id,
        [this, order, outcome](const std::function<void()>& respond) {
          *outcome = ServeStart(order);
          respond();
        },
        OrderTimeout(order), m_link.start_bytes,
        [this, order, outcome](bool in_time) {
          Post([this, order, outcome, in_time] {
            Spend(m_costs.per_answer);
            m_term->scheduler().OnStarted(
                order,
                {in_time ? *outcome : jobs::OrderOutcome::kUnknown,
                 std::nullopt},
                m_clock.now, m_term->output());
          });
        });
  }

  void SendStop(const jobs::StopOrder& order) {
    Spend(m_costs.per_order);
    Exchange(
        order.worker.id,
        [this, order](const std::function<void()>& respond) {
          FakeWorker& worker = m_workers[order.worker.id];
          worker.refused.insert({order.task, order.run});
          const auto found = worker.running.find(order.task);
          if (found != worker.running.end() && found->second.run == order.run) {
            End(worker, order.task, jobs::EndCause::kStopped);
          }
          respond();
        },
        OrderTimeout(order), m_link.order_bytes,
        [this, order](bool in_time) {
          Post([this, order, in_time] {
            Spend(m_costs.per_answer);
            m_term->scheduler().OnStopped(order,
                                          in_time
                                              ? jobs::OrderOutcome::kAccepted
                                              : jobs::OrderOutcome::kUnknown,
                                          m_clock.now, m_term->output());
          });
        });
  }

  void SendHold(const jobs::HoldOrder& order) {
    Spend(m_costs.per_order);
    const auto report = std::make_shared<jobs::WorkerReport>();
    Exchange(
        order.worker.id,
        [this, order, report](const std::function<void()>& respond) {
          ServeHold(order, report, respond);
        },
        order.wait + OrderTimeout(order), m_link.order_bytes,
        [this, order, report](bool in_time) {
          Post([this, order, report, in_time] {
            Spend(m_costs.per_answer);
            if (in_time) {
              m_term->scheduler().OnReport(order, *report, m_clock.now,
                                           m_term->output());
            } else {
              m_term->scheduler().OnHoldFailed(order,
                                               jobs::OrderOutcome::kUnknown,
                                               m_clock.now, m_term->output());
            }
          });
        });
  }

  template <class Order>
  static base::Millis OrderTimeout(const Order& order) {
    return order.timeout;
  }

  jobs::OrderOutcome ServeStart(const jobs::StartOrder& order) {
    FakeWorker& worker = m_workers[order.worker.id];
    if (worker.refused.count({order.task, order.run}) > 0) {
      return jobs::OrderOutcome::kStaleRun;
    }
    if (order.lease_until_ms < m_clock.WallMillis()) {
      return jobs::OrderOutcome::kLeaseExpired;
    }
    Renew(order.worker.id, order.lease_until_ms);
    const auto found = worker.running.find(order.task);
    if (found != worker.running.end()) {
      return found->second.run == order.run ? jobs::OrderOutcome::kAccepted
                                            : jobs::OrderOutcome::kStaleRun;
    }
    const uint64_t life = ++m_lives;
    worker.running[order.task] = {order.run, life};
    ++starts[order.worker.id];
    const jobs::Job* job = m_table.Find(order.task.job);
    if (job->spec.queue == "urgent") {
      const base::MonoTime submitted = m_submitted[order.task.job];
      urgent_start_delays[submitted] =
          base::Millis{base::MillisBetween(submitted, m_clock.now)};
    }
    m_events.emplace(
        m_clock.now + base::Millis{job->spec.steps[0].estimate_ms},
        [this, &worker, task = order.task, life] {
          const auto running = worker.running.find(task);
          if (running != worker.running.end() && running->second.life == life) {
            End(worker, task, jobs::EndCause::kDone);
          }
        });
    return jobs::OrderOutcome::kAccepted;
  }

  void ServeHold(const jobs::HoldOrder& order,
                 const std::shared_ptr<jobs::WorkerReport>& report,
                 const std::function<void()>& respond) {
    FakeWorker& worker = m_workers[order.worker.id];
    if (order.lease_until_ms) {
      Renew(order.worker.id, *order.lease_until_ms);
    }
    std::erase_if(worker.ended, [&order](const jobs::EndedTask& end) {
      return end.number <= order.acked_end_number;
    });
    const auto answer = [this, &worker, report, respond] {
      worker.answer_hold = nullptr;
      report->clock_ms = m_clock.WallMillis();
      report->boot_unix_ms = 1;
      report->ended = worker.ended;
      for (const auto& [task, running] : worker.running) {
        const auto percent =
            static_cast<int32_t>(m_clock.WallMillis() / 100 % 100);
        report->running.push_back({task, running.run, "", percent});
      }
      respond();
    };
    if (!worker.ended.empty() || order.wait == base::Millis{0}) {
      answer();
      return;
    }
    if (worker.answer_hold) {
      std::exchange(worker.answer_hold, nullptr)();
    }
    const uint64_t hold = ++worker.hold;
    worker.answer_hold = answer;
    m_events.emplace(m_clock.now + order.wait, [&worker, hold] {
      if (worker.answer_hold && worker.hold == hold) {
        std::exchange(worker.answer_hold, nullptr)();
      }
    });
  }

  void End(FakeWorker& worker,
           const jobs::TaskRef& task,
           jobs::EndCause cause) {
    const auto found = worker.running.find(task);
    jobs::EndedTask end;
    end.number = ++worker.last_number;
    end.task = task;
    end.run = found->second.run;
    end.cause = cause;
    worker.refused.insert({task, end.run});
    worker.running.erase(found);
    worker.ended.push_back(end);
    done += cause == jobs::EndCause::kDone ? 1 : 0;
    stopped += cause == jobs::EndCause::kStopped ? 1 : 0;
    lapsed += cause == jobs::EndCause::kLeaseExpired ? 1 : 0;
    if (worker.answer_hold) {
      std::exchange(worker.answer_hold, nullptr)();
    }
  }

  void Renew(const std::string& id, int64_t until_ms) {
    FakeWorker& worker = m_workers[id];
    if (until_ms <= worker.lease_until_ms) {
      return;
    }
    worker.lease_until_ms = until_ms;
    m_events.emplace(
        base::MonoTime{base::Millis{until_ms}}, [this, &worker, until_ms] {
          while (worker.lease_until_ms <= until_ms && !worker.running.empty()) {
            End(worker, worker.running.begin()->first,
                jobs::EndCause::kLeaseExpired);
          }
        });
  }

  std::shared_ptr<LeaderTerm> MakeTerm() {
    return std::make_shared<LeaderTerm>(
        m_options, *this, m_mailbox, m_clock, m_table, m_timing, 9, 0,
        [this](int64_t, const std::vector<std::string>& records) {
          OnWorkStored(records);
        });
  }

  const SimulationCosts m_costs;
  const SimulatedLink m_link;
  NodeOptions m_options;
  FakeClock m_clock;
  base::LinkQueue m_uplink{m_link.mbps, m_clock};
  FanOutLimit m_fan_out{m_link.mbps};
  std::set<std::string> m_lost_workers;
  base::Mailbox m_mailbox{16384};
  jobs::JobTable m_table;
  LogTiming m_timing{base::Millis{500}};
  std::multimap<base::MonoTime, std::function<void()>> m_events;
  std::deque<HttpJob> m_http;
  std::map<std::string, FakeWorker> m_workers;
  std::vector<jobs::WorkerEntry> m_entries;
  jobs::CellPolicy m_policy;
  std::map<jobs::JobId, base::MonoTime> m_submitted;
  std::shared_ptr<LeaderTerm> m_term;
  base::MonoTime m_last_tick = m_clock.now;
  base::MonoTime m_next_scheduling{};
  jobs::JobId m_last_job = 0;
  int64_t m_stored = 0;
  int64_t m_refused = 0;
  uint64_t m_lives = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_LEADER_SIMULATION_H_
