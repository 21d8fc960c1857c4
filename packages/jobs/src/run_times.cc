#include "jobs/run_times.h"

#include <algorithm>
#include <cmath>

namespace azurespur::jobs {

namespace {

constexpr base::Millis kCompareDelay{1000};
// Siblings that are kept of a step; their median is exact. The streaming
// estimates of JobStatistics report the largest of fewer than five values,
// which a task that takes seven times as long would determine.
constexpr size_t kMaxSiblings = 32;
constexpr size_t kMinSiblings = 2;
// Steps of a queue before its ratio is used, for the same reason.
constexpr int64_t kMinRatioSteps = 5;
constexpr int64_t kUnitRatio = 1000;

// The lower of both middle values if their number is even: a tail makes times
// longer, never shorter. `values` is sorted.
double MedianOf(const std::vector<double>& values) {
  return values[(values.size() - 1) / 2];
}

// Returns the median of the values without the one at `index`.
double MedianWithout(const std::vector<double>& sorted, size_t index) {
  const size_t middle = (sorted.size() - 2) / 2;
  return sorted[index <= middle ? middle + 1 : middle];
}

}  // namespace

RunTimes::Step& RunTimes::Touch(const FinishedRun& run) {
  const auto found = m_steps.find(run.step);
  if (found != m_steps.end()) {
    m_recency.splice(m_recency.begin(), m_recency, found->second.recency);
    return found->second;
  }
  if (m_steps.size() >= kMaxSteps) {
    Remove(m_steps.find(m_recency.back()));
  }
  m_recency.push_front(run.step);
  Step& step = m_steps[run.step];
  step.queue = run.queue;
  step.declared_ms = run.declared_ms;
  step.tasks = run.step_tasks;
  step.gang = run.gang;
  step.recency = m_recency.begin();
  return step;
}

std::map<StepRef, RunTimes::Step>::iterator RunTimes::Remove(
    std::map<StepRef, Step>::iterator step) {
  RecordRatio(step->second);
  m_recency.erase(step->second.recency);
  return m_steps.erase(step);
}

void RunTimes::RemoveSteps(const std::function<bool(JobId)>& is_over) {
  for (auto it = m_steps.begin(); it != m_steps.end();) {
    const Step& step = it->second;
    const bool waits = step.pending > 0 && step.runs.size() >= kMinSiblings;
    it = !waits && is_over(it->first.job) ? Remove(it) : std::next(it);
  }
}

void RunTimes::Observe(const FinishedRun& run, base::MonoTime now) {
  if (run.run_ms <= 0) {
    return;
  }
  Step& step = Touch(run);
  ++step.ended;
  SiblingRun sibling{std::string(run.worker),
                     std::log(static_cast<double>(run.run_ms)), false};
  if (step.pending == 0) {
    step.oldest_pending = now;
  }
  ++step.pending;
  if (step.runs.size() < kMaxSiblings) {
    step.runs.push_back(std::move(sibling));
    return;
  }
  SiblingRun& replaced = step.runs[step.next];
  step.pending -= replaced.compared ? 0 : 1;
  replaced = std::move(sibling);
  step.next = (step.next + 1) % kMaxSiblings;
}

void RunTimes::Compare(WorkerSpeeds& speeds, base::MonoTime now) {
  for (auto it = m_steps.begin(); it != m_steps.end();) {
    Step& step = it->second;
    const bool complete = step.ended >= step.tasks;
    const bool comparable = complete || step.runs.size() >= kMinSiblings;
    const bool due = step.pending > 0 && comparable &&
                     (complete || step.pending >= kMaxSiblings / 2 ||
                      now >= step.oldest_pending + kCompareDelay);
    if (due) {
      CompareStep(step, speeds, now);
    }
    if (complete) {
      it = Remove(it);
    } else {
      ++it;
    }
  }
}

void RunTimes::CompareStep(Step& step,
                           WorkerSpeeds& speeds,
                           base::MonoTime now) {
  std::vector<std::pair<double, size_t>> corrected;
  double slowest = 0;
  for (size_t i = 0; i < step.runs.size(); ++i) {
    const double slowness = speeds.Find(step.runs[i].worker, now).log_slowness;
    slowest = i == 0 ? slowness : std::max(slowest, slowness);
    corrected.emplace_back(step.runs[i].log_ms - (step.gang ? 0 : slowness), i);
  }
  std::sort(corrected.begin(), corrected.end());
  std::vector<double> sorted;
  sorted.reserve(corrected.size());
  for (const auto& [log_ms, index] : corrected) {
    sorted.push_back(log_ms);
  }
  const bool complete = step.ended >= step.tasks;
  if (sorted.size() >= kMinSiblings || complete) {
    step.median_ms = std::exp(MedianOf(sorted) - (step.gang ? slowest : 0));
  }
  if (sorted.size() < kMinSiblings) {
    return;  // Waits for a sibling.
  }
  for (size_t i = 0; i < corrected.size(); ++i) {
    SiblingRun& run = step.runs[corrected[i].second];
    if (!run.compared && !step.gang) {
      speeds.Observe(run.worker, run.log_ms - MedianWithout(sorted, i),
                     sorted.size() - 1, now);
    }
    run.compared = true;
  }
  step.pending = 0;
}

// Each step counts once, however many tasks it has.
void RunTimes::RecordRatio(const Step& step) {
  if (step.declared_ms <= 0 || !step.median_ms) {
    return;
  }
  const double ratio = *step.median_ms / static_cast<double>(step.declared_ms);
  const placement::JobKey key{step.queue, ""};
  m_ratios.ObserveRun(
      key, std::max<int64_t>(std::llround(ratio * kUnitRatio), 1), {});
  const auto estimate = m_ratios.Find(key);
  if (!estimate || estimate->runs < kMinRatioSteps) {
    return;
  }
  if (m_ratio_of_queue.size() >= kMaxQueues) {
    m_ratio_of_queue.clear();  // Filled again by the next steps.
  }
  m_ratio_of_queue[step.queue] =
      static_cast<double>(placement::ExpectedRunTime(estimate, kUnitRatio)) /
      kUnitRatio;
}

int64_t RunTimes::ExpectedMs(const StepRef& step,
                             std::string_view queue,
                             int64_t declared_ms) const {
  const auto found = m_steps.find(step);
  if (found != m_steps.end() && found->second.median_ms) {
    return std::max<int64_t>(std::llround(*found->second.median_ms), 1);
  }
  const auto ratio = m_ratio_of_queue.find(queue);
  if (ratio == m_ratio_of_queue.end()) {
    return declared_ms;
  }
  return std::llround(ratio->second * static_cast<double>(declared_ms));
}

}  // namespace azurespur::jobs
