// Splits the slots of a domain's executors among its entry VMs, without any VM
// or service that keeps the split. docs/design/requests.md has the argument.
//
// For each slot, any two VMs have a fixed precedence that depends on their
// names alone. The one with precedence uses the slot freely unless it lent it
// to the other; the other uses it only on loan. So a VM needs a loan from every
// known VM that precedes it. A loan is counted by the borrower from before it
// asked, and by the lender to the end of the longest run that may begin on it.
//
// Pure state machine: no thread, no clock, no I/O.

#ifndef CONTROL_SLOT_SHARE_H_
#define CONTROL_SLOT_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "control/slot_member.h"
#include "control/slot_message.h"

namespace azurespur::control {

struct SlotShareOptions {
  base::Millis hold{1000};      // Life of a loan without renewal.
  base::Millis max_run{10000};  // Longest run of a request on an executor.
  base::Millis margin{50};      // For clock drift and rounding.
  // No slot is used for this long after the start; 0: the time after which no
  // request or loan of an earlier incarnation can be left.
  base::Millis quiet{0};
  int target_idle = 4;  // Idle slots that a VM keeps for its own arrivals.
};

struct ExecutorSlots {
  std::string id;
  int slots = 0;  // At most 64.
};

struct SlotId {
  size_t executor = 0;  // Index by order of first appearance.
  int slot = 0;
};

class SlotShare {
 public:
  SlotShare(const SlotShareOptions& options,
            std::string self,
            uint64_t incarnation,
            base::MonoTime now);

  // Entry VMs of the domain, this one included, by the VM list `version`.
  void SetMembers(uint64_t version,
                  std::span<const std::string> ids,
                  base::MonoTime now);
  void SetExecutors(std::span<const ExecutorSlots> executors);

  // Number of requests that wait for a slot; steers borrowing and lending.
  void SetWaiting(size_t waiting) { m_waiting = waiting; }

  // Index of an executor in SlotId; none if it was never listed.
  std::optional<size_t> IndexOf(std::string_view executor) const;

  // Slots that this VM may begin a request on, now.
  int Idle(size_t executor, base::MonoTime now) const;
  int InUse(size_t executor) const;

  // Takes an idle slot. Call right before the request is sent.
  std::optional<SlotId> Acquire(size_t executor, base::MonoTime now);

  // Time before which a request must be sent on the slot that was just taken;
  // MonoTime::max() for a slot that is not on loan.
  base::MonoTime SendBy(SlotId id) const;

  // The request on the slot ended for certain.
  void Release(SlotId id);

  // The request on the slot may still run, until `until` at the latest.
  void Abandon(SlotId id, base::MonoTime until);

  // Gives up all slots for good, so that the others need not wait until this
  // VM is off the list. Returns false, with no effect, while a request of this
  // or an earlier incarnation may be on a slot.
  bool Retire(base::MonoTime now);

  // Takes a peer's message; returns the reply, if one is due.
  std::optional<SlotMessage> OnMessage(std::string_view from,
                                       uint64_t incarnation,
                                       const SlotMessage& message,
                                       base::MonoTime now);

  // Frees abandoned slots, plans loans and returns the messages that are due.
  std::vector<std::pair<std::string, SlotMessage>> Tick(base::MonoTime now);

  // Time at which this VM may use slots at the earliest.
  base::MonoTime QuietEnd() const { return m_quiet_end; }
  bool listed() const { return m_listed; }
  const std::map<std::string, SlotMember>& members() const { return m_members; }

 private:
  struct Executor {
    std::string id;
    int slots = 0;
    SlotMask busy = 0;
    SlotMask wanted = 0;  // Slots of others that this VM seeks to borrow.
    std::vector<base::MonoTime> abandoned_until;  // Zero: not abandoned.
    std::vector<base::MonoTime> wanted_since;
  };

  SlotMask Usable(size_t executor, base::MonoTime now) const;
  int TotalIdle(base::MonoTime now) const;
  bool IsOwn(size_t executor, int slot) const;
  SlotMember& AddMember(const std::string& id);
  void FitMember(SlotMember& member, const std::string& id);
  static bool IsFresh(SlotMember& member, uint64_t incarnation, uint64_t seq);
  void LearnMembers(const SlotMessage& message);
  void ForgetMembers(base::MonoTime now);
  bool MayLend(const SlotMember& to,
               size_t executor,
               int slot,
               base::MonoTime now) const;
  void TakeGrants(SlotMember& member, const SlotMessage& message);
  std::map<std::string, SlotMask> AnswerAsks(SlotMember& member,
                                             const SlotMessage& message,
                                             base::MonoTime now);
  void FreeAbandoned(base::MonoTime now);
  void PlanLoans(base::MonoTime now);
  void Borrow(int count, base::MonoTime now);
  void GiveBack(int count, base::MonoTime now);
  std::map<std::string, SlotAsk> Asks(const SlotMember& member) const;
  std::map<std::string, SlotMask> Offers(const SlotMember& member,
                                         base::MonoTime now) const;
  bool IsDue(const SlotMember& member, base::MonoTime now) const;
  SlotMessage Compose(SlotMember& member, base::MonoTime now);

  const SlotShareOptions m_options;
  const std::string m_self;
  const uint64_t m_incarnation;
  const base::MonoTime m_quiet_end;
  bool m_listed = false;
  bool m_retired = false;
  uint64_t m_list_version = 0;
  size_t m_waiting = 0;
  bool m_short = false;  // Fewer idle slots than wished for.
  std::vector<Executor> m_executors;
  std::map<std::string, size_t, std::less<>> m_index;
  std::map<std::string, SlotMember> m_members;  // Without this VM.
};

}  // namespace azurespur::control

#endif  // CONTROL_SLOT_SHARE_H_
