#include "jobs/orders.h"

namespace azurespur::jobs {

std::string_view OrderOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kStaleRun:
      return "stale-run";
    case OrderOutcome::kLeaseExpired:
      return "late";
    case OrderOutcome::kNoRoom:
      return "no-room";
    case OrderOutcome::kBadTicket:
      return "bad-ticket";
    case OrderOutcome::kOtherBoot:
      return "other-boot";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace azurespur::jobs
