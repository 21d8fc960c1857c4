// The execution status of a request, as far as this cluster knows it.

#ifndef FILTERS_FATE_H_
#define FILTERS_FATE_H_

#include <string_view>

namespace azurespur::filters {

enum class Fate {
  kUnknown,     // There is no record of the request.
  kInFlight,    // Claimed by a live VM and not finished.
  kRan,         // Ran; the complete answer was received.
  kNotRun,      // Did not run and never will.
  kMayHaveRun,  // May have been sent; no complete answer was received.
};

// Returns the value of the Azurespur-Fate header.
std::string_view FateName(Fate fate);

}  // namespace azurespur::filters

#endif  // FILTERS_FATE_H_
