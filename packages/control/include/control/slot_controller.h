// Connects SlotShare to the peers and the VM list. All methods are for one
// thread; peers' messages reach it through a bounded ring.

#ifndef CONTROL_SLOT_CONTROLLER_H_
#define CONTROL_SLOT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ring.h"
#include "control/slot_share.h"
#include "services/vm_list.h"
#include "wire/peer_message.h"

namespace azurespur::base {
class Counter;
class Metrics;
}  // namespace azurespur::base

namespace azurespur::control {

class PeerBus;
class VmDirectory;

struct SlotControllerDeps {
  PeerBus& peers;
  const VmDirectory& vms;
  base::Metrics& metrics;
  std::string vm_id;
  std::string domain;
  uint64_t incarnation = 0;
};

class SlotController {
 public:
  // Subscribes to the bus; `wake` is called on the peers' thread when a
  // message came.
  SlotController(const SlotControllerDeps& deps,
                 const SlotShareOptions& options,
                 base::MonoTime now,
                 std::function<void()> wake);

  SlotShare& share() { return m_share; }
  const SlotShare& share() const { return m_share; }

  // Takes messages and list changes, and sends what is due.
  void Tick(base::MonoTime now);

  // Tells the peers that this VM uses no slots any more, if that is so.
  void Retire(base::MonoTime now);

 private:
  void TakeMessages(base::MonoTime now);
  void TakeVmList(base::MonoTime now);
  void Send(const std::string& to, const SlotMessage& message);

  const SlotControllerDeps m_deps;
  SlotShare m_share;
  std::shared_ptr<base::Ring<wire::PeerMessage>> m_inbox;
  std::shared_ptr<const services::VmListPage> m_seen;
  base::Counter& m_messages;
  base::Counter& m_bytes;
};

}  // namespace azurespur::control

#endif  // CONTROL_SLOT_CONTROLLER_H_
