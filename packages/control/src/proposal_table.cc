#include "proposal_table.h"

#include <algorithm>
#include <utility>

namespace azurespur::control {

namespace {

constexpr size_t kMaxProposals = 1024;

}  // namespace

void ProposalTable::Add(Proposal proposal, int64_t record_ms) {
  if (proposal.proposed_ms == 0) {
    proposal.proposed_ms = record_ms;
  }
  const auto it = m_rows.find(proposal.id);
  if (it != m_rows.end()) {
    it->second.record_ms = std::max(it->second.record_ms, record_ms);
    return;
  }
  if (m_rows.size() < kMaxProposals) {
    const std::string id = proposal.id;
    m_rows.emplace(id, Row{std::move(proposal), record_ms});
  }
}

void ProposalTable::Expire(int64_t now_ms) {
  std::erase_if(m_rows, [now_ms](const auto& item) {
    const Proposal& proposal = item.second.proposal;
    return proposal.proposed_ms + proposal.ttl_ms <= now_ms;
  });
}

std::vector<Proposal> ProposalTable::All() const {
  std::vector<Proposal> result;
  for (const auto& [id, row] : m_rows) {
    result.push_back(row.proposal);
  }
  return result;
}

std::vector<Proposal> ProposalTable::WrittenBefore(
    int64_t written_before_ms) const {
  std::vector<Proposal> result;
  for (const auto& [id, row] : m_rows) {
    if (row.record_ms < written_before_ms) {
      result.push_back(row.proposal);
    }
  }
  return result;
}

}  // namespace azurespur::control
