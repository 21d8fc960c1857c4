// What became of a request.

#ifndef FILTERS_FATE_H_
#define FILTERS_FATE_H_

#include <string_view>

namespace azurespur::filters {

enum class Fate {
  kUnknown,     // No record of the request.
  kInFlight,    // Claimed by a live VM, not ended.
  kRan,         // Ran; a whole answer was received.
  kNotRun,      // Nothing was sent and nothing will be.
  kMayHaveRun,  // Sent, or possibly sent; no whole answer.
};

// Value of the header Azurespur-Fate.
std::string_view FateName(Fate fate);

}  // namespace azurespur::filters

#endif  // FILTERS_FATE_H_
