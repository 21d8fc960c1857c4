// Figures of client accounts on the metrics page.

#ifndef CELL_SRC_ACCOUNT_METRICS_H_
#define CELL_SRC_ACCOUNT_METRICS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/metrics.h"
#include "jobs/account_load.h"

namespace azurespur::cell {

// Shows the first accounts by their names and the sum of all later ones as
// `other`, since metrics are never removed.
class AccountMetrics {
 public:
  static constexpr size_t kMaxNamed = 32;

  explicit AccountMetrics(base::Metrics& metrics) : m_metrics(metrics) {}

  // Accounts that `loads` lacks are shown as 0.
  void Show(const jobs::AccountLoads& loads);

 private:
  struct Gauges {
    base::Counter* in_use = nullptr;
    base::Counter* entitled = nullptr;
    base::Counter* waiting = nullptr;
    base::Counter* running = nullptr;
  };

  Gauges& GaugesOf(std::string_view account);
  Gauges MakeGauges(std::string_view label);

  base::Metrics& m_metrics;
  std::map<std::string, Gauges, std::less<>> m_named;
  Gauges m_other;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_ACCOUNT_METRICS_H_
