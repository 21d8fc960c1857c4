// The time at which a VM was marked as leaving on the VM list.

#ifndef HISTORY_LEAVING_NOTICE_H_
#define HISTORY_LEAVING_NOTICE_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct LeavingNotice {
  int64_t time_ms = 0;
  std::string vm;
};

}  // namespace azurespur::history

#endif  // HISTORY_LEAVING_NOTICE_H_
