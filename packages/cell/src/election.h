// When a VM stands for leader. No I/O, no clock.

#ifndef CELL_SRC_ELECTION_H_
#define CELL_SRC_ELECTION_H_

#include <cstdint>

#include "base/clock.h"

namespace azurespur::cell {

struct ElectionView {
  bool caught_up = false;  // Both streams were read to their end.
  bool draining = false;
  uint64_t epoch = 0;     // 0: nobody ever led.
  bool yielded = false;   // The last leader has stopped.
  bool was_self = false;  // The last leader was an earlier life of mine.
  base::MonoTime last_advance{};  // When work records last came.
  base::MonoTime last_read{};     // When the last good read was sent.
  base::MonoTime leader_heard{};  // When its last good datagram came.
};

struct ElectionTiming {
  base::Millis leader_timeout{1500};
  base::Millis unreachable_leader_timeout{400};
  base::Millis max_datagram_age{
      300};                // One proves that the leader lives so long.
  base::Millis jitter{0};  // Differs between VMs, so that one stands first.
  base::Millis max_read_age{400};  // A read is proof of silence for so long.
};

// True if the VM should try to become the leader now.
bool ShouldStartElection(const ElectionView& view,
                         const ElectionTiming& timing,
                         base::MonoTime started,
                         base::MonoTime now);

// Faster VMs stand earlier. `work_micros` is what a SpeedProbe measured.
base::Millis ElectionDelay(double work_micros);

// An epoch above `epoch`. VMs with different `nonce` values get different ones,
// so that the log never takes one's append for a repeat of another's.
uint64_t NextEpoch(uint64_t epoch, uint64_t nonce);

}  // namespace azurespur::cell

#endif  // CELL_SRC_ELECTION_H_
