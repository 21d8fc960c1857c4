#include "control/slot_controller.h"

#include <utility>

#include "base/metrics.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"

namespace azurespur::control {

namespace {

constexpr size_t kInboxSize = 1024;

}  // namespace

SlotController::SlotController(const SlotControllerDeps& deps,
                               const SlotShareOptions& options,
                               base::MonoTime now,
                               std::function<void()> wake)
    : m_deps(deps),
      m_share(options, deps.vm_id, deps.incarnation, now),
      m_inbox(std::make_shared<base::Ring<wire::PeerMessage>>(kInboxSize)),
      m_messages(deps.metrics.GetCounter("azurespur_slot_messages_total")),
      m_bytes(deps.metrics.GetCounter("azurespur_slot_bytes_total")) {
  // The share repeats what a full inbox drops.
  m_deps.peers.Subscribe(
      wire::Topic::kSlotShare,
      [inbox = m_inbox, wake = std::move(wake)](const wire::PeerMessage& in) {
        wire::PeerMessage copy = in;
        if (inbox->Push(std::move(copy))) {
          wake();
        }
      });
}

void SlotController::Tick(base::MonoTime now) {
  TakeVmList(now);
  TakeMessages(now);
  for (const auto& [to, message] : m_share.Tick(now)) {
    Send(to, message);
  }
}

void SlotController::Retire(base::MonoTime now) {
  if (m_share.Retire(now)) {
    Tick(now);
  }
}

void SlotController::TakeMessages(base::MonoTime now) {
  while (const auto in = m_inbox->Pop()) {
    const auto message = wire::Decode<SlotMessage>(in->payload);
    if (!base::Ok(message)) {
      continue;
    }
    const auto reply =
        m_share.OnMessage(in->from, in->incarnation, base::Value(message), now);
    if (reply) {
      Send(in->from, *reply);
    }
  }
}

void SlotController::TakeVmList(base::MonoTime now) {
  std::shared_ptr<const services::VmListPage> page = m_deps.vms.Current();
  if (page == m_seen || page->version == 0) {
    return;
  }
  std::vector<std::string> ids;
  for (const services::Vm& vm : page->vms) {
    if (vm.kind == services::VmKind::kEntry && vm.domain == m_deps.domain) {
      ids.push_back(vm.id);
    }
  }
  m_share.SetMembers(page->version, ids, now);
  m_seen = std::move(page);
}

void SlotController::Send(const std::string& to, const SlotMessage& message) {
  std::string payload = wire::Encode(message);
  m_messages.Add(1);
  m_bytes.Add(static_cast<int64_t>(payload.size()));
  m_deps.peers.Send(to, wire::Topic::kSlotShare, std::move(payload));
}

}  // namespace azurespur::control
