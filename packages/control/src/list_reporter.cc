#include "control/list_reporter.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "control/list_ledger.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

bool SameLists(const ListsReport& a, const ListsReport& b) {
  return a.complete && b.complete && a.plans_version == b.plans_version &&
         a.plans_digest == b.plans_digest &&
         a.allowances_version == b.allowances_version &&
         a.allowances_digest == b.allowances_digest;
}

}  // namespace

ListReporter::ListReporter(ListReporterOptions options,
                           PeerBus& bus,
                           const VmDirectory& directory,
                           const ListLedger& ledger,
                           const base::Clock& clock)
    : m_options(std::move(options)),
      m_bus(bus),
      m_directory(directory),
      m_ledger(ledger),
      m_clock(clock) {
  m_bus.Subscribe(
      wire::Topic::kListsReport,
      [this](const wire::PeerMessage& message) { OnReport(message); });
}

ListReporter::~ListReporter() {
  Stop();
}

void ListReporter::Start() {
  m_thread = std::thread([this] {
    while (!m_stop.Wait(m_options.check_interval)) {
      ReportIfDue(m_clock.Now());
    }
  });
}

void ListReporter::Stop() {
  if (m_thread.joinable()) {
    m_stop.Notify();
    m_thread.join();
  }
}

void ListReporter::ReportIfDue(base::MonoTime now) {
  std::string payload = wire::Encode(OwnReport());
  if (payload == m_last_payload &&
      now < m_last_sent + m_options.report_interval) {
    return;
  }
  for (const Peer& peer : m_bus.Peers()) {
    m_bus.Send(peer.id, wire::Topic::kListsReport, payload);
  }
  m_last_payload = std::move(payload);
  m_last_sent = now;
}

void ListReporter::OnReport(const wire::PeerMessage& message) {
  base::Outcome<ListsReport> report =
      wire::Decode<ListsReport>(message.payload);
  if (!base::Ok(report)) {
    base::LogEvent(
        base::Severity::kWarning, "AZ8008", "lists report is malformed",
        {{"from", message.from}, {"error", base::GetError(report).message}});
    return;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_heard[message.from] = Heard{base::Value(std::move(report)), m_clock.Now()};
}

ListsReport ListReporter::OwnReport() const {
  const std::shared_ptr<const ListsSnapshot> lists = m_ledger.Current();
  ListsReport report;
  report.complete = m_ledger.Complete();
  report.plans_version = lists->plans_version;
  report.plans_digest = lists->plans_digest;
  report.plans_since_ms = m_ledger.InForceSince(ListName::kPlans);
  report.allowances_version = lists->allowances_version;
  report.allowances_digest = lists->allowances_digest;
  report.allowances_since_ms = m_ledger.InForceSince(ListName::kAllowances);
  return report;
}

ListsConfirmation ListReporter::Confirm() const {
  std::map<std::string, std::string> domains = {
      {m_options.vm, m_options.domain}};
  const std::shared_ptr<const services::VmListPage> page =
      m_directory.Current();
  for (const services::Vm& vm : page->vms) {
    if (vm.kind == services::VmKind::kEntry) {
      domains.emplace(vm.id, vm.domain);
    }
  }
  ListsConfirmation confirmation;
  confirmation.seen_from = m_options.vm;
  const base::MonoTime now = m_clock.Now();
  for (const auto& [vm, domain] : domains) {
    confirmation.vms.push_back(Describe(vm, domain, now));
  }
  const std::vector<VmLists>& vms = confirmation.vms;
  confirmation.all_reached = std::all_of(
      vms.begin(), vms.end(), [](const VmLists& vm) { return vm.reached; });
  confirmation.all_agree =
      confirmation.all_reached &&
      std::all_of(vms.begin(), vms.end(), [&](const VmLists& vm) {
        return SameLists(vm.report, vms.front().report);
      });
  return confirmation;
}

VmLists ListReporter::Describe(const std::string& vm,
                               const std::string& domain,
                               base::MonoTime now) const {
  VmLists result;
  result.vm = vm;
  result.domain = domain;
  if (vm == m_options.vm) {
    result.reached = true;
    result.report = OwnReport();
    return result;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_heard.find(vm);
  if (it == m_heard.end()) {
    result.silent_ms = -1;
    return result;
  }
  result.silent_ms = base::MillisBetween(it->second.at, now);
  result.reached = result.silent_ms <= m_options.silent_after.count();
  result.report = it->second.report;
  return result;
}

}  // namespace azurespur::control
