// Processor time of the calling thread, summed by duty.

#ifndef BENCH_JOBS_DUTY_CLOCK_H_
#define BENCH_JOBS_DUTY_CLOCK_H_

#include <ctime>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace azurespur::jobs {

enum class Duty {
  kFullPlan,
  kUrgentPlan,  // Ticks without a full plan.
  kReport,
  kReportDecode,
  kHoldEncode,
  kStored,
  kStartEncode,
  kStarted,
  kAdvice,
  kRecordEncode,
  kRecordApply,
  kCount
};

inline constexpr std::array<std::string_view, static_cast<size_t>(Duty::kCount)>
    kDutyNames = {
        "full plans",      "ticks with urgent plans", "reports taken",
        "reports decoded", "holds encoded",           "stored records taken",
        "starts encoded",  "start answers taken",     "advice taken",
        "records encoded", "records applied"};

class DutyClock {
 public:
  // Returns the processor time of the thread so far.
  static int64_t NowNanos() {
    constexpr int64_t kNanosPerSecond = 1000000000;
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return now.tv_sec * kNanosPerSecond + now.tv_nsec;
  }

  // Runs `work` and adds its processor time to the duty that it returns.
  template <class Work>
  void Measure(const Work& work) {
    const int64_t from = NowNanos();
    const Duty duty = work();
    m_nanos[static_cast<size_t>(duty)] += NowNanos() - from;
  }

  template <class Work>
  void Measure(Duty duty, const Work& work) {
    Measure([&] {
      work();
      return duty;
    });
  }

  int64_t Nanos(Duty duty) const { return m_nanos[static_cast<size_t>(duty)]; }

  void Reset() { m_nanos = {}; }

 private:
  std::array<int64_t, static_cast<size_t>(Duty::kCount)> m_nanos{};
};

}  // namespace azurespur::jobs

#endif  // BENCH_JOBS_DUTY_CLOCK_H_
