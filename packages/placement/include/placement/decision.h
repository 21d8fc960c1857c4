// The two answers to a demand: where it goes, or why it does not.

#ifndef PLACEMENT_DECISION_H_
#define PLACEMENT_DECISION_H_

#include <string>
#include <variant>
#include <vector>

namespace azurespur::placement {

struct Placement {
  // One worker id for each member. A worker may stand more than once.
  std::vector<std::string> workers;
};

enum class RefusalKind {
  // No worker that the cell knows, whatever its condition, could hold the
  // demand even when empty. Final only if the caller knows all workers.
  kInfeasible,
  // There is no room at the moment.
  kInsufficientCapacity,
};

struct Refusal {
  RefusalKind kind = RefusalKind::kInsufficientCapacity;
  std::string reason;
};

using Decision = std::variant<Placement, Refusal>;

}  // namespace azurespur::placement

#endif  // PLACEMENT_DECISION_H_
