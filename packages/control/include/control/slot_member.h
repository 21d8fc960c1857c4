// What a VM keeps about another entry VM with which it shares slots.

#ifndef CONTROL_SLOT_MEMBER_H_
#define CONTROL_SLOT_MEMBER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "control/slot_message.h"

namespace azurespur::control {

// Slots of one executor, between this VM and one member.
struct SlotPair {
  SlotMask precedes = 0;  // Slots of which the member has precedence.
  SlotMask lent = 0;      // Lent to the member's present incarnation.
  SlotMask offered = 0;   // Idle at the member when last heard.
  std::vector<base::MonoTime> lent_until;     // No run on the loan after this.
  std::vector<base::MonoTime> granted_until;  // This VM may send before this.
  // First message of the unbroken row of messages that listed the slot; 0:
  // not listed in the last message.
  std::vector<uint64_t> asked_seq;
};

struct SlotMember {
  bool listed = false;         // On the VM list last read.
  uint64_t heard_version = 0;  // Newest VM list said to hold it.
  std::optional<base::MonoTime> absent_since;
  uint64_t incarnation = 0;  // 0: not heard yet.
  // It said that it knows this VM, so it won't use slots of which this VM has
  // precedence.
  bool knows_me = false;
  bool retired = false;    // Its present incarnation stopped in order.
  uint64_t seen_seq = 0;   // Last message taken.
  uint64_t sent_seq = 0;   // Last message sent.
  uint64_t acked_seq = 0;  // Last message known to be taken.
  // Last message that listed other slots than the one before.
  uint64_t change_seq = 0;
  base::MonoTime sent_at{};
  std::map<std::string, SlotAsk> sent_asks;
  std::deque<std::pair<uint64_t, base::MonoTime>> sent_times;
  std::vector<SlotPair> pairs;  // By executor index.
};

}  // namespace azurespur::control

#endif  // CONTROL_SLOT_MEMBER_H_
