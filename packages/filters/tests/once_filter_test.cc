#include "once_filter.h"

#include <doctest/doctest.h>

#include "fakes.h"

namespace azurespur::filters {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kNow{Millis(1000)};

// The filter of one VM. The test delivers its log and peer events explicitly.
struct Fixture {
  Fixture()
      : ledger(Millis(600000)),
        filter(
            {log,
             ledger,
             network.Join("e1", 7),
             {"e1", "d1", 7},
             {},
             [this](OnceEvent event) { events.push_back(std::move(event)); }},
            std::make_shared<OnceAnswers>(1 << 20)) {
    log.AddObserver(ledger);
  }

  void Begin(uint64_t handle) {
    filter.Begin({handle, "pay", "gold", 1, kNow + Millis(100)}, kNow);
  }
  void DeliverEvents(MonoTime now) {
    for (const OnceEvent& event : std::exchange(events, {})) {
      filter.OnEvent(event, now);
    }
  }
  Refusal Refused() {
    const auto decisions = filter.TakeDecisions();
    REQUIRE(decisions.size() == 1);
    return std::get<OnceRefused>(decisions[0]).refusal;
  }

  FakeNetwork network;
  FakeLog log;
  OnceLedger ledger;
  std::vector<OnceEvent> events;
  OnceFilter filter;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "a claim confirmed after the deadline is not used") {
  Begin(1);
  DeliverEvents(kNow + Millis(5000));  // The process was suspended in between.
  const Refusal refusal = Refused();
  CHECK(refusal.fate == Fate::kNotRun);
  CHECK(refusal.error == "deadline");
  CHECK_FALSE(ledger.Find("pay")->fate.has_value());
  filter.Tick(kNow + Millis(5000));
  CHECK(ledger.Find("pay")->fate == Fate::kNotRun);
  // The key can be claimed again, and the new attempt wins.
  filter.Begin({2, "pay", "gold", 1, kNow + Millis(9000)}, kNow + Millis(5000));
  DeliverEvents(kNow + Millis(5010));
  const auto decisions = filter.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<OnceProceed>(decisions[0]).handle == 2);
  CHECK(ledger.Find("pay")->claim.attempt == 2);
}

TEST_CASE_FIXTURE(Fixture, "only one of two concurrent claims proceeds") {
  Begin(1);
  Begin(2);
  DeliverEvents(kNow + Millis(10));
  const auto decisions = filter.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  const auto& won = std::get<OnceProceed>(decisions[0]);
  CHECK(filter.pending() == 1);
  // The other request gets the same answer.
  filter.End("pay", won.claim_id, {Fate::kRan, "x1", "body"},
             kNow + Millis(20));
  filter.Tick(kNow + Millis(80));
  const auto later = filter.TakeDecisions();
  REQUIRE(later.size() == 1);
  CHECK(std::get<OnceRepeat>(later[0]).answer.body == "body");
}

TEST_CASE_FIXTURE(Fixture,
                  "a repeat is answered at its deadline at the latest") {
  Begin(1);
  Begin(2);
  DeliverEvents(kNow + Millis(10));
  (void)filter.TakeDecisions();
  filter.Tick(kNow + Millis(100));
  const Refusal refusal = Refused();
  CHECK(refusal.status == 504);
  CHECK(refusal.fate == Fate::kMayHaveRun);
}

TEST_CASE_FIXTURE(Fixture, "a claim of an earlier incarnation may have run") {
  OnceClaim claim;
  claim.key = "pay";
  claim.claim_id = "e1.6.1";
  claim.vm = "e1";
  claim.incarnation = 6;
  claim.plan = "gold";
  claim.body_digest = 1;
  (void)log.Append(wire::EntryKind::kOnceClaim, wire::Encode(claim), kNow,
                   [](const base::Outcome<control::LogPosition>&) {});
  Begin(1);
  const Refusal refusal = Refused();
  CHECK(refusal.fate == Fate::kMayHaveRun);
  CHECK(refusal.error == "holder_gone");
}

TEST_CASE_FIXTURE(Fixture,
                  "a repeat gets the recorded answer if the holder is gone") {
  const auto append = [this](wire::EntryKind kind, std::string payload) {
    (void)log.Append(kind, std::move(payload), kNow,
                     [](const base::Outcome<control::LogPosition>&) {});
  };
  OnceClaim claim;
  claim.key = "pay";
  claim.claim_id = "e1.6.1";
  claim.vm = "e1";
  claim.incarnation = 6;
  claim.plan = "gold";
  claim.body_digest = 1;
  append(wire::EntryKind::kOnceClaim, wire::Encode(claim));
  OnceFate fate;
  fate.key = "pay";
  fate.claim_id = claim.claim_id;
  fate.fate = static_cast<uint8_t>(Fate::kRan);
  fate.has_answer = true;
  fate.executor = "x1";
  fate.body = "body";
  append(wire::EntryKind::kOnceFate, wire::Encode(fate));
  Begin(1);
  const auto decisions = filter.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<OnceRepeat>(decisions[0]).answer.body == "body");
}

TEST_CASE_FIXTURE(Fixture,
                  "a fate is written repeatedly until it is in the log") {
  Begin(1);
  DeliverEvents(kNow);
  const auto decisions = filter.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  const std::string id = std::get<OnceProceed>(decisions[0]).claim_id;
  log.SetMode(FakeLog::Mode::kUnreachable);
  filter.End("pay", id, {Fate::kRan, "x1", "body"}, kNow);
  filter.Tick(kNow);
  CHECK(filter.unwritten_fates() == 1);
  log.SetMode(FakeLog::Mode::kAvailable);
  filter.Tick(kNow + Millis(3000));
  CHECK(ledger.Find("pay")->fate == Fate::kRan);
  filter.Tick(kNow + Millis(3010));
  CHECK(filter.unwritten_fates() == 0);
}

}  // namespace azurespur::filters
