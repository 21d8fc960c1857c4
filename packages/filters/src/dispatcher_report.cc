// Log events and diagnostic dump of the dispatcher.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event_log.h"
#include "dispatcher.h"

namespace azurespur::filters {

namespace {

// Time after startup before a silent peer is reported.
constexpr base::Millis kSilentPeerReportDelay{3000};

}  // namespace

void Dispatcher::ReportChanges(base::MonoTime now) {
  using base::Severity;
  const auto& health = m_core.health().executors();
  m_reported_ejected.resize(health.size());
  for (size_t i = 0; i < health.size(); ++i) {
    const bool ejected = health[i].state != ExecutorState::kHealthy;
    if (ejected == m_reported_ejected[i]) {
      continue;
    }
    m_reported_ejected[i] = ejected;
    if (ejected) {
      base::LogEvent(Severity::kWarning, "AZ3001", "executor ejected",
                     {{"executor", m_core.IdOf(i)}});
    } else {
      base::LogEvent(Severity::kInfo, "AZ3002", "executor readmitted",
                     {{"executor", m_core.IdOf(i)}});
    }
  }
  const control::SlotShare& share = m_slots.share();
  if (!m_reported_slots && now >= share.QuietEnd()) {
    m_reported_slots = true;
    base::LogEvent(Severity::kInfo, "AZ3003", "executor slots usable");
  }
  const auto silent_peer =
      std::find_if(share.members().begin(), share.members().end(),
                   [](const auto& entry) { return !entry.second.knows_me; });
  const bool slots_blocked = now >= share.QuietEnd() + kSilentPeerReportDelay &&
                             silent_peer != share.members().end();
  if (slots_blocked && !m_reported_no_slots) {
    base::LogEvent(
        Severity::kWarning, "AZ3004",
        "no executor slots until a peer responds or leaves the VM list",
        {{"peer", silent_peer->first}});
  }
  m_reported_no_slots = slots_blocked;
}

nlohmann::json Dispatcher::Describe() const {
  nlohmann::json executors = nlohmann::json::array();
  const auto& health = m_core.health().executors();
  for (size_t i = 0; i < health.size(); ++i) {
    constexpr const char* kStates[] = {"healthy", "ejected", "probing"};
    executors.push_back(
        {{"id", m_core.IdOf(i)},
         {"present", health[i].present},
         {"state", kStates[static_cast<size_t>(health[i].state)]},
         {"median_ms", health[i].median.value()},
         {"in_use", m_slots.share().InUse(i)},
         {"idle", m_slots.share().Idle(i, m_deps.clock.Now())}});
  }
  nlohmann::json peers = nlohmann::json::object();
  for (const auto& [id, member] : m_slots.share().members()) {
    peers[id] = {{"listed", member.listed}, {"knows_me", member.knows_me}};
  }
  using control::RequestClass;
  const WaitQueue& queue = m_core.queue();
  return {{"waiting",
           {{"preview", queue.Class(RequestClass::kPreview).size()},
            {"interactive", queue.Class(RequestClass::kInteractive).size()},
            {"bulk", queue.Class(RequestClass::kBulk).size()}}},
          {"sent", m_core.in_flight()},
          {"keyed_waiting", m_once.pending()},
          {"fates_to_write", m_once.unwritten_fates()},
          {"live_vms", m_live_vms},
          {"slots_usable", m_deps.clock.Now() >= m_slots.share().QuietEnd()},
          {"executors", std::move(executors)},
          {"slot_peers", std::move(peers)}};
}

}  // namespace azurespur::filters
