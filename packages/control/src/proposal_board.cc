#include "control/proposal_board.h"

#include <algorithm>

#include "control/list_ledger.h"
#include "control/log_channel.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

constexpr base::Millis kResendAfter{10000};

}  // namespace

ProposalBoard::ProposalBoard(LogChannel& log,
                             const ListLedger& ledger,
                             const base::Clock& clock)
    : m_log(log), m_ledger(ledger), m_clock(clock) {}

bool ProposalBoard::Propose(const Proposal& proposal) {
  const std::vector<Proposal> pending = Pending();
  const bool stands = std::any_of(
      pending.begin(), pending.end(),
      [&](const Proposal& other) { return other.id == proposal.id; });
  if (stands) {
    return true;
  }
  const base::MonoTime now = m_clock.Now();
  std::lock_guard<std::mutex> lock(m_mutex);
  std::erase_if(m_last_sent, [now](const auto& item) {
    return item.second + kResendAfter <= now;
  });
  if (m_last_sent.count(proposal.id) != 0) {
    return true;
  }
  const bool queued = m_log.Append(
      wire::EntryKind::kProposal, wire::Encode(proposal), now + kResendAfter,
      [](const base::Outcome<LogPosition>& /*appended*/) {});
  if (queued) {
    m_last_sent[proposal.id] = now;
  }
  return queued;
}

bool ProposalBoard::IsApproved(std::string_view proposal_id) const {
  const std::shared_ptr<const ListsSnapshot> lists = m_ledger.Current();
  return std::any_of(
      lists->allowances.begin(), lists->allowances.end(),
      [&](const Allowance& allowance) {
        return std::find(allowance.approved.begin(), allowance.approved.end(),
                         proposal_id) != allowance.approved.end();
      });
}

std::vector<Proposal> ProposalBoard::Pending() const {
  return m_ledger.Proposals();
}

}  // namespace azurespur::control
