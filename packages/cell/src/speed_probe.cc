#include "speed_probe.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace azurespur::cell {

namespace {

constexpr int kTries = 3;
constexpr int kRounds = 6000;
constexpr double kMuchFaster = 2.5;

// A chain of multiplications, which no compiler can shorten.
uint64_t Work(uint64_t seed) {
  for (int i = 0; i < kRounds; ++i) {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
  }
  return seed;
}

}  // namespace

double MeasureWorkMicros(const base::Clock& clock) {
  double least = 0;
  volatile uint64_t sink = 1;
  for (int i = 0; i < kTries; ++i) {
    const base::MonoTime from = clock.Now();
    sink = Work(sink);
    const double micros = static_cast<double>((clock.Now() - from).count());
    least = i == 0 ? micros : std::min(least, micros);
  }
  return std::max(least, 1.0);
}

void SpeedProbe::Add(double work_micros) {
  m_kept[m_count % kKept] = work_micros;
  ++m_count;
}

double SpeedProbe::WorkMicros() const {
  if (m_count < kKept) {
    return 0;
  }
  std::array<double, kKept> sorted{};
  std::copy(std::begin(m_kept), std::end(m_kept), sorted.begin());
  std::sort(sorted.begin(), sorted.end());
  return sorted[kKept / 2];
}

bool SomeoneIsMuchFaster(double own, std::span<const double> others) {
  return own > 0 && std::any_of(others.begin(), others.end(), [own](double o) {
           return o > 0 && o * kMuchFaster < own;
         });
}

}  // namespace azurespur::cell
