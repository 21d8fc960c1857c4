#include "peer_table.h"

#include <limits>
#include <set>

namespace azurespur::control {

void PeerTable::Update(const services::VmListPage& list) {
  std::set<std::string, std::less<>> listed;
  for (const services::Vm& vm : list.vms) {
    if (vm.kind != services::VmKind::kEntry || vm.id == m_options.vm_id) {
      continue;
    }
    listed.insert(vm.id);
    Peer& peer = m_rows[vm.id].peer;
    peer.id = vm.id;
    peer.domain = vm.domain;
    peer.address = vm.address;
    peer.peer_address = vm.peer_address;
  }
  std::erase_if(m_rows, [&listed](const auto& item) {
    return listed.count(item.first) == 0;
  });
}

bool PeerTable::Heard(std::string_view vm,
                      uint64_t incarnation,
                      base::MonoTime now) {
  const auto it = m_rows.find(vm);
  if (it == m_rows.end()) {
    return true;
  }
  Row& row = it->second;
  if (incarnation < row.peer.incarnation) {
    return false;
  }
  if (incarnation > row.peer.incarnation) {
    row.peer.draining = false;
  }
  row.peer.incarnation = incarnation;
  row.last_heard = now;
  return true;
}

void PeerTable::SetDraining(std::string_view vm, bool draining) {
  const auto it = m_rows.find(vm);
  if (it != m_rows.end()) {
    it->second.peer.draining = draining;
  }
}

std::vector<Peer> PeerTable::Snapshot(base::MonoTime now) const {
  std::vector<Peer> peers;
  peers.reserve(m_rows.size());
  for (const auto& [id, row] : m_rows) {
    Peer peer = row.peer;
    peer.silent_ms = SilentMillis(row, now);
    peer.suspected = Suspected(row, now);
    peers.push_back(std::move(peer));
  }
  return peers;
}

size_t PeerTable::Rank(base::MonoTime now) const {
  size_t rank = 0;
  for (const auto& [id, row] : m_rows) {
    const bool counts = row.peer.domain == m_options.domain &&
                        !row.peer.draining && !Suspected(row, now);
    if (counts && id < m_options.vm_id) {
      ++rank;
    }
  }
  return rank;
}

int64_t PeerTable::SilentMillis(const Row& row, base::MonoTime now) const {
  return row.peer.incarnation == 0 ? std::numeric_limits<int64_t>::max()
                                   : base::MillisBetween(row.last_heard, now);
}

bool PeerTable::Suspected(const Row& row, base::MonoTime now) const {
  const bool near = row.peer.domain == m_options.domain;
  const base::Millis limit =
      near ? m_options.suspect_after : m_options.far_suspect_after;
  return SilentMillis(row, now) > limit.count();
}

}  // namespace azurespur::control
