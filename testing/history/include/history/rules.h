// The rules that every history must keep.

#ifndef HISTORY_RULES_H_
#define HISTORY_RULES_H_

#include <cstdint>
#include <vector>

#include "history/history.h"
#include "history/violation.h"

namespace azurespur::history {

struct RuleOptions {
  // Time from the leaving notice until the VM gets no new work.
  int64_t leaving_limit_ms = 2000;
  // Tasks of an unfinished run need not have ended.
  bool expect_all_ended = true;
};

// Each function returns the places where its rule is broken.

// "one-run": no member of a task works in two places at once.
std::vector<Violation> CheckOneRunAtATime(const History& history);

// "at-most-once": what is non-idempotent begins to work at most once.
std::vector<Violation> CheckAtMostOnce(const History& history);

// "capacity": the sizes started on a worker fit into it at every instant.
std::vector<Violation> CheckCapacity(const History& history);

// "slots": no executor gets more requests than it has slots.
std::vector<Violation> CheckSlots(const History& history);

// "own-answer": the answer of a request names it and echoes its whole body.
std::vector<Violation> CheckOwnAnswer(const History& history);

// "not-run": a sending that was refused as not run never began to work, nor
// did a request of which every sending was refused so.
std::vector<Violation> CheckNotRun(const History& history);

// "lists-forward": the versions on a VM never go back, and a version has one
// digest on all VMs.
std::vector<Violation> CheckListsForward(const History& history);

// "accepted-ends": every accepted task ended, and a finished one did so on its
// workers.
std::vector<Violation> CheckAcceptedEnds(const History& history);

// "leaving": a leaving VM gets no new work after the limit.
std::vector<Violation> CheckLeaving(const History& history, int64_t limit_ms);

std::vector<Violation> CheckAll(const History& history,
                                const RuleOptions& options);

}  // namespace azurespur::history

#endif  // HISTORY_RULES_H_
