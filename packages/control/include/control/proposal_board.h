// Disruptive actions that wait for the operators' approval.

#ifndef CONTROL_PROPOSAL_BOARD_H_
#define CONTROL_PROPOSAL_BOARD_H_

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/proposal.h"

namespace azurespur::control {

class ListLedger;
class LogChannel;

// Thread-safe. All arguments must outlive the board.
class ProposalBoard {
 public:
  ProposalBoard(LogChannel& log,
                const ListLedger& ledger,
                const base::Clock& clock);

  // Appends the proposal unless it stands already or was just sent. Returns
  // false if it could not be queued.
  bool Propose(const Proposal& proposal);

  // Whether an allowance in force on this VM names the proposal. An approval
  // stands after the proposal expired.
  bool IsApproved(std::string_view proposal_id) const;

  // Those not expired, sorted by id.
  std::vector<Proposal> Pending() const;

 private:
  LogChannel& m_log;
  const ListLedger& m_ledger;
  const base::Clock& m_clock;
  std::mutex m_mutex;
  std::map<std::string, base::MonoTime> m_last_sent;
};

}  // namespace azurespur::control

#endif  // CONTROL_PROPOSAL_BOARD_H_
