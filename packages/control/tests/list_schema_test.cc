#include "control/list_schema.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "control/list_diff.h"

namespace azurespur::control {

namespace {

ListsSnapshot GoldInUse() {
  ListsSnapshot lists;
  Allowance gold;
  gold.id = "gold";
  lists.allowances = {gold};
  lists.plans = {Plan{"p", "customer", "gold"}};
  return lists;
}

std::vector<std::string> Lines(const CheckedList& checked) {
  std::vector<std::string> lines;
  for (const ListError& error : checked.errors) {
    lines.push_back(error.path + ": " + error.text);
  }
  return lines;
}

}  // namespace

TEST_CASE("every error of a list is named by path and value") {
  const CheckedList checked = CheckList(ListName::kPlans, R"({"plans":[
      {"id":"a","customer":"c","allowance":"gold"},
      {"id":"a","customer":"c","allowance":"silver"},
      {"id":"b c","customer":7,"allowance":"gold","colour":1},
      {"allowance":"gold"},
      5],"extra":true})",
                                        GoldInUse());
  const std::vector<std::string> expected = {
      R"(/extra: field "extra" is unknown)",
      R"(/plans/1/id: "a" stands already at /plans/0)",
      R"(/plans/2/id: "b c" is no name of 1 to 64 letters, digits, ".", "_" or "-")",
      R"(/plans/2/customer: 7 is no text of 1 to 128 bytes)",
      R"(/plans/2/colour: field "colour" is unknown)",
      R"(/plans/3/id: field "id" is missing)",
      R"(/plans/3/customer: field "customer" is missing)",
      R"(/plans/4: is no object)",
      R"(/plans/1/allowance: "silver" names no allowance)",
  };
  CHECK(Lines(checked) == expected);
  CHECK(!checked.only_references);
  CHECK(checked.plans.empty());
}

TEST_CASE("ranges and types of allowances are checked") {
  const CheckedList checked =
      CheckList(ListName::kAllowances, R"({"allowances":[
      {"id":"gold","weight":0,"burst":1.5,"requests_per_s":-1,
       "deadline_ms":18446744073709551615,"urgent":"yes",
       "request_class":"fast","actions":1,"approved":["x","x","a b"]}]})",
                GoldInUse());
  const std::vector<std::string> expected = {
      R"(/allowances/0/request_class: "fast" is none of "preview", "interactive", "bulk")",
      R"(/allowances/0/requests_per_s: -1 is no number from 0.0 to 1000000.0)",
      R"(/allowances/0/burst: 1.5 is no integer from 0 to 1000000)",
      R"(/allowances/0/weight: 0 is no integer from 1 to 1000)",
      R"(/allowances/0/deadline_ms: 18446744073709551615 is no integer from 1 to 3600000)",
      R"(/allowances/0/urgent: "yes" is neither true nor false)",
      R"(/allowances/0/actions: 1 is none of "automatic", "approve")",
      R"(/allowances/0/approved/1: "x" stands twice)",
      R"(/allowances/0/approved/2: "a b" is no name of 1 to 64 letters, digits, ".", "_" or "-")",
  };
  CHECK(Lines(checked) == expected);
}

TEST_CASE("an allowance in use can't be removed") {
  const CheckedList checked =
      CheckList(ListName::kAllowances, R"({"allowances":[]})", GoldInUse());
  CHECK(Lines(checked) ==
        std::vector<std::string>{
            R"(/allowances: "gold" is missing; plan "p" uses it)"});
  CHECK(checked.only_references);
}

TEST_CASE("malformed documents are refused") {
  const ListsSnapshot lists;
  CHECK(Lines(CheckList(ListName::kPlans, R"({"plans":[)", lists)) ==
        std::vector<std::string>{": is no JSON: byte 11 is not expected"});
  CHECK(Lines(CheckList(ListName::kPlans, "[]", lists)) ==
        std::vector<std::string>{R"(: is no object with the field "plans")"});
  CHECK(
      Lines(CheckList(ListName::kPlans, R"({"plans":[],"plans":[]})", lists)) ==
      std::vector<std::string>{
          R"(: field "plans" stands twice in one object)"});
  CHECK(Lines(CheckList(ListName::kPlans, R"({"plans":{}})", lists)) ==
        std::vector<std::string>{"/plans: is no array"});
}

TEST_CASE("a list that does not fit into a record is refused") {
  std::string content = R"({"allowances":[)";
  for (int i = 0; i < 1000; ++i) {
    content += (i == 0 ? "" : ",") + std::string(R"({"id":"a)") +
               std::to_string(i) + "\"}";
  }
  content += "]}";
  const CheckedList checked =
      CheckList(ListName::kAllowances, content, ListsSnapshot{});
  REQUIRE(checked.errors.size() == 1);
  CHECK(checked.errors[0].path == "/allowances");
  CHECK(checked.errors[0].text.find("at most 120000") != std::string::npos);
}

TEST_CASE("the digest depends on meaning, not on spelling") {
  const ListsSnapshot lists;
  const CheckedList a = CheckList(
      ListName::kAllowances,
      R"({"allowances":[{"id":"b","weight":1},{"burst":0,"id":"a"}]})", lists);
  const CheckedList b =
      CheckList(ListName::kAllowances,
                R"({ "allowances": [ {"id":"a"}, {"id":"b"} ] })", lists);
  REQUIRE(a.errors.empty());
  CHECK(ListDigest(a.canonical) == ListDigest(b.canonical));
  CHECK(ListDigest(a.canonical).size() == 32);
  CHECK(a.allowances.front().id == "a");
}

TEST_CASE("a diff names rows and fields that changed") {
  const auto canonical = [](const char* content) {
    return CheckList(ListName::kAllowances, content, ListsSnapshot{}).canonical;
  };
  const std::vector<RowChange> diff = DiffLists(
      ListName::kAllowances,
      canonical(R"({"allowances":[{"id":"a"},{"id":"b"},{"id":"c"}]})"),
      canonical(
          R"({"allowances":[{"id":"a"},{"id":"b","weight":2},{"id":"d"}]})"));
  REQUIRE(diff.size() == 3);
  CHECK(diff[0].id == "b");
  REQUIRE(diff[0].fields.size() == 1);
  CHECK(diff[0].fields[0].field == "weight");
  CHECK(diff[0].fields[0].from == "1");
  CHECK(diff[0].fields[0].to == "2");
  CHECK(diff[1].kind == RowChangeKind::kRemoved);
  CHECK(diff[2].kind == RowChangeKind::kAdded);
}

}  // namespace azurespur::control
