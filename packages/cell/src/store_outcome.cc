#include "cell/store_outcome.h"

namespace azurespur::cell {

std::string_view StoreOutcomeName(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kStored:
      return "stored";
    case StoreOutcome::kNotStored:
      return "not-stored";
    case StoreOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace azurespur::cell
