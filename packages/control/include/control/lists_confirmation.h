// Which VMs run which versions of the lists, as seen from one VM.

#ifndef CONTROL_LISTS_CONFIRMATION_H_
#define CONTROL_LISTS_CONFIRMATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "control/lists_report.h"

namespace azurespur::control {

struct VmLists {
  std::string vm;
  std::string domain;
  bool reached = false;   // Whether `report` is recent.
  int64_t silent_ms = 0;  // Since its last report; -1 if there was none.
  ListsReport report;
};

struct ListsConfirmation {
  std::string seen_from;     // VM id.
  std::vector<VmLists> vms;  // Every entry VM on the VM list, sorted by id.
  bool all_reached = false;
  bool all_agree = false;  // All reached, complete, with equal lists.
};

}  // namespace azurespur::control

#endif  // CONTROL_LISTS_CONFIRMATION_H_
