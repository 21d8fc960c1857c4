#include "account_metrics.h"

namespace azurespur::cell {

namespace {

// Of a label's value in the Prometheus text format.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

}  // namespace

AccountMetrics::Gauges AccountMetrics::MakeGauges(std::string_view label) {
  const std::string labels = "{account=\"" + Escape(label) + "\"}";
  return {
      &m_metrics.GetCounter("azurespur_account_in_use_cpu_millis" + labels),
      &m_metrics.GetCounter("azurespur_account_entitled_cpu_millis" + labels),
      &m_metrics.GetCounter("azurespur_account_waiting_tasks" + labels),
      &m_metrics.GetCounter("azurespur_account_running_tasks" + labels)};
}

AccountMetrics::Gauges& AccountMetrics::GaugesOf(std::string_view account) {
  const auto found = m_named.find(account);
  if (found != m_named.end()) {
    return found->second;
  }
  if (m_named.size() < kMaxNamed) {
    return m_named.emplace(account, MakeGauges(account)).first->second;
  }
  if (m_other.in_use == nullptr) {
    m_other = MakeGauges("other");
  }
  return m_other;
}

void AccountMetrics::Show(const jobs::AccountLoads& loads) {
  const auto clear = [](Gauges& gauges) {
    for (base::Counter* gauge :
         {gauges.in_use, gauges.entitled, gauges.waiting, gauges.running}) {
      gauge->Set(0);
    }
  };
  for (auto& [account, gauges] : m_named) {
    clear(gauges);
  }
  if (m_other.in_use != nullptr) {
    clear(m_other);
  }
  for (const jobs::AccountLoad& load : loads) {
    const Gauges& gauges = GaugesOf(load.account);
    gauges.in_use->Add(load.in_use.cpu_millis);
    gauges.entitled->Add(load.entitled.cpu_millis);
    gauges.waiting->Add(load.waiting_tasks);
    gauges.running->Add(load.running_tasks);
  }
}

}  // namespace azurespur::cell
