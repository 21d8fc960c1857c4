// The weights and caps of client accounts, applied to their usage. Does no I/O
// and reads no clock.

#ifndef JOBS_ACCOUNT_SHARES_H_
#define JOBS_ACCOUNT_SHARES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "jobs/account_load.h"
#include "jobs/account_usage.h"
#include "jobs/client_account.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// What the policy says of an account; the defaults hold for the jobs without an
// account and for accounts that the policy no longer names.
struct ShareTerms {
  double weight = 1;
  placement::Resources cap;  // 0 of a resource: no limit.
};

// How many tasks start within a share.
enum class ShareLimit {
  kWholeTasks,  // Those that fit it.
  kOneMore,     // Until it is reached; the last task may exceed it.
};

class AccountShares {
 public:
  using Accounts = std::map<std::string, ClientAccount, std::less<>>;

  void SetAccounts(const Accounts& accounts);

  // Returns true if the policy names accounts; otherwise nothing is limited or
  // shared out.
  bool IsActive() const { return !m_accounts.empty(); }

  const ShareTerms& TermsOf(const AccountUsage& usage, AccountIndex account);

  // Returns how many of `count` tasks the account may start under its cap.
  int64_t CountUnderCap(const AccountUsage& usage,
                        AccountIndex account,
                        const placement::Resources& demand,
                        int64_t count);

  // Shares out `capacity`. `waiting` is what each account waits for, by index.
  void ShareOut(const AccountUsage& usage,
                std::span<const placement::Resources> waiting,
                const placement::Resources& capacity);

  // Returns how many of `count` tasks the account may start within its share.
  // All, if it had no share yet.
  int64_t CountWithinShare(const AccountUsage& usage,
                           AccountIndex account,
                           const placement::Resources& demand,
                           int64_t count,
                           ShareLimit limit) const;

  // Returns the weight, cap, share and usage of an account.
  AccountLoad LoadOf(const AccountUsage& usage, AccountIndex account);

 private:
  Accounts m_accounts;
  std::vector<ShareTerms> m_terms;  // By index.
  // By index, as of the last ShareOut().
  std::vector<placement::Resources> m_shares;
};

}  // namespace azurespur::jobs

#endif  // JOBS_ACCOUNT_SHARES_H_
