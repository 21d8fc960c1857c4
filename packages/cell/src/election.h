// Decides when a VM starts a leader election. Does no I/O and reads no clock.

#ifndef CELL_SRC_ELECTION_H_
#define CELL_SRC_ELECTION_H_

#include <cstdint>

#include "base/clock.h"

namespace azurespur::cell {

struct ElectionView {
  bool caught_up = false;  // Both streams were read to the end.
  bool draining = false;
  uint64_t epoch = 0;     // 0 if there was no leader yet.
  bool yielded = false;   // The last leader gave up its term.
  bool was_self = false;  // The last leader was this VM before a restart.
  base::MonoTime last_advance{};  // When work records last arrived.
  base::MonoTime last_read{};     // When the last successful read was sent.
  base::MonoTime leader_heard{};  // When a datagram last showed it healthy.
};

struct ElectionTiming {
  base::Millis leader_timeout{1500};
  base::Millis unreachable_leader_timeout{400};
  // A datagram proves for this long that the leader is alive.
  base::Millis max_datagram_age{300};
  // Differs between VMs, so that they don't start elections at the same time.
  base::Millis jitter{0};
  // A VM whose last successful read of the log is older starts no election.
  base::Millis max_read_age{400};
};

// Returns true if the VM should try to become the leader now.
bool ShouldStartElection(const ElectionView& view,
                         const ElectionTiming& timing,
                         base::MonoTime started,
                         base::MonoTime now);

// Returns a shorter delay for faster VMs, so that they win elections.
// `work_micros` is the result of a SpeedProbe.
base::Millis ElectionDelay(double work_micros);

// Returns an epoch above `epoch`. VMs with different `nonce` values get
// different epochs, so that the log never takes the append of one VM for a
// retry of another's.
uint64_t NextEpoch(uint64_t epoch, uint64_t nonce);

// Returns the highest fencing token of a leader with this epoch: below the
// epochs of all later terms.
uint64_t LastFence(uint64_t epoch);

}  // namespace azurespur::cell

#endif  // CELL_SRC_ELECTION_H_
