// Who was heard when. Pure: the time is passed in.

#ifndef CONTROL_SRC_PEER_TABLE_H_
#define CONTROL_SRC_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/peer_bus.h"
#include "control/peer_bus_options.h"
#include "services/vm_list.h"

namespace azurespur::control {

class PeerTable {
 public:
  explicit PeerTable(const PeerBusOptions& options) : m_options(options) {}

  // Takes over the entry VMs of the list; VMs not on it are forgotten.
  void Update(const services::VmListPage& list);

  // Notes a sign of life. Returns false for a message of an older process of
  // the same VM, which must be ignored.
  bool Heard(std::string_view vm, uint64_t incarnation, base::MonoTime now);

  void SetDraining(std::string_view vm, bool draining);

  std::vector<Peer> Snapshot(base::MonoTime now) const;

  // Place of this VM among the live ones of its domain.
  size_t Rank(base::MonoTime now) const;

 private:
  struct Row {
    Peer peer;
    base::MonoTime last_heard{};
  };

  int64_t SilentMillis(const Row& row, base::MonoTime now) const;
  bool Suspected(const Row& row, base::MonoTime now) const;

  const PeerBusOptions m_options;
  std::map<std::string, Row, std::less<>> m_rows;
};

}  // namespace azurespur::control

#endif  // CONTROL_SRC_PEER_TABLE_H_
