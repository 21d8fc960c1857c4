// Latest known VM list.

#ifndef CONTROL_VM_DIRECTORY_H_
#define CONTROL_VM_DIRECTORY_H_

#include <memory>

#include "services/vm_list.h"

namespace azurespur::control {

class VmDirectory {
 public:
  virtual ~VmDirectory() = default;

  // Never null; version 0 and empty until the list was read once. Outages
  // leave the last list in force.
  virtual std::shared_ptr<const services::VmListPage> Current() const = 0;

  // Since the last answered read, or since the start.
  virtual int64_t SilentMillis() const = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_VM_DIRECTORY_H_
