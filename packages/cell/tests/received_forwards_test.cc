#include "received_forwards.h"

#include <doctest/doctest.h>

#include <string_view>

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kStart{Millis{100000}};
constexpr MonoTime kDeadline = kStart + Millis{2000};
constexpr Millis kKeep{180000};
constexpr size_t kMaxRecords = 3;
constexpr std::string_view kSender = "10.0.0.2:1";

bool IsAnswer(const ForwardReceipt& receipt, StoreOutcome outcome) {
  return receipt.step == ForwardStep::kAnswer && receipt.outcome == outcome;
}

}  // namespace

// Guards against a second append of one record, whose refusal is told while the
// first append is open.
TEST_CASE("a copy of a record that is being stored isn't stored") {
  ReceivedForwards forwards(kKeep, kMaxRecords);
  CHECK(forwards.Receive(kSender, 1, kDeadline).step == ForwardStep::kStore);
  CHECK(forwards.Receive(kSender, 1, kDeadline).step == ForwardStep::kWait);
  // Whatever time has passed: its outcome is still to come.
  forwards.RemoveExpired(kDeadline + 2 * kKeep);
  CHECK(forwards.Receive(kSender, 1, kDeadline).step == ForwardStep::kWait);
}

// Guards against two outcomes for one record.
TEST_CASE("a copy of a record is answered with the record's outcome") {
  for (StoreOutcome outcome : {StoreOutcome::kStored, StoreOutcome::kNotStored,
                               StoreOutcome::kUnknown}) {
    ReceivedForwards forwards(kKeep, kMaxRecords);
    forwards.Receive(kSender, 1, kDeadline);
    forwards.Finish(kSender, 1, outcome, kStart);
    forwards.RemoveExpired(kDeadline - Millis{1});
    CHECK(IsAnswer(forwards.Receive(kSender, 1, kDeadline), outcome));
    CHECK(IsAnswer(forwards.Receive(kSender, 1, kDeadline), outcome));
  }
}

TEST_CASE("records are told apart by their sender and its number") {
  ReceivedForwards forwards(kKeep, kMaxRecords);
  forwards.Receive(kSender, 1, kDeadline);
  CHECK(forwards.Receive(kSender, 2, kDeadline).step == ForwardStep::kStore);
  CHECK(forwards.Receive("10.0.0.3:1", 1, kDeadline).step ==
        ForwardStep::kStore);
}

// Guards against a refused job that runs since a late copy is stored.
TEST_CASE("a refusal is kept for longer than its sender waits") {
  ReceivedForwards forwards(kKeep, kMaxRecords);
  forwards.Receive(kSender, 1, kDeadline);
  forwards.Finish(kSender, 1, StoreOutcome::kNotStored, kStart);
  forwards.RemoveExpired(kStart + kKeep - Millis{1});
  CHECK(IsAnswer(forwards.Receive(kSender, 1, kDeadline),
                 StoreOutcome::kNotStored));
  forwards.RemoveExpired(kStart + kKeep);
  CHECK(forwards.size() == 0);
}

TEST_CASE("other outcomes are kept for as long as their sender waits") {
  ReceivedForwards forwards(kKeep, kMaxRecords);
  forwards.Receive(kSender, 1, kDeadline);
  forwards.Receive(kSender, 2, kDeadline);
  forwards.Finish(kSender, 1, StoreOutcome::kStored, kStart);
  forwards.Finish(kSender, 2, StoreOutcome::kUnknown, kStart);
  forwards.RemoveExpired(kDeadline - Millis{1});
  CHECK(forwards.size() == 2);
  forwards.RemoveExpired(kDeadline);
  CHECK(forwards.size() == 0);
}

// Guards against a refusal that is forgotten to make room.
TEST_CASE("while too many records are kept, a further one is unknown") {
  ReceivedForwards forwards(kKeep, kMaxRecords);
  for (uint64_t id = 1; id <= kMaxRecords; ++id) {
    forwards.Receive(kSender, id, kDeadline);
    forwards.Finish(kSender, id, StoreOutcome::kNotStored, kStart);
  }
  CHECK(IsAnswer(forwards.Receive(kSender, 9, kDeadline),
                 StoreOutcome::kUnknown));
  CHECK(forwards.size() == kMaxRecords);
  CHECK(IsAnswer(forwards.Receive(kSender, 1, kDeadline),
                 StoreOutcome::kNotStored));
  forwards.RemoveExpired(kStart + kKeep);
  CHECK(forwards.Receive(kSender, 9, kDeadline).step == ForwardStep::kStore);
}

}  // namespace azurespur::cell
