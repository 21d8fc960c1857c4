// Limits retries to a fixed share of the first attempts.

#ifndef FILTERS_RETRY_BUDGET_H_
#define FILTERS_RETRY_BUDGET_H_

#include <algorithm>

namespace azurespur::filters {

class RetryBudget {
 public:
  // Each first attempt adds `share` tokens, up to `max_tokens`. The budget
  // starts full.
  RetryBudget(double share, double max_tokens)
      : m_share(share), m_max_tokens(max_tokens), m_tokens(max_tokens) {}

  void OnFirstAttempt() {
    m_tokens = std::min(m_tokens + m_share, m_max_tokens);
  }

  bool TryTake() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  double tokens() const { return m_tokens; }

 private:
  double m_share;
  double m_max_tokens;
  double m_tokens;
};

}  // namespace azurespur::filters

#endif  // FILTERS_RETRY_BUDGET_H_
