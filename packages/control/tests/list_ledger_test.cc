#include "control/list_ledger.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "control/lists_state.h"
#include "list_fakes.h"

namespace azurespur::control {

namespace {

constexpr const char* kOneAllowance = R"({"allowances":[{"id":"gold"}]})";
constexpr const char* kOnePlan =
    R"({"plans":[{"id":"p","customer":"c","allowance":"gold"}]})";
constexpr const char* kNoPlan = R"({"plans":[]})";

ListEdit MakeEdit(std::string id,
                  ListName list,
                  uint64_t base_version,
                  std::string content) {
  ListEdit edit;
  edit.edit_id = std::move(id);
  edit.list = list;
  edit.base_version = base_version;
  edit.author = "author-of-" + edit.edit_id;
  edit.content = std::move(content);
  return edit;
}

// One VM's ledger and its reader.
struct Replica {
  explicit Replica(FakeStream& stream) : reader(stream, ledger) {}

  FakeClock clock;
  ListLedger ledger{clock};
  FakeReader reader;
};

EditOutcome OutcomeOf(const Replica& replica, std::string_view edit_id) {
  const auto verdict = replica.ledger.Verdict(edit_id);
  REQUIRE(verdict);
  return verdict->outcome;
}

// Allowances 1 and plans 1, both from edits.
void AppendBothLists(FakeStream& stream) {
  stream.Append(MakeEdit("a1", ListName::kAllowances, 0, kOneAllowance));
  stream.Append(MakeEdit("p1", ListName::kPlans, 0, kOnePlan));
}

}  // namespace

TEST_CASE("of two edits from one base exactly the first is accepted") {
  FakeStream stream;
  AppendBothLists(stream);
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  stream.Append(MakeEdit("other", ListName::kPlans, 1, kOnePlan));
  Replica a(stream);
  Replica b(stream);
  a.reader.Read();
  b.reader.Read(2);
  b.reader.Read();
  for (const Replica* replica : {&a, &b}) {
    CHECK(OutcomeOf(*replica, "p2") == EditOutcome::kAccepted);
    CHECK(OutcomeOf(*replica, "other") == EditOutcome::kConflict);
    CHECK(replica->ledger.Latest(ListName::kPlans).version == 2);
    CHECK(replica->ledger.Latest(ListName::kPlans).author == "author-of-p2");
  }
  CHECK(a.ledger.Current()->plans_digest == b.ledger.Current()->plans_digest);
}

TEST_CASE("references between the lists are judged at the edit's place") {
  FakeStream stream;
  stream.Append(MakeEdit("early", ListName::kPlans, 0, kOnePlan));
  AppendBothLists(stream);
  stream.Append(
      MakeEdit("in-use", ListName::kAllowances, 1, R"({"allowances":[]})"));
  Replica replica(stream);
  replica.reader.Read();
  CHECK(OutcomeOf(replica, "early") == EditOutcome::kInvalid);
  CHECK(OutcomeOf(replica, "p1") == EditOutcome::kAccepted);
  CHECK(OutcomeOf(replica, "in-use") == EditOutcome::kInvalid);
}

TEST_CASE("a repeated entry has no effect and keeps its verdict") {
  FakeStream stream;
  AppendBothLists(stream);
  stream.Append(MakeEdit("p1", ListName::kPlans, 0, kOnePlan));
  // Rejected at first; the repeat would fit by its base version.
  stream.Append(MakeEdit("ahead", ListName::kPlans, 2, kNoPlan));
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kOnePlan));
  stream.Append(MakeEdit("ahead", ListName::kPlans, 2, kNoPlan));
  Replica replica(stream);
  replica.reader.Read();
  CHECK(OutcomeOf(replica, "p1") == EditOutcome::kAccepted);
  CHECK(OutcomeOf(replica, "ahead") == EditOutcome::kConflict);
  CHECK(replica.ledger.Latest(ListName::kPlans).version == 2);
}

TEST_CASE("a late refresh reverts nothing") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica replica(stream);
  replica.reader.Read();
  stream.now_ms += 1000;
  std::vector<RefreshEntry> late = replica.ledger.Refresh(stream.now_ms);
  REQUIRE(late.size() == 1);
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  stream.Append(late[0].kind, late[0].payload);
  replica.reader.Read();
  CHECK(replica.ledger.Latest(ListName::kPlans).version == 2);
  CHECK(replica.ledger.Current()->plans.empty());
}

TEST_CASE("a fresh VM rebuilds the lists after the edits expired") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica old(stream);
  old.reader.Read();
  stream.now_ms += 1000;
  old.reader.Refresh(stream.now_ms);
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  stream.TrimBefore(stream.now_ms);
  REQUIRE(stream.first == 2);
  Replica fresh(stream);
  fresh.reader.Read();
  old.reader.Read();
  CHECK(fresh.ledger.Complete());
  CHECK(OutcomeOf(fresh, "p2") == EditOutcome::kAccepted);
  CHECK(fresh.ledger.Current()->plans_version == 2);
  CHECK(fresh.ledger.Current()->allowances_digest ==
        old.ledger.Current()->allowances_digest);
}

TEST_CASE("a VM that missed records judges no edit before it can") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica old(stream);
  old.reader.Read();
  stream.now_ms += 1000;
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  old.reader.Read();
  stream.TrimBefore(stream.now_ms);
  Replica fresh(stream);
  fresh.reader.Read();
  CHECK(!fresh.ledger.Complete());
  CHECK(!fresh.ledger.Verdict("p2"));
  stream.now_ms += 1000;
  old.reader.Refresh(stream.now_ms);
  fresh.reader.Read();
  CHECK(fresh.ledger.Complete());
  CHECK(fresh.ledger.Current()->plans_version == 2);
}

TEST_CASE("edits held before a refresh are judged after it") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica old(stream);
  old.reader.Read();
  stream.now_ms += 1000;
  const std::vector<RefreshEntry> refresh = old.ledger.Refresh(stream.now_ms);
  // The refresh is appended after an edit that it does not cover.
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  stream.Append(refresh.at(0).kind, refresh.at(0).payload);
  stream.TrimBefore(stream.now_ms);
  Replica fresh(stream);
  fresh.reader.Read(1);
  CHECK(!fresh.ledger.Complete());
  fresh.reader.Read();
  CHECK(fresh.ledger.Complete());
  CHECK(OutcomeOf(fresh, "p2") == EditOutcome::kAccepted);
  CHECK(fresh.ledger.Current()->plans_version == 2);
}

TEST_CASE("a state from before the first record kept completes nothing") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica old(stream);
  old.reader.Read();
  stream.now_ms += 1000;
  const std::vector<RefreshEntry> stale = old.ledger.Refresh(stream.now_ms);
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  stream.now_ms += 1000;
  stream.Append(stale.at(0).kind, stale.at(0).payload);
  stream.TrimBefore(stream.now_ms);
  Replica fresh(stream);
  fresh.reader.Read();
  CHECK(!fresh.ledger.Complete());
  CHECK(fresh.ledger.Current()->plans_version == 1);
}

TEST_CASE("a saved state is loaded whole and only forwards") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica first(stream);
  first.reader.Read();
  const std::string early = first.ledger.SaveState();
  stream.Append(MakeEdit("p2", ListName::kPlans, 1, kNoPlan));
  first.reader.Read();
  const std::string late = first.ledger.SaveState();
  Replica second(stream);
  REQUIRE(base::Ok(second.ledger.LoadState(late)));
  CHECK(second.ledger.Current()->plans_version == 2);
  CHECK(second.ledger.Find(ListName::kPlans, 1));
  REQUIRE(base::Ok(second.ledger.LoadState(early)));
  CHECK(second.ledger.Current()->plans_version == 2);
  // Reading on from the start applies no entry twice.
  second.reader.Read();
  CHECK(second.ledger.Current()->plans_version == 2);
  CHECK(!base::Ok(second.ledger.LoadState("not a state")));
}

TEST_CASE("a corrupt refresh is not put in force") {
  FakeStream stream;
  AppendBothLists(stream);
  Replica old(stream);
  old.reader.Read();
  auto state = base::Value(wire::Decode<ListsState>(
      old.ledger.Refresh(stream.now_ms + 1).at(0).payload));
  state.plans.content = kNoPlan;
  stream.now_ms += 1000;
  stream.Append(wire::EntryKind::kListRefresh, wire::Encode(state));
  stream.TrimBefore(stream.now_ms);
  Replica fresh(stream);
  fresh.reader.Read();
  CHECK(!fresh.ledger.Complete());
  CHECK(fresh.ledger.Current()->plans_version == 0);
}

}  // namespace azurespur::control
