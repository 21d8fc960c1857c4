// Payload of a kListsReport message: the lists in force on one VM.

#ifndef CONTROL_LISTS_REPORT_H_
#define CONTROL_LISTS_REPORT_H_

#include <cstdint>
#include <string>

namespace azurespur::control {

struct ListsReport {
  bool complete = false;  // Whether the VM has read the lists whole.
  uint64_t plans_version = 0;
  std::string plans_digest;
  int64_t plans_since_ms = 0;  // Wall clock of the reporting VM.
  uint64_t allowances_version = 0;
  std::string allowances_digest;
  int64_t allowances_since_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(complete, plans_version, plans_digest, plans_since_ms,
            allowances_version, allowances_digest, allowances_since_ms);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_LISTS_REPORT_H_
