// Virtual time, executors and results, shared by all policies.

#ifndef BENCH_REQUESTS_SIMULATION_H_
#define BENCH_REQUESTS_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/clock.h"
#include "requests/workload.h"

namespace azurespur::bench {

class EventQueue {
 public:
  using Action = std::function<void()>;

  void At(base::MonoTime time, Action action);
  base::MonoTime now() const { return m_now; }

  // Runs until no event before `end` is left.
  void RunUntil(base::MonoTime end);

 private:
  struct Event {
    base::MonoTime time;
    uint64_t order = 0;
    Action action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  base::MonoTime m_now{};
  uint64_t m_order = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

// What became of one request.
struct SimOutcome {
  base::MonoTime begun{};  // Work began on the executor; zero: never.
  base::MonoTime ended{};
};

// Executors of a domain. Work beyond the slots waits in the executor's queue
// and counts as excess.
class SimExecutors {
 public:
  using Done = std::function<void()>;

  SimExecutors(EventQueue& events, int count, int slots);

  void Run(size_t executor, base::Micros run, SimOutcome& outcome, Done done);

  int InWork(size_t executor) const;  // Queued work included.
  size_t excess() const { return m_excess; }
  size_t count() const { return m_executors.size(); }
  int slots() const { return m_slots; }

 private:
  struct Job {
    base::Micros run{};
    SimOutcome* outcome = nullptr;
    Done done;
  };
  struct Executor {
    int running = 0;
    std::queue<Job> waiting;
  };

  void Begin(size_t executor, Job job);

  EventQueue& m_events;
  const int m_slots;
  size_t m_excess = 0;
  std::vector<Executor> m_executors;
};

struct SimReport {
  double base_p50_ms = 0;  // Waiting of previews, at the base load.
  double base_p99_ms = 0;
  double base_p999_ms = 0;
  double crest_p50_ms = 0;  // At the crests; refused ones don't count here.
  double crest_p99_ms = 0;
  double crest_previews_lost = 0;  // Share not answered in time.
  double base_blocked = 0;  // Share of short previews that wait longer than
                            // they run.
  double crest_useful = 0;  // Share of slot time spent on answers in time.
  double crest_busy = 0;    // Share of slot time in use.
  double base_lost = 0;     // Share of all requests, at the base load.
  size_t excess = 0;
  double messages_per_s = 0;  // Between the VMs.
  double bytes_per_s = 0;     // Sent by one VM.
};

SimReport Summarize(const WorkloadOptions& options,
                    const std::vector<SimRequest>& requests,
                    const std::vector<SimOutcome>& outcomes);

}  // namespace azurespur::bench

#endif  // BENCH_REQUESTS_SIMULATION_H_
