#include "jobs/admission_estimate.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

#include "job_order.h"

namespace azurespur::jobs {

namespace {

// Estimates come from callers and may be absurd. Keeps sums of waits small.
constexpr double kMaxWaitMs = 3.6e6;
constexpr int64_t kMinRetryAfterMs = 1000;
// Estimates of longer waits are too uncertain to act on.
constexpr int64_t kMaxRetryAfterMs = 30000;

int64_t WaitMs(double core_ms, int64_t entitled_cpu_millis) {
  return std::llround(std::min(
      core_ms * 1000 / static_cast<double>(entitled_cpu_millis), kMaxWaitMs));
}

bool IsBefore(const AdmissionWait& a, const AdmissionWait& b) {
  return std::tie(a.account, a.priority) < std::tie(b.account, b.priority);
}

// SplitMix64's finalizer: callers may number their jobs in sequence.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

}  // namespace

std::vector<AdmissionWait> EstimateWaits(std::span<const AccountLoad> loads) {
  std::vector<AdmissionWait> rows;
  for (const AccountLoad& load : loads) {
    const int64_t entitled = load.entitled.cpu_millis;
    const int64_t wanted = load.in_use.cpu_millis + load.waiting_cpu_millis;
    if (entitled <= 0 || wanted <= entitled) {
      continue;
    }
    double within_rate = 0;
    double beyond_rate = 0;
    for (const auto& [priority, work] : load.waiting) {
      within_rate += static_cast<double>(work.within_rate_core_ms);
      beyond_rate += static_cast<double>(work.beyond_rate_core_ms);
      const AdmissionWait row{load.account, priority,
                              WaitMs(within_rate, entitled),
                              WaitMs(within_rate + beyond_rate, entitled)};
      if (row.beyond_rate_ms > kMinAdmissionWaitMs) {
        rows.push_back(row);
      }
    }
  }
  std::sort(rows.begin(), rows.end(), IsBefore);
  return rows;
}

std::vector<AdmissionWait> FindLastingWaits(
    std::span<const AdmissionWait> earlier,
    std::span<const AdmissionWait> latest) {
  std::vector<AdmissionWait> lasting;
  for (const AdmissionWait& row : latest) {
    // The last row that isn't less urgent holds for this priority.
    const auto after =
        std::upper_bound(earlier.begin(), earlier.end(), row, IsBefore);
    if (after == earlier.begin() || std::prev(after)->account != row.account) {
      continue;
    }
    const AdmissionWait& known = *std::prev(after);
    lasting.push_back({row.account, row.priority,
                       std::min(row.within_rate_ms, known.within_rate_ms),
                       std::min(row.beyond_rate_ms, known.beyond_rate_ms)});
  }
  return lasting;
}

std::string_view AdmissionRefusalReasonName(AdmissionRefusalReason reason) {
  switch (reason) {
    case AdmissionRefusalReason::kBeyondRate:
      return "beyond_rate";
    case AdmissionRefusalReason::kTooLate:
      return "too_late";
  }
  return "";
}

int64_t MaxUsefulWaitMs(const JobSpec& spec, const QueueTerms& terms) {
  const int64_t chain = LongestChainMs(spec);
  return std::max<int64_t>(
      kUsefulObjectives * ObjectiveMs(chain, terms) - chain, 0);
}

std::optional<AdmissionRefusal> DecideAdmission(const JobSpec& spec,
                                                const QueueTerms& terms,
                                                bool beyond_rate,
                                                const AdmissionWait* wait) {
  if (wait == nullptr) {
    return std::nullopt;
  }
  AdmissionRefusal refusal;
  refusal.wait_ms = beyond_rate ? wait->beyond_rate_ms : wait->within_rate_ms;
  if (beyond_rate && wait->within_rate_ms > kMinAdmissionWaitMs) {
    refusal.reason = AdmissionRefusalReason::kBeyondRate;
    refusal.bound_ms = kMinAdmissionWaitMs;
    // Once what is within the rate no longer waits.
    refusal.retry_after_s = RetryAfterSeconds(wait->within_rate_ms, spec.id);
    return refusal;
  }
  refusal.reason = AdmissionRefusalReason::kTooLate;
  refusal.bound_ms =
      std::max(MaxUsefulWaitMs(spec, terms), kMinAdmissionWaitMs);
  if (refusal.wait_ms <= refusal.bound_ms) {
    return std::nullopt;
  }
  refusal.retry_after_s =
      RetryAfterSeconds(refusal.wait_ms - refusal.bound_ms, spec.id);
  return refusal;
}

int64_t RetryAfterSeconds(int64_t useful_after_ms, JobId job) {
  const int64_t base_s =
      (std::clamp(useful_after_ms, kMinRetryAfterMs, kMaxRetryAfterMs) + 999) /
      1000;
  // Half of 1 s counts as 1 s: else all callers that are told 1 s would return
  // together.
  const auto jitter_values = static_cast<uint64_t>((base_s + 1) / 2 + 1);
  return base_s + static_cast<int64_t>(Mix(job) % jitter_values);
}

}  // namespace azurespur::jobs
