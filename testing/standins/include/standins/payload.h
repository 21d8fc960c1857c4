// Payload syntax of the worker stand-in: "run_ms=N fail=0|1 use_cpu=N
// use_mem=N", all optional.

#ifndef STANDINS_PAYLOAD_H_
#define STANDINS_PAYLOAD_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace azurespur::standins {

struct Payload {
  std::optional<int64_t> run_ms;  // Without it the task runs until stopped.
  bool fail = false;
  std::optional<int64_t> use_cpu;  // Used, whatever was declared.
  std::optional<int64_t> use_mem;
};

// Words of another form are ignored: a real worker would run anything.
Payload ParsePayload(std::string_view text);

}  // namespace azurespur::standins

#endif  // STANDINS_PAYLOAD_H_
