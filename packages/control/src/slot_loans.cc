// Lending and borrowing: the message half of SlotShare.

#include <algorithm>
#include <bit>

#include "control/slot_share.h"

namespace azurespur::control {

namespace {

constexpr base::Millis kMinGap{2};      // Between messages to one peer.
constexpr base::Millis kRepeatGap{25};  // Until a change is confirmed.
constexpr base::Millis kSearchGap{50};  // While offers are looked for.
constexpr base::Millis kIdleGap{500};   // With nothing to say.
constexpr base::Millis kPatience{150};  // For a loan that isn't given.
constexpr int kMaxBorrow = 32;          // Loans sought at a time.
constexpr size_t kKeptSendTimes = 64;

SlotMask Bit(int slot) {
  return SlotMask{1} << slot;
}

template <typename Visit>
void ForEachSlot(SlotMask mask, Visit visit) {
  for (; mask != 0; mask &= mask - 1) {
    visit(std::countr_zero(mask));
  }
}

// Whether both list the same slots, in whichever mask.
bool SameListing(const std::map<std::string, SlotAsk>& a,
                 const std::map<std::string, SlotAsk>& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.first == y.first && (x.second.held | x.second.want) ==
                                         (y.second.held | y.second.want);
      });
}

}  // namespace

// The loan runs from before the ask was sent, which is never later than the
// lender's own count.
void SlotShare::TakeGrants(SlotMember& member, const SlotMessage& message) {
  if (message.reply_to == 0 || message.reply_incarnation != m_incarnation) {
    return;
  }
  member.acked_seq = std::max(member.acked_seq, message.reply_to);
  const auto sent = std::find_if(
      member.sent_times.begin(), member.sent_times.end(),
      [&](const auto& entry) { return entry.first == message.reply_to; });
  if (sent == member.sent_times.end()) {
    return;
  }
  const base::MonoTime until = sent->second + m_options.hold - m_options.margin;
  for (const auto& [id, mask] : message.grants) {
    const std::optional<size_t> executor = IndexOf(id);
    if (!executor) {
      continue;
    }
    SlotPair& pair = member.pairs[*executor];
    ForEachSlot(mask & pair.precedes, [&](int slot) {
      const auto i = static_cast<size_t>(slot);
      const bool still_asked =
          pair.asked_seq[i] != 0 && pair.asked_seq[i] <= message.reply_to;
      if (still_asked) {
        pair.granted_until[i] = std::max(pair.granted_until[i], until);
      }
    });
  }
}

bool SlotShare::MayLend(const SlotMember& to,
                        size_t executor,
                        int slot,
                        base::MonoTime now) const {
  const Executor& own = m_executors[executor];
  if (now < m_quiet_end || (own.busy & Bit(slot)) != 0) {
    return false;
  }
  const SlotPair& pair = to.pairs[executor];
  if ((pair.lent & Bit(slot)) != 0) {
    return m_waiting == 0 || !IsOwn(executor, slot);
  }
  for (const auto& [id, member] : m_members) {
    if (now < member.pairs[executor].lent_until[static_cast<size_t>(slot)]) {
      return false;
    }
  }
  const bool usable = (Usable(executor, now) & Bit(slot)) != 0;
  return !usable || (m_waiting == 0 && TotalIdle(now) > m_options.target_idle);
}

std::map<std::string, SlotMask> SlotShare::AnswerAsks(
    SlotMember& member,
    const SlotMessage& message,
    base::MonoTime now) {
  std::map<std::string, SlotMask> grants;
  const base::MonoTime until =
      now + m_options.hold + m_options.max_run + m_options.margin;
  for (size_t i = 0; i < m_executors.size(); ++i) {
    SlotPair& pair = member.pairs[i];
    const auto asked = message.asks.find(m_executors[i].id);
    const SlotAsk ask = asked != message.asks.end() ? asked->second : SlotAsk{};
    ForEachSlot(pair.lent, [&](int slot) {
      base::MonoTime& lent_until = pair.lent_until[static_cast<size_t>(slot)];
      const bool listed = ((ask.held | ask.want) & Bit(slot)) != 0;
      if (!listed || now >= lent_until) {
        pair.lent &= ~Bit(slot);
        lent_until = {};
      }
    });
    ForEachSlot(ask.want & ~pair.precedes, [&](int slot) {
      if (MayLend(member, i, slot, now)) {
        pair.lent |= Bit(slot);
        pair.lent_until[static_cast<size_t>(slot)] = until;
        grants[m_executors[i].id] |= Bit(slot);
      }
    });
    const auto offered = message.offers.find(m_executors[i].id);
    pair.offered = offered != message.offers.end() ? offered->second : 0;
  }
  return grants;
}

// Seeks loans when idle slots are few, and gives them back when they are many.
void SlotShare::PlanLoans(base::MonoTime now) {
  if (m_retired) {
    m_short = false;
    return;
  }
  for (size_t i = 0; i < m_executors.size(); ++i) {
    Executor& executor = m_executors[i];
    const SlotMask usable = Usable(i, now) | executor.busy;
    ForEachSlot(executor.wanted & ~usable, [&](int slot) {
      if (now >= executor.wanted_since[static_cast<size_t>(slot)] + kPatience) {
        executor.wanted &= ~Bit(slot);
      }
    });
  }
  const int idle = TotalIdle(now);
  const int waiting = static_cast<int>(std::min<size_t>(m_waiting, kMaxBorrow));
  const int missing = waiting + m_options.target_idle - idle;
  m_short = missing > 0;
  if (missing > 0) {
    Borrow(missing, now);
  } else if (idle > 2 * m_options.target_idle) {
    GiveBack(idle - 2 * m_options.target_idle, now);
  }
}

void SlotShare::Borrow(int count, base::MonoTime now) {
  for (Executor& executor : m_executors) {
    const SlotMask pending = executor.wanted & ~executor.busy;
    const auto i = static_cast<size_t>(&executor - m_executors.data());
    count -= std::popcount(pending & ~Usable(i, now));
  }
  for (auto& [id, member] : m_members) {
    for (size_t i = 0; i < m_executors.size() && count > 0; ++i) {
      Executor& executor = m_executors[i];
      SlotPair& pair = member.pairs[i];
      ForEachSlot(pair.offered & pair.precedes & ~executor.wanted,
                  [&](int slot) {
                    if (count <= 0 || slot >= executor.slots) {
                      return;
                    }
                    executor.wanted |= Bit(slot);
                    executor.wanted_since[static_cast<size_t>(slot)] = now;
                    pair.offered &= ~Bit(slot);
                    --count;
                  });
    }
  }
}

void SlotShare::GiveBack(int count, base::MonoTime now) {
  for (size_t i = 0; i < m_executors.size(); ++i) {
    Executor& executor = m_executors[i];
    ForEachSlot(executor.wanted & Usable(i, now), [&](int slot) {
      if (count > 0) {
        executor.wanted &= ~Bit(slot);
        --count;
      }
    });
  }
}

std::map<std::string, SlotAsk> SlotShare::Asks(const SlotMember& member) const {
  std::map<std::string, SlotAsk> asks;
  for (size_t i = 0; i < m_executors.size(); ++i) {
    const SlotMask precedes = member.pairs[i].precedes;
    const SlotAsk ask{m_executors[i].busy & precedes,
                      m_executors[i].wanted & precedes};
    if (ask != SlotAsk{}) {
      asks[m_executors[i].id] = ask;
    }
  }
  return asks;
}

std::map<std::string, SlotMask> SlotShare::Offers(const SlotMember& member,
                                                  base::MonoTime now) const {
  std::map<std::string, SlotMask> offers;
  int spare = m_waiting > 0 ? 0 : TotalIdle(now) - m_options.target_idle;
  for (size_t i = 0; i < m_executors.size() && spare > 0; ++i) {
    SlotMask offered = 0;
    ForEachSlot(Usable(i, now) & ~member.pairs[i].precedes, [&](int slot) {
      if (spare > 0 && IsOwn(i, slot)) {
        offered |= Bit(slot);
        --spare;
      }
    });
    if (offered != 0) {
      offers[m_executors[i].id] = offered;
    }
  }
  return offers;
}

bool SlotShare::IsDue(const SlotMember& member, base::MonoTime now) const {
  if (member.sent_seq == 0) {
    return true;
  }
  const auto gap = now - member.sent_at;
  if (gap < kMinGap) {
    return false;
  }
  if (gap >= kIdleGap || (m_short && gap >= kSearchGap)) {
    return true;
  }
  if (member.acked_seq < member.change_seq && gap >= kRepeatGap) {
    return true;
  }
  const std::map<std::string, SlotAsk> asks = Asks(member);
  if (!asks.empty() && gap >= m_options.hold / 4) {
    return true;
  }
  return !SameListing(asks, member.sent_asks);
}

// Slots that this message no longer lists are given back: they can't be used
// from here on, whatever replies are still under way.
SlotMessage SlotShare::Compose(SlotMember& member, base::MonoTime now) {
  SlotMessage message;
  message.seq = ++member.sent_seq;
  message.list_version = m_list_version;
  message.members[m_self] = m_list_version;
  for (const auto& [id, other] : m_members) {
    message.members[id] = other.listed ? m_list_version : other.heard_version;
  }
  message.wants_reply = true;
  message.retired = m_retired;
  message.reply_to = member.seen_seq;
  message.reply_incarnation = member.incarnation;
  message.asks = Asks(member);
  message.offers = Offers(member, now);
  for (size_t i = 0; i < m_executors.size(); ++i) {
    SlotPair& pair = member.pairs[i];
    const SlotMask listed =
        (m_executors[i].busy | m_executors[i].wanted) & pair.precedes;
    for (size_t slot = 0; slot < pair.asked_seq.size(); ++slot) {
      if ((listed & Bit(static_cast<int>(slot))) == 0) {
        pair.asked_seq[slot] = 0;
        pair.granted_until[slot] = {};
      } else if (pair.asked_seq[slot] == 0) {
        pair.asked_seq[slot] = message.seq;
      }
    }
  }
  if (!SameListing(message.asks, member.sent_asks)) {
    member.change_seq = message.seq;
  }
  member.sent_asks = message.asks;
  member.sent_at = now;
  member.sent_times.emplace_back(message.seq, now);
  if (member.sent_times.size() > kKeptSendTimes) {
    member.sent_times.pop_front();
  }
  return message;
}

std::vector<std::pair<std::string, SlotMessage>> SlotShare::Tick(
    base::MonoTime now) {
  FreeAbandoned(now);
  ForgetMembers(now);
  PlanLoans(now);
  std::vector<std::pair<std::string, SlotMessage>> messages;
  if (!m_listed) {
    return messages;
  }
  for (auto& [id, member] : m_members) {
    if (IsDue(member, now)) {
      messages.emplace_back(id, Compose(member, now));
    }
  }
  return messages;
}

}  // namespace azurespur::control
