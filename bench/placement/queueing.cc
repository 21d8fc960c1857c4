#include "queueing.h"

#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cells.h"
#include "placement/scheduler.h"
#include "timing.h"

namespace azurespur::bench {
namespace {

using placement::Scheduler;
using placement::TaskClass;
using placement::TaskDemand;

constexpr int64_t kPassMillis = 50;
constexpr int64_t kTraceMillis = 7'200'000;
constexpr int64_t kMeanGapMillis = 55;
// Arrivals come three times as fast for a while.
constexpr int64_t kCrestStartMillis = 3'600'000;
constexpr int64_t kCrestEndMillis = 4'200'000;
constexpr double kCrestFactor = 3;
constexpr int64_t kMinutes = 60'000;

enum Kind { kShort, kLong, kGangKind, kKinds };
constexpr std::array<std::string_view, kKinds> kKindNames = {"short", "long",
                                                             "gang"};

struct Arrival {
  TaskDemand demand;
  Kind kind = kShort;
  int64_t run_ms = 0;
};

struct Ending {
  int64_t end_ms = 0;
  size_t arrival = 0;

  friend bool operator>(const Ending& a, const Ending& b) {
    return a.end_ms > b.end_ms;
  }
};

using Endings =
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>>;

struct QueueingResult {
  std::array<std::vector<double>, kKinds> waits_s;
  std::array<int64_t, kKinds> unfinished = {};
  double cpu_share = 0;
};

int64_t Between(Random& random, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random);
}

// Nearly all arrivals are short; long work and gangs ask for most of the cell.
// One run in a hundred takes twenty times as long. Claimed run times are off by
// ten either way.
Arrival MakeArrival(Random& random, int64_t number, int64_t now_ms) {
  Arrival arrival;
  TaskDemand& demand = arrival.demand;
  demand.id = "t" + std::to_string(number);
  demand.plan = "plan" + std::to_string(Between(random, 0, 9));
  demand.submitted_ms = now_ms;
  const int64_t dice = Between(random, 0, 9999);
  if (dice < 9713) {
    demand.job = "preview" + std::to_string(Between(random, 0, 2));
    arrival.run_ms = Between(random, 500, 3000);
    demand.size = {Between(random, 500, 2000), Between(random, 512, 4096), 0};
  } else if (dice < 9993) {
    arrival.kind = kLong;
    demand.job = "settle" + std::to_string(Between(random, 0, 2));
    arrival.run_ms = Between(random, 5, 15) * kMinutes;
    demand.size = {Between(random, 1000, 8000), Between(random, 4096, 32768),
                   0};
  } else {
    arrival.kind = kGangKind;
    demand.task_class = TaskClass::kGang;
    demand.job = "match" + std::to_string(Between(random, 0, 2));
    demand.gang_size = Between(random, 1, 3) * 4;
    demand.rack_limit = 4;
    arrival.run_ms = Between(random, 5, 10) * kMinutes;
    demand.size = {16'000, 65'536, 0};
  }
  if (Between(random, 0, 99) == 0) {
    arrival.run_ms *= 20;
  }
  demand.expected_run_ms =
      arrival.run_ms * Between(random, 1, 100) / Between(random, 1, 100) + 1;
  return arrival;
}

std::vector<Arrival> MakeArrivals(uint64_t seed) {
  Random random(seed);
  std::exponential_distribution<double> gap(1.0 / kMeanGapMillis);
  std::vector<Arrival> arrivals;
  double now_ms = 0;
  while (now_ms < kTraceMillis) {
    arrivals.push_back(MakeArrival(random,
                                   static_cast<int64_t>(arrivals.size()),
                                   static_cast<int64_t>(now_ms)));
    const bool crest = now_ms > kCrestStartMillis && now_ms < kCrestEndMillis;
    now_ms += gap(random) / (crest ? kCrestFactor : 1);
  }
  return arrivals;
}

// Places strictly in the order of arrival.
class Fifo {
 public:
  explicit Fifo(placement::Cell& cell) : m_cell(cell) {}

  void Submit(const Arrival& arrival, size_t index) {
    m_waiting.emplace_back(&arrival, index);
  }

  std::vector<size_t> Pass(int64_t) {
    std::vector<size_t> started;
    while (!m_waiting.empty()) {
      const auto [arrival, index] = m_waiting.front();
      placement::Decision decision = m_cell.Place(arrival->demand);
      auto* placement = std::get_if<placement::Placement>(&decision);
      if (placement == nullptr ||
          !m_cell.Reserve(*placement, arrival->demand.size)) {
        break;
      }
      m_running[index] = std::move(*placement);
      started.push_back(index);
      m_waiting.pop_front();
    }
    return started;
  }

  void End(const Arrival& arrival, size_t index) {
    for (const std::string& worker : m_running[index].workers) {
      m_cell.Release(worker, arrival.demand.size);
    }
    m_running.erase(index);
  }

 private:
  placement::Cell& m_cell;
  std::deque<std::pair<const Arrival*, size_t>> m_waiting;
  std::unordered_map<size_t, placement::Placement> m_running;
};

class Scheduled {
 public:
  explicit Scheduled(Scheduler& scheduler) : m_scheduler(scheduler) {}

  void Submit(const Arrival& arrival, size_t index) {
    m_indexes[arrival.demand.id] = index;
    m_scheduler.Submit(arrival.demand);
  }

  std::vector<size_t> Pass(int64_t now_ms) {
    std::vector<size_t> started;
    for (const placement::StartDecision& start :
         m_scheduler.RunPass(now_ms, {}).starts) {
      started.push_back(m_indexes[start.demand.id]);
    }
    return started;
  }

  void End(const Arrival& arrival, size_t) {
    m_scheduler.ObserveRun({arrival.demand.plan, arrival.demand.job},
                           arrival.run_ms, {});
    m_scheduler.EndTask(arrival.demand.id);
  }

 private:
  Scheduler& m_scheduler;
  std::unordered_map<std::string, size_t> m_indexes;
};

template <typename Order>
QueueingResult Run(const std::vector<Arrival>& arrivals,
                   const placement::Cell& cell,
                   Order& order) {
  QueueingResult result;
  Endings endings;
  size_t next = 0;
  double cpu_sum = 0;
  for (int64_t now_ms = 0; now_ms < kTraceMillis; now_ms += kPassMillis) {
    while (!endings.empty() && endings.top().end_ms <= now_ms) {
      order.End(arrivals[endings.top().arrival], endings.top().arrival);
      endings.pop();
    }
    while (next < arrivals.size() &&
           arrivals[next].demand.submitted_ms <= now_ms) {
      order.Submit(arrivals[next], next);
      ++result.unfinished[arrivals[next].kind];
      ++next;
    }
    for (const size_t index : order.Pass(now_ms)) {
      const Arrival& arrival = arrivals[index];
      const int64_t waited = now_ms - arrival.demand.submitted_ms;
      result.waits_s[arrival.kind].push_back(static_cast<double>(waited) /
                                             1000);
      --result.unfinished[arrival.kind];
      endings.push({now_ms + arrival.run_ms, index});
    }
    cpu_sum += 1 - placement::DominantShare({cell.TotalRoom().cpu_millis, 0, 0},
                                            cell.TotalCapacity());
  }
  result.cpu_share = cpu_sum * kPassMillis / kTraceMillis;
  return result;
}

void Print(const char* name, QueueingResult& result) {
  std::printf("%s: mean processors in use %.1f%%\n", name,
              100 * result.cpu_share);
  for (size_t kind = 0; kind < kKinds; ++kind) {
    std::vector<double>& waits = result.waits_s[kind];
    std::printf(
        "  %-5s started %6zu, not started %5lld, wait s: p50 %.2f p99 %.2f "
        "max %.2f\n",
        kKindNames[kind].data(), waits.size(),
        static_cast<long long>(result.unfinished[kind]), Quantile(waits, 0.5),
        Quantile(waits, 0.99), Quantile(waits, 1));
  }
}

}  // namespace

void MeasureQueueing(uint64_t seed) {
  const std::vector<Arrival> arrivals = MakeArrivals(seed);
  std::printf("== queueing, 48 workers, 2 h, seed %llu, %zu arrivals\n",
              static_cast<unsigned long long>(seed), arrivals.size());
  placement::Cell cell;
  Scheduler scheduler;
  scheduler.SetAllWorkersKnown(true);
  for (const placement::WorkerState& worker : MakeWorkers(kSmallCell)) {
    cell.UpdateWorker(worker);
    scheduler.cell().UpdateWorker(worker);
  }
  Scheduled scheduled(scheduler);
  QueueingResult ours = Run(arrivals, scheduler.cell(), scheduled);
  Print("scheduler", ours);
  Fifo fifo(cell);
  QueueingResult baseline = Run(arrivals, cell, fifo);
  Print("first in, first out", baseline);
  PrintTarget("p99 wait of short work below that of first in, first out",
              Quantile(ours.waits_s[kShort], 0.99) <
                  Quantile(baseline.waits_s[kShort], 0.99));
}

}  // namespace azurespur::bench
