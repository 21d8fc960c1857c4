#include "jobs/account_shares.h"

#include <algorithm>

#include "jobs/account_cap.h"
#include "placement/fair_share.h"

namespace azurespur::jobs {

namespace {

// Weights have to be above 0.
constexpr double kMinWeight = 1e-6;

int64_t PartOf(int64_t capacity, double share) {
  // Sums of shares are inexact.
  return static_cast<int64_t>(static_cast<double>(capacity) * share + 1e-6);
}

// Returns how many of `count` tasks start within `share`; with kOneMore at
// least one if the account uses nothing yet.
int64_t TasksWithin(int64_t share,
                    int64_t used,
                    int64_t demand,
                    int64_t count,
                    ShareLimit limit) {
  if (used > 0 && used >= share) {
    return 0;
  }
  if (demand <= 0) {
    return count;
  }
  if (limit == ShareLimit::kWholeTasks) {
    return std::clamp<int64_t>((share - used) / demand, 0, count);
  }
  const int64_t tasks = (share - used + demand - 1) / demand;
  return std::clamp<int64_t>(tasks, 1, std::max<int64_t>(count, 1));
}

}  // namespace

void AccountShares::SetAccounts(const Accounts& accounts) {
  m_accounts = accounts;
  m_terms.clear();
}

const ShareTerms& AccountShares::TermsOf(const AccountUsage& usage,
                                         AccountIndex account) {
  while (m_terms.size() <= account) {
    const auto index = static_cast<AccountIndex>(m_terms.size());
    const auto found = m_accounts.find(usage[index].account);
    ShareTerms terms;
    if (found != m_accounts.end()) {
      terms = {found->second.weight, found->second.cap};
    }
    m_terms.push_back(terms);
  }
  return m_terms[account];
}

int64_t AccountShares::CountUnderCap(const AccountUsage& usage,
                                     AccountIndex account,
                                     const placement::Resources& demand,
                                     int64_t count) {
  const placement::Resources room =
      RoomUnderCap(TermsOf(usage, account).cap, usage[account].in_use);
  return placement::CountFitting(demand, room, count);
}

void AccountShares::ShareOut(const AccountUsage& usage,
                             std::span<const placement::Resources> waiting,
                             const placement::Resources& capacity) {
  std::vector<placement::ShareClaim> claims;
  for (AccountIndex i = 0; i < usage.size(); ++i) {
    const ShareTerms& terms = TermsOf(usage, i);
    placement::Resources wanted = usage[i].in_use;
    if (i < waiting.size()) {
      wanted = placement::Add(wanted, waiting[i]);
    }
    claims.push_back({std::max(terms.weight, kMinWeight),
                      placement::Min(wanted, RoomUnderCap(terms.cap, {}))});
  }
  m_shares.clear();
  for (const placement::FairShare& share :
       placement::ComputeFairShares(claims, capacity)) {
    m_shares.push_back({PartOf(capacity.cpu_millis, share.limit),
                        PartOf(capacity.memory_mb, share.limit),
                        PartOf(capacity.accelerators, share.limit)});
  }
}

int64_t AccountShares::CountWithinShare(const AccountUsage& usage,
                                        AccountIndex account,
                                        const placement::Resources& demand,
                                        int64_t count,
                                        ShareLimit limit) const {
  if (account >= m_shares.size()) {
    return count;
  }
  const placement::Resources& share = m_shares[account];
  const placement::Resources& used = usage[account].in_use;
  const auto within = [count, limit](int64_t most, int64_t in_use,
                                     int64_t each) {
    return TasksWithin(most, in_use, each, count, limit);
  };
  return std::min(
      {within(share.cpu_millis, used.cpu_millis, demand.cpu_millis),
       within(share.memory_mb, used.memory_mb, demand.memory_mb),
       within(share.accelerators, used.accelerators, demand.accelerators)});
}

AccountLoad AccountShares::LoadOf(const AccountUsage& usage,
                                  AccountIndex account) {
  const ShareTerms& terms = TermsOf(usage, account);
  AccountLoad load;
  load.account = usage[account].account;
  load.weight = terms.weight;
  load.cap = terms.cap;
  if (account < m_shares.size()) {
    load.entitled =
        placement::Min(m_shares[account], RoomUnderCap(terms.cap, {}));
  }
  load.in_use = usage[account].in_use;
  load.running_tasks = usage[account].tasks;
  return load;
}

}  // namespace azurespur::jobs
