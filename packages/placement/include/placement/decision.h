// Result of a placement attempt: a placement or the reason for a refusal.

#ifndef PLACEMENT_DECISION_H_
#define PLACEMENT_DECISION_H_

#include <string>
#include <variant>
#include <vector>

namespace azurespur::placement {

struct Placement {
  // One worker id per member. A worker may occur more than once.
  std::vector<std::string> workers;
};

enum class RefusalKind {
  // The known workers could not hold the demand even if all of them were live
  // and empty. Final only if the cell knows all workers.
  kInfeasible,
  // The demand does not fit at the moment, but may fit later.
  kInsufficientCapacity,
};

struct Refusal {
  RefusalKind kind = RefusalKind::kInsufficientCapacity;
  std::string reason;
};

using Decision = std::variant<Placement, Refusal>;

}  // namespace azurespur::placement

#endif  // PLACEMENT_DECISION_H_
