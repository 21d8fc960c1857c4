#include "requests/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespur::bench {

namespace {

constexpr double kMicrosPerMilli = 1e3;
constexpr double kMicrosPerSecond = 1e6;

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(
      std::lround(q * static_cast<double>(values.size() - 1)));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double Share(size_t part, size_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void EventQueue::At(base::MonoTime time, Action action) {
  m_events.push({std::max(time, m_now), m_order++, std::move(action)});
}

void EventQueue::RunUntil(base::MonoTime end) {
  while (!m_events.empty() && m_events.top().time <= end) {
    // The queue's element is const; its action is used once.
    Event event = std::move(const_cast<Event&>(m_events.top()));
    m_events.pop();
    m_now = event.time;
    event.action();
  }
}

SimExecutors::SimExecutors(EventQueue& events, int count, int slots)
    : m_events(events),
      m_slots(slots),
      m_executors(static_cast<size_t>(count)) {}

int SimExecutors::InWork(size_t executor) const {
  const Executor& own = m_executors[executor];
  return own.running + static_cast<int>(own.waiting.size());
}

void SimExecutors::Run(size_t executor,
                       base::Micros run,
                       SimOutcome& outcome,
                       Done done) {
  Job job{run, &outcome, std::move(done)};
  if (m_executors[executor].running >= m_slots) {
    ++m_excess;
    m_executors[executor].waiting.push(std::move(job));
    return;
  }
  Begin(executor, std::move(job));
}

void SimExecutors::Begin(size_t executor, Job job) {
  ++m_executors[executor].running;
  if (job.outcome->begun == base::MonoTime{}) {
    job.outcome->begun = m_events.now();
  }
  m_events.At(m_events.now() + job.run, [this, executor, job] {
    Executor& own = m_executors[executor];
    --own.running;
    if (job.outcome->ended == base::MonoTime{}) {
      job.outcome->ended = m_events.now();
    }
    if (!own.waiting.empty()) {
      Job next = std::move(own.waiting.front());
      own.waiting.pop();
      Begin(executor, std::move(next));
    }
    job.done();
  });
}

SimReport Summarize(const WorkloadOptions& options,
                    const std::vector<SimRequest>& requests,
                    const std::vector<SimOutcome>& outcomes) {
  SimReport report;
  std::vector<double> base_waits;
  std::vector<double> crest_waits;
  size_t base_all = 0;
  size_t base_lost = 0;
  size_t short_previews = 0;
  size_t blocked = 0;
  size_t crest_previews = 0;
  size_t crest_lost = 0;
  double useful_us = 0;
  double busy_us = 0;
  std::vector<std::pair<base::MonoTime, base::MonoTime>> crests;
  for (const SimRequest& request : requests) {
    if (request.phase != Phase::kCrest) {
      continue;
    }
    if (crests.empty() ||
        request.arrival > crests.back().second + base::Millis(1000)) {
      crests.emplace_back(request.arrival, request.arrival);
    }
    crests.back().second = request.arrival;
  }
  for (size_t i = 0; i < requests.size(); ++i) {
    const SimRequest& request = requests[i];
    const SimOutcome& outcome = outcomes[i];
    const bool in_time =
        outcome.ended != base::MonoTime{} && outcome.ended <= request.deadline;
    const bool preview =
        request.request_class == control::RequestClass::kPreview;
    const bool begun = outcome.begun != base::MonoTime{};
    const double wait_ms =
        begun ? static_cast<double>((outcome.begun - request.arrival).count()) /
                    kMicrosPerMilli
              : static_cast<double>(
                    (request.deadline - request.arrival).count()) /
                    kMicrosPerMilli;
    for (const auto& [from, to] : crests) {
      if (!begun) {
        break;
      }
      const auto overlap =
          std::min(outcome.ended, to) - std::max(outcome.begun, from);
      const double work_us =
          std::max(0.0, static_cast<double>(overlap.count()));
      busy_us += work_us;
      useful_us += in_time ? work_us : 0;
    }
    if (request.phase == Phase::kBase) {
      ++base_all;
      base_lost += in_time ? 0 : 1;
      if (preview) {
        base_waits.push_back(wait_ms);
        if (!request.straggler) {
          ++short_previews;
          blocked += wait_ms * kMicrosPerMilli >
                             static_cast<double>(request.run.count())
                         ? 1
                         : 0;
        }
      }
    } else if (request.phase == Phase::kCrest && preview) {
      ++crest_previews;
      crest_lost += in_time ? 0 : 1;
      crest_waits.push_back(wait_ms);
    }
  }
  double crest_us = 0;
  for (const auto& [from, to] : crests) {
    crest_us += static_cast<double>((to - from).count());
  }
  report.base_p50_ms = Quantile(base_waits, 0.5);
  report.base_p99_ms = Quantile(base_waits, 0.99);
  report.base_p999_ms = Quantile(base_waits, 0.999);
  report.crest_p50_ms = Quantile(crest_waits, 0.5);
  report.crest_p99_ms = Quantile(crest_waits, 0.99);
  report.crest_previews_lost = Share(crest_lost, crest_previews);
  report.base_blocked = Share(blocked, short_previews);
  report.base_lost = Share(base_lost, base_all);
  const double slot_us = crest_us * options.executors * options.slots;
  report.crest_useful = useful_us / slot_us;
  report.crest_busy = busy_us / slot_us;
  return report;
}

}  // namespace azurespur::bench
