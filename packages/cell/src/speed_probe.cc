#include "speed_probe.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace azurespur::cell {

namespace {

constexpr int kMeasurements = 3;
constexpr int kRounds = 6000;
constexpr double kMuchFasterFactor = 2.5;

// A chain of dependent multiplications, which the compiler can't shorten.
uint64_t Work(uint64_t seed) {
  for (int i = 0; i < kRounds; ++i) {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
  }
  return seed;
}

}  // namespace

double MeasureWorkMicros(const base::Clock& clock) {
  double min_micros = 0;
  volatile uint64_t sink = 1;
  for (int i = 0; i < kMeasurements; ++i) {
    const base::MonoTime from = clock.Now();
    sink = Work(sink);
    const double micros = static_cast<double>((clock.Now() - from).count());
    min_micros = i == 0 ? micros : std::min(min_micros, micros);
  }
  return std::max(min_micros, 1.0);
}

void SpeedProbe::Add(double work_micros) {
  m_window[m_count % kWindowSize] = work_micros;
  ++m_count;
}

double SpeedProbe::WorkMicros() const {
  if (m_count < kWindowSize) {
    return 0;
  }
  std::array<double, kWindowSize> sorted{};
  std::copy(std::begin(m_window), std::end(m_window), sorted.begin());
  std::sort(sorted.begin(), sorted.end());
  return sorted[kWindowSize / 2];
}

bool AnyMuchFaster(double own, std::span<const double> others) {
  return own > 0 && std::any_of(others.begin(), others.end(), [own](double o) {
           return o > 0 && o * kMuchFasterFactor < own;
         });
}

}  // namespace azurespur::cell
