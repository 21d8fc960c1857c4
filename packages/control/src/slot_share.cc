#include "control/slot_share.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "slot_precedence.h"

namespace azurespur::control {

namespace {

constexpr int kMaxSlots = 64;

SlotMask Bit(int slot) {
  return SlotMask{1} << slot;
}

SlotMask AllSlots(int slots) {
  return slots >= kMaxSlots ? ~SlotMask{0} : Bit(slots) - 1;
}

// Calls `visit(slot)` for each bit of `mask`.
template <typename Visit>
void ForEachSlot(SlotMask mask, Visit visit) {
  for (; mask != 0; mask &= mask - 1) {
    visit(std::countr_zero(mask));
  }
}

}  // namespace

SlotShare::SlotShare(const SlotShareOptions& options,
                     std::string self,
                     uint64_t incarnation,
                     base::MonoTime now)
    : m_options(options),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_quiet_end(
          now + (options.quiet.count() > 0
                     ? options.quiet
                     : options.hold + options.max_run + 2 * options.margin)) {}

void SlotShare::SetMembers(uint64_t version,
                           std::span<const std::string> ids,
                           base::MonoTime now) {
  if (version < m_list_version) {
    return;
  }
  m_list_version = version;
  m_listed = std::find(ids.begin(), ids.end(), m_self) != ids.end();
  for (auto& [id, member] : m_members) {
    member.listed = false;
  }
  for (const std::string& id : ids) {
    if (id != m_self) {
      AddMember(id).listed = true;
    }
  }
  for (auto& [id, member] : m_members) {
    if (member.listed || member.heard_version > version) {
      member.absent_since.reset();
    } else if (!member.absent_since) {
      member.absent_since = now;
    }
  }
}

void SlotShare::SetExecutors(std::span<const ExecutorSlots> executors) {
  for (Executor& executor : m_executors) {
    executor.slots = 0;
  }
  for (const ExecutorSlots& listed : executors) {
    const auto [it, added] = m_index.try_emplace(listed.id, m_executors.size());
    if (added) {
      m_executors.emplace_back().id = listed.id;
    }
    Executor& executor = m_executors[it->second];
    executor.slots = std::clamp(listed.slots, 0, kMaxSlots);
    executor.abandoned_until.resize(kMaxSlots);
    executor.wanted_since.resize(kMaxSlots);
  }
  for (auto& [id, member] : m_members) {
    FitMember(member, id);
  }
}

SlotMember& SlotShare::AddMember(const std::string& id) {
  const auto [it, added] = m_members.try_emplace(id);
  if (added) {
    FitMember(it->second, id);
  }
  return it->second;
}

// Gives `member` a pair for each executor.
void SlotShare::FitMember(SlotMember& member, const std::string& id) {
  while (member.pairs.size() < m_executors.size()) {
    const std::string& executor = m_executors[member.pairs.size()].id;
    SlotPair& pair = member.pairs.emplace_back();
    pair.lent_until.resize(kMaxSlots);
    pair.granted_until.resize(kMaxSlots);
    pair.asked_seq.resize(kMaxSlots);
    for (int slot = 0; slot < kMaxSlots; ++slot) {
      if (Precedes(id, m_self, executor, slot)) {
        pair.precedes |= Bit(slot);
      }
    }
  }
}

std::optional<size_t> SlotShare::IndexOf(std::string_view executor) const {
  const auto it = m_index.find(executor);
  if (it == m_index.end()) {
    return std::nullopt;
  }
  return it->second;
}

// A slot is usable against each member if it is on loan from the member, or if
// this VM has precedence, the member knows that, and has no loan of it.
SlotMask SlotShare::Usable(size_t executor, base::MonoTime now) const {
  if (!m_listed || m_retired || now < m_quiet_end) {
    return 0;
  }
  const Executor& own = m_executors[executor];
  SlotMask usable = AllSlots(own.slots) & ~own.busy;
  for (const auto& entry : m_members) {
    const SlotMember& member = entry.second;
    if (member.retired) {
      continue;
    }
    const SlotPair& pair = member.pairs[executor];
    ForEachSlot(usable, [&](int slot) {
      const bool loan = (pair.precedes & Bit(slot)) != 0;
      const bool allowed =
          loan ? now < pair.granted_until[static_cast<size_t>(slot)]
               : member.knows_me &&
                     now >= pair.lent_until[static_cast<size_t>(slot)];
      if (!allowed) {
        usable &= ~Bit(slot);
      }
    });
  }
  return usable;
}

int SlotShare::Idle(size_t executor, base::MonoTime now) const {
  return std::popcount(Usable(executor, now));
}

int SlotShare::InUse(size_t executor) const {
  return std::popcount(m_executors[executor].busy);
}

int SlotShare::TotalIdle(base::MonoTime now) const {
  int idle = 0;
  for (size_t i = 0; i < m_executors.size(); ++i) {
    idle += Idle(i, now);
  }
  return idle;
}

// Own slots first, so that loans end soon.
std::optional<SlotId> SlotShare::Acquire(size_t executor, base::MonoTime now) {
  const SlotMask usable = Usable(executor, now);
  if (usable == 0) {
    return std::nullopt;
  }
  SlotMask own = 0;
  ForEachSlot(usable, [&](int slot) {
    if (IsOwn(executor, slot)) {
      own |= Bit(slot);
    }
  });
  const int slot = std::countr_zero(own != 0 ? own : usable);
  m_executors[executor].busy |= Bit(slot);
  return SlotId{executor, slot};
}

base::MonoTime SlotShare::SendBy(SlotId id) const {
  base::MonoTime end = base::MonoTime::max();
  for (const auto& [name, member] : m_members) {
    const SlotPair& pair = member.pairs[id.executor];
    if (!member.retired && (pair.precedes & Bit(id.slot)) != 0) {
      end = std::min(end, pair.granted_until[static_cast<size_t>(id.slot)]);
    }
  }
  return end;
}

void SlotShare::Release(SlotId id) {
  Executor& executor = m_executors[id.executor];
  executor.busy &= ~Bit(id.slot);
  executor.abandoned_until[static_cast<size_t>(id.slot)] = {};
}

void SlotShare::Abandon(SlotId id, base::MonoTime until) {
  m_executors[id.executor].abandoned_until[static_cast<size_t>(id.slot)] =
      until;
}

bool SlotShare::Retire(base::MonoTime now) {
  const bool in_use =
      std::any_of(m_executors.begin(), m_executors.end(),
                  [](const Executor& own) { return own.busy != 0; });
  if (in_use || now < m_quiet_end) {
    return false;
  }
  m_retired = true;
  for (Executor& executor : m_executors) {
    executor.wanted = 0;
  }
  for (auto& [id, member] : m_members) {
    member.change_seq = member.sent_seq + 1;
  }
  return true;
}

void SlotShare::FreeAbandoned(base::MonoTime now) {
  for (Executor& executor : m_executors) {
    ForEachSlot(executor.busy, [&](int slot) {
      base::MonoTime& until =
          executor.abandoned_until[static_cast<size_t>(slot)];
      if (until != base::MonoTime{} && now >= until) {
        until = {};
        executor.busy &= ~Bit(slot);
      }
    });
  }
}

bool SlotShare::IsOwn(size_t executor, int slot) const {
  return std::none_of(
      m_members.begin(), m_members.end(), [&](const auto& entry) {
        return !entry.second.retired &&
               (entry.second.pairs[executor].precedes & Bit(slot)) != 0;
      });
}

// A peer may know of VMs that this VM's older list does not hold yet.
void SlotShare::LearnMembers(const SlotMessage& message) {
  for (const auto& [id, version] : message.members) {
    if (id != m_self && version > m_list_version) {
      SlotMember& member = AddMember(id);
      member.heard_version = std::max(member.heard_version, version);
      member.absent_since.reset();
    }
  }
}

// A VM off the list does not run any more, but its last requests may.
void SlotShare::ForgetMembers(base::MonoTime now) {
  const auto rest = m_options.hold + m_options.max_run + 2 * m_options.margin;
  std::erase_if(m_members, [&](const auto& entry) {
    const SlotMember& member = entry.second;
    return member.absent_since && now >= *member.absent_since + rest;
  });
}

// The sender is on the VM list that it names. If this VM's list is as new and
// does not hold the sender, the sender was removed since.
std::optional<SlotMessage> SlotShare::OnMessage(std::string_view from,
                                                uint64_t incarnation,
                                                const SlotMessage& message,
                                                base::MonoTime now) {
  const std::string id(from);
  const auto known = m_members.find(id);
  const bool listed = known != m_members.end() && known->second.listed;
  if (!listed && message.list_version <= m_list_version) {
    return std::nullopt;
  }
  SlotMember& member = AddMember(id);
  if (!IsFresh(member, incarnation, message.seq)) {
    return std::nullopt;
  }
  LearnMembers(message);
  member.heard_version = std::max(member.heard_version, message.list_version);
  // A late message may speak of an earlier life of this VM.
  member.knows_me = message.reply_incarnation == m_incarnation &&
                    message.members.contains(m_self);
  member.retired = message.retired;
  TakeGrants(member, message);
  std::map<std::string, SlotMask> grants = AnswerAsks(member, message, now);
  if (!message.wants_reply || !m_listed) {
    return std::nullopt;
  }
  SlotMessage reply = Compose(member, now);
  reply.wants_reply = false;
  reply.grants = std::move(grants);
  return reply;
}

// Tells whether the message is newer than all taken before from the member.
bool SlotShare::IsFresh(SlotMember& member,
                        uint64_t incarnation,
                        uint64_t seq) {
  if (incarnation < member.incarnation) {
    return false;
  }
  if (incarnation > member.incarnation) {
    member.incarnation = incarnation;
    member.seen_seq = 0;
    member.knows_me = false;
    member.retired = false;
    for (SlotPair& pair : member.pairs) {
      pair.lent = 0;  // Loans of the earlier incarnation end by time only.
      pair.offered = 0;
    }
  }
  if (seq <= member.seen_seq) {
    return false;
  }
  member.seen_seq = seq;
  return true;
}

}  // namespace azurespur::control
