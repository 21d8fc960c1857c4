#include "control/list_service.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>

#include "control/list_ledger.h"
#include "control/proposal_board.h"
#include "list_fakes.h"

namespace azurespur::control {

namespace {

constexpr const char* kOneAllowance = R"({"allowances":[{"id":"gold"}]})";
constexpr const char* kHeavyAllowance =
    R"({"allowances":[{"id":"gold","weight":7}]})";
constexpr const char* kOnePlan =
    R"({"plans":[{"id":"p","customer":"c","allowance":"gold"}]})";

// One entry VM as far as the lists go.
struct Vm {
  explicit Vm(FakeStream& stream, std::string writer = "vm")
      : channel(stream, ledger),
        service({std::move(writer)}, channel, ledger, clock) {}

  PublishResult Publish(ListName list,
                        uint64_t base_version,
                        std::string author,
                        std::string content,
                        std::string edit_id = "") {
    std::optional<PublishResult> result;
    service.Publish({list, base_version, std::move(author), std::move(content),
                     std::move(edit_id)},
                    [&](PublishResult value) { result = std::move(value); });
    REQUIRE(result);
    return *result;
  }

  FakeClock clock;
  ListLedger ledger{clock};
  FakeChannel channel;
  ListService service;
};

}  // namespace

TEST_CASE("a published list is in force and shown") {
  FakeStream stream;
  Vm vm(stream);
  const PublishResult result =
      vm.Publish(ListName::kAllowances, 0, "ana", kOneAllowance);
  REQUIRE(std::holds_alternative<PublishAccepted>(result));
  CHECK(std::get<PublishAccepted>(result).version == 1);
  const auto shown = vm.service.Show(ListName::kAllowances, 0);
  REQUIRE(base::Ok(shown));
  CHECK(base::Value(shown).author == "ana");
  CHECK(!base::Ok(vm.service.Show(ListName::kAllowances, 9)));
}

TEST_CASE("the slower of two editors hears who was first and what changed") {
  FakeStream stream;
  Vm vm(stream, "a");
  Vm other(stream, "b");
  vm.Publish(ListName::kAllowances, 0, "ana", kOneAllowance);
  other.channel.reader().Read();
  // Both pass the first check; the log decides.
  vm.channel.before_append = [&] {
    other.Publish(ListName::kAllowances, 1, "bo", kHeavyAllowance);
  };
  const PublishResult result =
      vm.Publish(ListName::kAllowances, 1, "ana", kOneAllowance);
  REQUIRE(std::holds_alternative<PublishConflict>(result));
  const auto& conflict = std::get<PublishConflict>(result);
  CHECK(conflict.current.version == 2);
  CHECK(conflict.current.author == "bo");
  REQUIRE(conflict.diff_known);
  REQUIRE(conflict.diff.size() == 1);
  CHECK(conflict.diff[0].fields.at(0).to == "7");
}

TEST_CASE("an old base is refused without a record") {
  FakeStream stream;
  Vm vm(stream);
  vm.Publish(ListName::kAllowances, 0, "ana", kOneAllowance);
  const size_t records = stream.entries.size();
  CHECK(std::holds_alternative<PublishConflict>(
      vm.Publish(ListName::kAllowances, 0, "bo", kHeavyAllowance)));
  CHECK(stream.entries.size() == records);
}

TEST_CASE("a lost answer is unknown and the edit's id settles it") {
  FakeStream stream;
  Vm vm(stream, "a");
  vm.channel.mode = FakeChannel::Mode::kLosesAnswer;
  const PublishResult result =
      vm.Publish(ListName::kAllowances, 0, "ana", kOneAllowance, "mine");
  REQUIRE(std::holds_alternative<PublishUnknown>(result));
  CHECK(std::get<PublishUnknown>(result).edit_id == "mine");
  // The same edit through another VM has no second effect.
  Vm other(stream, "b");
  const PublishResult repeat =
      other.Publish(ListName::kAllowances, 0, "ana", kOneAllowance, "mine");
  REQUIRE(std::holds_alternative<PublishAccepted>(repeat));
  CHECK(std::get<PublishAccepted>(repeat).version == 1);
  CHECK(other.ledger.Latest(ListName::kAllowances).version == 1);
}

TEST_CASE("while the log is away an edit is refused and has no effect") {
  FakeStream stream;
  Vm vm(stream);
  for (const auto mode : {FakeChannel::Mode::kAway, FakeChannel::Mode::kFull}) {
    vm.channel.mode = mode;
    CHECK(std::holds_alternative<PublishRefused>(
        vm.Publish(ListName::kAllowances, 0, "ana", kOneAllowance)));
  }
  CHECK(stream.entries.empty());
}

TEST_CASE("an edit whose reference only this VM lacks is left to the log") {
  FakeStream stream;
  Vm vm(stream, "a");
  Vm lagging(stream, "b");
  vm.Publish(ListName::kAllowances, 0, "ana", kOneAllowance);
  CHECK(std::holds_alternative<PublishAccepted>(
      lagging.Publish(ListName::kPlans, 0, "bo", kOnePlan)));
}

TEST_CASE("invalid content is refused with its errors") {
  FakeStream stream;
  Vm vm(stream);
  const PublishResult local =
      vm.Publish(ListName::kPlans, 0, "ana", R"({"plans":[{}]})");
  REQUIRE(std::holds_alternative<PublishInvalid>(local));
  CHECK(std::get<PublishInvalid>(local).errors.size() == 3);
  const PublishResult at_log = vm.Publish(ListName::kPlans, 0, "ana", kOnePlan);
  REQUIRE(std::holds_alternative<PublishInvalid>(at_log));
  CHECK(std::get<PublishInvalid>(at_log).errors.at(0).path ==
        "/plans/0/allowance");
  CHECK(std::holds_alternative<PublishInvalid>(
      vm.Publish(ListName::kAllowances, 0, "", kOneAllowance)));
}

TEST_CASE("a proposal is shown until it expires and approved by an edit") {
  FakeStream stream;
  Vm vm(stream, "a");
  Vm other(stream, "b");
  ProposalBoard board(vm.channel, vm.ledger, vm.clock);
  ProposalBoard other_board(other.channel, other.ledger, other.clock);
  Proposal proposal;
  proposal.id = "evict-t1";
  proposal.action = "evict";
  proposal.ttl_ms = 5000;
  CHECK(board.Propose(proposal));
  CHECK(board.Propose(proposal));
  CHECK(stream.entries.size() == 1);
  other.channel.reader().Read();
  REQUIRE(other_board.Pending().size() == 1);
  CHECK(other_board.Pending()[0].proposed_ms == stream.now_ms);
  CHECK(!other_board.IsApproved("evict-t1"));
  other.Publish(ListName::kAllowances, 0, "ana",
                R"({"allowances":[{"id":"gold","approved":["evict-t1"]}]})");
  vm.channel.reader().Read();
  CHECK(board.IsApproved("evict-t1"));
  stream.now_ms += 5000;
  other.Publish(ListName::kAllowances, 1, "ana", kOneAllowance);
  CHECK(other_board.Pending().empty());
}

TEST_CASE("a pending proposal outlives its record") {
  FakeStream stream;
  Vm vm(stream, "a");
  ProposalBoard board(vm.channel, vm.ledger, vm.clock);
  Proposal proposal;
  proposal.id = "evict-t1";
  proposal.ttl_ms = 60000;
  board.Propose(proposal);
  stream.now_ms += 1000;
  vm.channel.reader().Refresh(stream.now_ms);
  stream.TrimBefore(stream.now_ms);
  Vm fresh(stream, "b");
  fresh.channel.reader().Read();
  REQUIRE(fresh.ledger.Proposals().size() == 1);
  CHECK(fresh.ledger.Proposals()[0].proposed_ms == stream.now_ms - 1000);
}

}  // namespace azurespur::control
