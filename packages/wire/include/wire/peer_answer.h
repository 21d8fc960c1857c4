// Answer to a request between daemons.

#ifndef WIRE_PEER_ANSWER_H_
#define WIRE_PEER_ANSWER_H_

#include <cstdint>
#include <string>

namespace azurespur::wire {

struct PeerAnswer {
  bool ok = false;
  uint8_t error_code = 0;  // base::ErrorCode if not ok.
  std::string payload;     // Error message if not ok.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ok, error_code, payload);
  }
};

}  // namespace azurespur::wire

#endif  // WIRE_PEER_ANSWER_H_
