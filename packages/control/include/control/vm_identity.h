// Who this process is.

#ifndef CONTROL_VM_IDENTITY_H_
#define CONTROL_VM_IDENTITY_H_

#include <cstdint>
#include <string>

namespace azurespur::control {

struct VmIdentity {
  std::string vm;
  std::string domain;
  uint64_t incarnation = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_VM_IDENTITY_H_
