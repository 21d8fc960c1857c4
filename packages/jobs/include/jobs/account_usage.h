// What each client account has running. Does no I/O and reads no clock.

#ifndef JOBS_ACCOUNT_USAGE_H_
#define JOBS_ACCOUNT_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "placement/resources.h"

namespace azurespur::jobs {

// Stands for an account's name within one AccountUsage.
using AccountIndex = uint32_t;

// The jobs without an account.
inline constexpr AccountIndex kNoAccount = 0;

class AccountUsage {
 public:
  struct Entry {
    std::string account;  // Empty: the jobs without an account.
    placement::Resources in_use;
    int64_t tasks = 0;  // That count towards `in_use`.
  };

  // Returns the index of the account, and adds it if it is new.
  AccountIndex IndexOf(std::string_view account);

  void Add(AccountIndex account, const placement::Resources& demand);
  void Remove(AccountIndex account, const placement::Resources& demand);

  const Entry& operator[](AccountIndex account) const {
    return m_entries[account];
  }
  size_t size() const { return m_entries.size(); }

 private:
  std::vector<Entry> m_entries = {Entry{}};  // By index.
  std::map<std::string, AccountIndex, std::less<>> m_indexes;
};

}  // namespace azurespur::jobs

#endif  // JOBS_ACCOUNT_USAGE_H_
