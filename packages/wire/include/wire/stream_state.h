// Answer to Topic::kState, whose request payload is the stream's name.

#ifndef WIRE_STREAM_STATE_H_
#define WIRE_STREAM_STATE_H_

#include <cstdint>
#include <string>

namespace azurespur::wire {

struct StreamState {
  uint64_t next_offset = 0;  // Reading goes on here.
  std::string state;         // LogObserver::SaveState().

  template <class Archive>
  void serialize(Archive& archive) {
    archive(next_offset, state);
  }
};

}  // namespace azurespur::wire

#endif  // WIRE_STREAM_STATE_H_
