#include "log_timing.h"

#include <algorithm>

namespace azurespur::cell {

namespace {

constexpr int kTimesLastAnswer = 6;
constexpr base::Millis kMostTimeout{1500};

}  // namespace

base::Millis LogTiming::AppendTimeout() const {
  return std::clamp(m_last * kTimesLastAnswer, m_least,
                    std::max(m_least, kMostTimeout));
}

}  // namespace azurespur::cell
