// The outcome of an append to the intake stream.

#ifndef CELL_STORE_OUTCOME_H_
#define CELL_STORE_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace azurespur::cell {

enum class StoreOutcome : uint8_t {
  kStored,
  kNotStored,  // And will not be stored later.
  kUnknown,    // May be stored now or later.
};

std::string_view StoreOutcomeName(StoreOutcome outcome);

}  // namespace azurespur::cell

#endif  // CELL_STORE_OUTCOME_H_
