// Payload of Topic::kHeartbeat.

#ifndef WIRE_HEARTBEAT_H_
#define WIRE_HEARTBEAT_H_

namespace azurespur::wire {

struct Heartbeat {
  bool draining = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(draining);
  }
};

}  // namespace azurespur::wire

#endif  // WIRE_HEARTBEAT_H_
