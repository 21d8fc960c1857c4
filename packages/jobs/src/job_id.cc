#include "jobs/job_id.h"

namespace azurespur::jobs {

namespace {

constexpr size_t kDigits = 16;
constexpr unsigned kBitsPerDigit = 4;
constexpr std::string_view kAlphabet = "0123456789abcdef";

}  // namespace

std::string FormatJobId(JobId id) {
  std::string text(kDigits, '0');
  for (size_t i = kDigits; i-- > 0; id >>= kBitsPerDigit) {
    text[i] = kAlphabet[id % kAlphabet.size()];
  }
  return text;
}

std::optional<JobId> ParseJobId(std::string_view text) {
  if (text.size() != kDigits) {
    return std::nullopt;
  }
  JobId id = 0;
  for (char c : text) {
    const size_t digit = kAlphabet.find(c);
    if (digit == std::string_view::npos) {
      return std::nullopt;
    }
    id = (id << kBitsPerDigit) | digit;
  }
  return id;
}

}  // namespace azurespur::jobs
