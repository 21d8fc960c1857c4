#include "step_candidates.h"

namespace azurespur::jobs {

namespace {

constexpr double kFarPenalty = 2;
constexpr double kFailurePenalty = 1;

double ScoreOf(const StepCandidate& candidate) {
  const Worker& worker = *candidate.worker;
  const double share =
      placement::DominantShare(FreeCapacity(worker), worker.entry.capacity);
  return share + (candidate.far ? kFarPenalty : 0) + candidate.speed_penalty;
}

}  // namespace

void StepCandidates::Add(const StepCandidate& candidate) {
  m_candidates.push_back(candidate);
  m_candidates.back().score = ScoreOf(candidate);
}

size_t StepCandidates::FindBest(std::string_view failed_worker) const {
  size_t best = kNone;
  double best_score = std::numeric_limits<double>::max();
  for (size_t i = 0; i < m_candidates.size(); ++i) {
    const StepCandidate& candidate = m_candidates[i];
    if (candidate.score >= best_score || candidate.tasks_left < 1) {
      continue;
    }
    const Worker& worker = *candidate.worker;
    const bool failing =
        worker.failures_in_row > 0 ||
        (!failed_worker.empty() && worker.entry.boot.id == failed_worker);
    const double score = candidate.score + (failing ? kFailurePenalty : 0);
    if (score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

void StepCandidates::OnBound(size_t index,
                             const placement::Resources& demand,
                             base::MonoTime now) {
  StepCandidate& candidate = m_candidates[index];
  candidate.free = placement::Subtract(candidate.free, demand);
  candidate.score = ScoreOf(candidate);
  --candidate.tasks_left;
  if (!placement::Fits(demand, candidate.free) ||
      !AcceptsTasks(*candidate.worker, now)) {
    candidate.tasks_left = 0;
  }
}

}  // namespace azurespur::jobs
