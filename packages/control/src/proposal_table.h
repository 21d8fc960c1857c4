// Proposals that have not expired.

#ifndef CONTROL_PROPOSAL_TABLE_H_
#define CONTROL_PROPOSAL_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/proposal.h"

namespace azurespur::control {

// Times are of the log's clock. A repeat of a known proposal keeps the time of
// the first.
class ProposalTable {
 public:
  void Add(Proposal proposal, int64_t record_ms);
  void Expire(int64_t now_ms);

  // Sorted by id.
  std::vector<Proposal> All() const;

  // Those whose last record is older than `written_before_ms`.
  std::vector<Proposal> WrittenBefore(int64_t written_before_ms) const;

 private:
  struct Row {
    Proposal proposal;
    int64_t record_ms = 0;
  };

  std::map<std::string, Row> m_rows;
};

}  // namespace azurespur::control

#endif  // CONTROL_PROPOSAL_TABLE_H_
