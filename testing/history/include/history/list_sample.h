// The version of a list that a VM said is in force there.

#ifndef HISTORY_LIST_SAMPLE_H_
#define HISTORY_LIST_SAMPLE_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct ListSample {
  int64_t time_ms = 0;
  std::string vm;
  std::string list;
  int64_t version = 0;
  std::string digest;
};

}  // namespace azurespur::history

#endif  // HISTORY_LIST_SAMPLE_H_
