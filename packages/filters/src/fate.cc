#include "filters/fate.h"

namespace azurespur::filters {

std::string_view FateName(Fate fate) {
  switch (fate) {
    case Fate::kUnknown:
      return "unknown";
    case Fate::kInFlight:
      return "in-flight";
    case Fate::kRan:
      return "ran";
    case Fate::kNotRun:
      return "not-run";
    case Fate::kMayHaveRun:
      return "may-have-run";
  }
  return "unknown";
}

}  // namespace azurespur::filters
