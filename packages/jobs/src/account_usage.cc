#include "jobs/account_usage.h"

namespace azurespur::jobs {

AccountIndex AccountUsage::IndexOf(std::string_view account) {
  if (account.empty()) {
    return kNoAccount;
  }
  const auto found = m_indexes.find(account);
  if (found != m_indexes.end()) {
    return found->second;
  }
  const auto index = static_cast<AccountIndex>(m_entries.size());
  m_entries.push_back({std::string(account), {}, 0});
  m_indexes.emplace(account, index);
  return index;
}

void AccountUsage::Add(AccountIndex account,
                       const placement::Resources& demand) {
  Entry& entry = m_entries[account];
  entry.in_use = placement::Add(entry.in_use, demand);
  ++entry.tasks;
}

void AccountUsage::Remove(AccountIndex account,
                          const placement::Resources& demand) {
  Entry& entry = m_entries[account];
  entry.in_use = placement::Subtract(entry.in_use, demand);
  --entry.tasks;
}

}  // namespace azurespur::jobs
