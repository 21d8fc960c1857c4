// Fixed order of entry VMs for each slot.

#ifndef CONTROL_SLOT_PRECEDENCE_H_
#define CONTROL_SLOT_PRECEDENCE_H_

#include <string_view>

namespace azurespur::control {

// True if VM `a` precedes VM `b` at the slot. The order of two VMs depends on
// nothing else, so it is the same in every view of the membership.
bool Precedes(std::string_view a,
              std::string_view b,
              std::string_view executor,
              int slot);

}  // namespace azurespur::control

#endif  // CONTROL_SLOT_PRECEDENCE_H_
