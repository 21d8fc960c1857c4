#include "filters/once_ledger.h"

#include <doctest/doctest.h>

#include "wire/codec.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kRetention{1000};

void Claim(OnceLedger& ledger,
           const std::string& id,
           uint32_t attempt,
           int64_t time_ms = 0) {
  OnceClaim claim;
  claim.key = "k";
  claim.claim_id = id;
  claim.attempt = attempt;
  wire::LogEntry entry;
  entry.kind = static_cast<uint16_t>(wire::EntryKind::kOnceClaim);
  entry.payload = wire::Encode(claim);
  ledger.OnEntry({0, 0, time_ms}, entry);
}

void End(OnceLedger& ledger,
         const std::string& id,
         Fate fate,
         int64_t time_ms = 0) {
  wire::LogEntry entry;
  entry.kind = static_cast<uint16_t>(wire::EntryKind::kOnceFate);
  OnceFate record;
  record.key = "k";
  record.claim_id = id;
  record.fate = static_cast<uint8_t>(fate);
  record.has_answer = fate == Fate::kRan;
  record.executor = "x1";
  record.body = "answer of " + id;
  entry.payload = wire::Encode(record);
  ledger.OnEntry({0, 0, time_ms}, entry);
}

}  // namespace

TEST_CASE("the first claim of an attempt wins") {
  OnceLedger ledger(kRetention);
  Claim(ledger, "a", 1);
  Claim(ledger, "b", 1);
  CHECK(ledger.Find("k")->claim.claim_id == "a");
  End(ledger, "b", Fate::kRan);
  CHECK_FALSE(ledger.Find("k")->fate.has_value());
}

TEST_CASE("a recorded answer survives saving and loading the state") {
  OnceLedger ledger(kRetention);
  Claim(ledger, "a", 1);
  End(ledger, "a", Fate::kRan);
  OnceLedger fresh(kRetention);
  REQUIRE(base::Ok(fresh.LoadState(ledger.SaveState())));
  for (const OnceLedger* each : {&ledger, &fresh}) {
    const auto entry = each->Find("k");
    REQUIRE(entry->answer.has_value());
    CHECK(entry->answer->body == "answer of a");
    CHECK(entry->answer->executor == "x1");
  }
}

TEST_CASE("a key can be claimed again only after not-run") {
  OnceLedger ledger(kRetention);
  Claim(ledger, "a", 1);
  Claim(ledger, "b", 2);
  CHECK(ledger.Find("k")->claim.claim_id == "a");
  End(ledger, "a", Fate::kNotRun);
  Claim(ledger, "late", 1);
  Claim(ledger, "c", 2);
  Claim(ledger, "d", 2);
  CHECK(ledger.Find("k")->claim.claim_id == "c");
  End(ledger, "c", Fate::kRan);
  End(ledger, "c", Fate::kNotRun);
  Claim(ledger, "e", 3);
  CHECK(ledger.Find("k")->claim.claim_id == "c");
  CHECK(ledger.Find("k")->fate == Fate::kRan);
}

TEST_CASE("keys expire by record time and survive saving and loading") {
  OnceLedger ledger(kRetention);
  Claim(ledger, "a", 1, 0);
  End(ledger, "a", Fate::kRan, 500);
  OnceLedger copy(kRetention);
  REQUIRE(base::Ok(copy.LoadState(ledger.SaveState())));
  CHECK(copy.Find("k")->fate == Fate::kRan);
  CHECK_FALSE(base::Ok(copy.LoadState("garbage")));
  Claim(copy, "x", 1, 1400);
  CHECK(copy.Find("k")->claim.claim_id == "a");
  Claim(copy, "y", 1, 1600);
  CHECK(copy.Find("k")->claim.claim_id == "y");
}

}  // namespace azurespur::filters
