// What a VM may use, as its deployment states it.

#ifndef CELL_VM_RESOURCES_H_
#define CELL_VM_RESOURCES_H_

namespace azurespur::cell {

// 0 means unknown.
struct VmResources {
  double cpu_share = 0;  // Of a core; at most 1.
  double cpu_speed = 0;  // Speed of that core, 1 for the usual one.
  double link_mbps = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cpu_share, cpu_speed, link_mbps);
  }
};

}  // namespace azurespur::cell

#endif  // CELL_VM_RESOURCES_H_
