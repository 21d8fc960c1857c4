// Bound on repeated work: a fixed share of first attempts.

#ifndef FILTERS_RETRY_BUDGET_H_
#define FILTERS_RETRY_BUDGET_H_

#include <algorithm>

namespace azurespur::filters {

class RetryBudget {
 public:
  // Each first attempt earns `share` of a repeat, up to `most` in store.
  RetryBudget(double share, double most)
      : m_share(share), m_most(most), m_tokens(most) {}

  void OnFirstAttempt() { m_tokens = std::min(m_tokens + m_share, m_most); }

  bool Take() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  double tokens() const { return m_tokens; }

 private:
  double m_share;
  double m_most;
  double m_tokens;
};

}  // namespace azurespur::filters

#endif  // FILTERS_RETRY_BUDGET_H_
