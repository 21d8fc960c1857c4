#include "jobs/submission_rates.h"

#include <algorithm>

namespace azurespur::jobs {

namespace {

// Submissions that an account may save up, in seconds of its rate. Callers send
// in bursts without exceeding their rate for long.
constexpr double kBurstSeconds = 2;
// Clocks of VMs differ a little, so time is taken from the fastest one. A time
// that is further behind means that a clock was set back, or its VM is gone.
constexpr int64_t kMaxClockSkewMs = 2000;

double MaxTokens(double rate) {
  return std::max(rate * kBurstSeconds, 1.0);
}

}  // namespace

SubmissionRates::Bucket SubmissionRates::Refilled(std::string_view account,
                                                  double rate,
                                                  int64_t unix_ms) const {
  const auto found = m_buckets.find(account);
  if (found == m_buckets.end()) {
    return {MaxTokens(rate), unix_ms};
  }
  Bucket bucket = found->second;
  const int64_t elapsed = std::max<int64_t>(unix_ms - bucket.unix_ms, 0);
  bucket.tokens =
      std::min(bucket.tokens + rate * static_cast<double>(elapsed) / 1000,
               MaxTokens(rate));
  const bool set_back = unix_ms < bucket.unix_ms - kMaxClockSkewMs;
  bucket.unix_ms = set_back ? unix_ms : std::max(bucket.unix_ms, unix_ms);
  return bucket;
}

bool SubmissionRates::WouldExceed(std::string_view account,
                                  double rate,
                                  int64_t unix_ms) const {
  return rate > 0 && Refilled(account, rate, unix_ms).tokens < 1;
}

bool SubmissionRates::Add(std::string_view account,
                          double rate,
                          int64_t unix_ms) {
  if (rate <= 0) {
    return false;
  }
  Bucket bucket = Refilled(account, rate, unix_ms);
  const bool exceeds = bucket.tokens < 1;
  if (!exceeds) {
    bucket.tokens -= 1;
  }
  m_buckets.insert_or_assign(std::string(account), bucket);
  return exceeds;
}

}  // namespace azurespur::jobs
