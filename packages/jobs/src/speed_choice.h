// The choice among workers by their speed, for steps with a limit on it. Does
// no I/O and reads no clock.

#ifndef JOBS_SRC_SPEED_CHOICE_H_
#define JOBS_SRC_SPEED_CHOICE_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/fleet.h"

namespace azurespur::jobs {

// Returns the slowness up to which a task of the step meets its objective with
// some slack left; below 1 if it will be late on a worker of median speed.
double MaxSlowness(int64_t slack_ms, int64_t expected_ms);

// Added to the score of a worker: least for the slowest worker that is fast
// enough, or for the fastest one if the limit is tight; more than any
// difference in fit or rack for one that is too slow. 0 without a limit.
double SpeedPenalty(const Worker& worker, std::optional<double> max_slowness);

using WorkerSlots = std::pair<const Worker*, int64_t>;

// Sorts by ascending penalty, then by descending number of slots.
void SortBySpeed(std::vector<WorkerSlots>& workers,
                 std::optional<double> max_slowness);

// Sorts so that the first workers, with `slots` slots together, are of similar
// speed, since a gang runs at the pace of its slowest member: the slowest ones
// that are fast enough, or the fastest ones if too few are. Among similar ones
// those with more slots come first.
void SortForGang(std::vector<WorkerSlots>& workers,
                 int64_t slots,
                 std::optional<double> max_slowness);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_SPEED_CHOICE_H_
