// The link of a simulated leader.

#ifndef CELL_TESTS_SIMULATED_LINK_H_
#define CELL_TESTS_SIMULATED_LINK_H_

#include <cstddef>

namespace azurespur::cell {

// The leader's link; its followers get the records over it.
struct SimulatedLink {
  double mbps = 0;  // 0: carries everything at once.
  size_t followers = 0;
  size_t start_bytes = 900;  // With headers, as are the following.
  size_t order_bytes = 450;  // Of hold orders and stops.
  size_t append_bytes = 300;
  size_t record_bytes = 110;
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_SIMULATED_LINK_H_
