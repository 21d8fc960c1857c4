// Datagram by which entry VMs of one domain share executor slots.

#ifndef CONTROL_SLOT_MESSAGE_H_
#define CONTROL_SLOT_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>

namespace azurespur::control {

// Bit S stands for slot S of one executor.
using SlotMask = uint64_t;

// Slots of one executor of which the receiver has precedence.
struct SlotAsk {
  SlotMask held = 0;  // In use by the sender.
  SlotMask want = 0;  // The sender asks for a new or longer loan.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(held, want);
  }
  friend bool operator==(const SlotAsk&, const SlotAsk&) = default;
};

// Each message states the sender's whole position towards the receiver: a slot
// in neither mask of `asks` is given back. Lost messages thus need no repair.
struct SlotMessage {
  uint64_t seq = 0;           // Rises with each message to this receiver.
  uint64_t list_version = 0;  // Of the sender's VM list.
  // Entry VMs that the sender knows, each with the newest version of the VM
  // list that is known to hold it.
  std::map<std::string, uint64_t> members;
  bool wants_reply = false;
  // The sender's process uses no slot any more and never will again.
  bool retired = false;
  // Answers the message `reply_to` of the receiver's `reply_incarnation`; 0:
  // answers none.
  uint64_t reply_to = 0;
  uint64_t reply_incarnation = 0;
  std::map<std::string, SlotAsk> asks;     // By executor.
  std::map<std::string, SlotMask> grants;  // Loans made or renewed.
  std::map<std::string, SlotMask> offers;  // Idle slots that may be asked for.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(seq, list_version, members, wants_reply, retired, reply_to,
            reply_incarnation, asks, grants, offers);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_SLOT_MESSAGE_H_
