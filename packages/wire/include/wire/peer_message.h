// Envelope of every message between daemons.

#ifndef WIRE_PEER_MESSAGE_H_
#define WIRE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "wire/codec.h"

namespace azurespur::wire {

// Stable numbers; never reuse one. Each names the payload's type.
enum class Topic : uint16_t {
  kHeartbeat = 1,
  kSlotShare = 10,    // Executor slots lent and returned.
  kOnceQuery = 20,    // Asks the holder of a once-claim for its answer.
  kTaskFate = 30,     // Asks a peer for a task's fate.
  kState = 40,        // Asks a peer for its copy of the log streams' state.
  kListsReport = 50,  // List versions and digests in force.
};

struct PeerMessage {
  uint16_t version = 1;
  std::string from;          // VM id.
  uint64_t incarnation = 0;  // Of the sender's process.
  uint16_t topic = 0;
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, from, incarnation, topic, payload);
  }
};

}  // namespace azurespur::wire

#endif  // WIRE_PEER_MESSAGE_H_
