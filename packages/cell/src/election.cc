#include "election.h"

#include <algorithm>

namespace azurespur::cell {

namespace {

// Leaves 33 bits of the 53 that JSON numbers represent exactly to the term.
constexpr unsigned kTermShift = 20;
// The upper half of a term's numbers stays free for fencing tokens.
constexpr unsigned kNonceBits = kTermShift - 1;
constexpr double kDelayMillisPerWorkMicro = 0.8;
constexpr base::Millis kMaxElectionDelay{500};

}  // namespace

base::Millis ElectionDelay(double work_micros) {
  const base::Millis delay{
      static_cast<int64_t>(work_micros * kDelayMillisPerWorkMicro)};
  return std::min(delay, kMaxElectionDelay);
}

uint64_t NextEpoch(uint64_t epoch, uint64_t nonce) {
  const uint64_t term = (epoch >> kTermShift) + 1;
  return (term << kTermShift) | (nonce & ((uint64_t{1} << kNonceBits) - 1));
}

uint64_t LastFence(uint64_t epoch) {
  return epoch | ((uint64_t{1} << kTermShift) - 1);
}

bool ShouldStartElection(const ElectionView& view,
                         const ElectionTiming& timing,
                         base::MonoTime started,
                         base::MonoTime now) {
  if (!view.caught_up || view.draining) {
    return false;
  }
  // A VM that can't reach the log can't become the leader.
  if (now > view.last_read + timing.max_read_age) {
    return false;
  }
  const base::MonoTime since = std::max(view.last_advance, started);
  if (view.epoch == 0 || view.yielded || view.was_self) {
    return now >= since + timing.jitter;
  }
  const bool heard = now < view.leader_heard + timing.max_datagram_age;
  const base::Millis silence =
      heard ? timing.leader_timeout : timing.unreachable_leader_timeout;
  // The timeout counts only if a read of the log that was sent after it expired
  // has confirmed that there are no new records.
  return now >= since + silence + timing.jitter &&
         view.last_read >= since + silence;
}

}  // namespace azurespur::cell
