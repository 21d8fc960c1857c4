// How fast client accounts submit jobs, compared with their rates. Reads no
// clock.

#ifndef JOBS_SUBMISSION_RATES_H_
#define JOBS_SUBMISSION_RATES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace azurespur::jobs {

// A token bucket for each account. All VMs see the same submissions in the same
// order, so they agree on which of them are beyond the rate.
class SubmissionRates {
 public:
  // What an account has left of its rate.
  struct Bucket {
    double tokens = 0;
    int64_t unix_ms = 0;  // As of this time.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(tokens, unix_ms);
    }
  };
  using Buckets = std::map<std::string, Bucket, std::less<>>;

  // Returns true if a submission at `unix_ms` is beyond `rate` a second. A rate
  // of 0 is no limit.
  bool WouldExceed(std::string_view account,
                   double rate,
                   int64_t unix_ms) const;
  // The same, and counts the submission.
  bool Add(std::string_view account, double rate, int64_t unix_ms);

  const Buckets& buckets() const { return m_buckets; }
  void Restore(Buckets buckets) { m_buckets = std::move(buckets); }

 private:
  Bucket Refilled(std::string_view account, double rate, int64_t unix_ms) const;

  Buckets m_buckets;
};

}  // namespace azurespur::jobs

#endif  // JOBS_SUBMISSION_RATES_H_
