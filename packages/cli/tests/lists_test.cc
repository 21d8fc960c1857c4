#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "canned_server.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr const char* kPlans = "POST /v1/lists/plans";
constexpr const char* kConflict =
    R"({"outcome":"conflict","current":{"version":4,"author":"bo",
        "wall_ms":1764842400000},"diff":[{"id":"p","change":"changed",
        "fields":[{"field":"allowance","from":"gold","to":"silver"}]}]})";

std::vector<std::string> PublishCommand() {
  return {"lists", "publish", "plans", "-", "--base", "3", "--author", "ana"};
}

}  // namespace

TEST_CASE("publish sends base, author and the file as it is") {
  CannedServer server;
  server.On(kPlans, 200, R"({"outcome":"accepted","version":4})");
  const Ran ran = RunAgainst(server, PublishCommand(), R"({"plans":[]})");
  CHECK(ran.code == 0);
  CHECK(ran.out == "list plans version 4 accepted\n");
  const json body = json::parse(server.Asked(kPlans).at(0).body);
  CHECK(body["base_version"] == 3);
  CHECK(body["author"] == "ana");
  CHECK(body["content"] == R"({"plans":[]})");
  CHECK(!body["edit_id"].get<std::string>().empty());
}

TEST_CASE("publish takes the base from a shown list and demands one else") {
  CannedServer server;
  server.On(kPlans, 200, R"({"outcome":"accepted","version":10})");
  const std::vector<std::string> command = {"lists", "publish",  "plans",
                                            "-",     "--author", "ana"};
  CHECK(RunAgainst(server, command, R"({"version":9,"content":{"plans":[]}})")
            .code == 0);
  CHECK(json::parse(server.Asked(kPlans).at(0).body)["base_version"] == 9);
  const Ran ran = RunAgainst(server, command, R"({"plans":[]})");
  CHECK(ran.code == 2);
  CHECK(ran.err.find("flag --base is missing") != std::string::npos);
}

TEST_CASE("a conflict says who was first and what changed") {
  CannedServer server;
  server.On(kPlans, 409, kConflict);
  const Ran ran = RunAgainst(server, PublishCommand(), "{}");
  CHECK(ran.code == 5);
  CHECK(ran.err.find("version 4 by bo at 2025-12-04 10:00:00Z was first") !=
        std::string::npos);
  CHECK(ran.err.find("  allowance: \"gold\" -> \"silver\"") !=
        std::string::npos);
}

TEST_CASE("invalid and refused edits say why") {
  CannedServer server;
  server.On(kPlans, 422,
            R"({"outcome":"invalid","errors":[{"path":"/plans/3/allowance",
                "error":"\"gold\" names no allowance"}]})");
  Ran ran = RunAgainst(server, PublishCommand(), "{}");
  CHECK(ran.code == 2);
  CHECK(ran.err ==
        "azurespur: /plans/3/allowance: \"gold\" names no allowance\n");
  CannedServer away;
  away.On(kPlans, 503, R"({"outcome":"refused","reason":"log is away"})");
  ran = RunAgainst(away, PublishCommand(), "{}");
  CHECK(ran.code == 1);
  CHECK(ran.err.find("log is away") != std::string::npos);
}

TEST_CASE("an unknown edit is looked up by its id") {
  CannedServer server;
  server.On(kPlans, 504, R"({"outcome":"unknown","edit_id":"x"})");
  const Ran lost =
      RunCommand({"--server", server.address(), "--timeout-ms", "100", "lists",
                  "publish", "plans", "-", "--base", "3", "--author", "ana"},
                 "{}");
  CHECK(lost.code == 4);
  CHECK(lost.err.find("may still be accepted") != std::string::npos);
}

TEST_CASE("check and diff show what a file would change") {
  CannedServer server;
  server.On("POST /v1/lists/plans/check", 200,
            R"({"valid":true,"version":3,"errors":[],"diff":[{"id":"p",
                "change":"added","fields":[{"field":"id","from":null,
                "to":"p"}]}]})");
  server.On("GET /v1/lists/plans", 200, R"({"version":3})");
  server.On("GET /v1/lists/plans/diff", 200, R"({"diff":[]})");
  CHECK(RunAgainst(server, {"lists", "check", "plans", "-"}, "{}").out ==
        "valid beside version 3 of list plans\n");
  CHECK(RunAgainst(server, {"lists", "diff", "plans", "-"}, "{}").out ==
        "added p\n  id: \"p\"\n");
  CHECK(RunAgainst(server, {"lists", "diff", "plans"}).out ==
        "no difference\n");
  const auto asked = server.Asked("GET /v1/lists/plans/diff");
  CHECK(http::FindField(asked.at(0).query, "from") == "2");
  CHECK(http::FindField(asked.at(0).query, "to") == "3");
}

TEST_CASE("show prints a table or what publish takes") {
  CannedServer server;
  server.On("GET /v1/lists/plans", 200,
            R"({"list":"plans","version":2,"author":"ana","wall_ms":0,
                "digest":"d","complete":true,"content":{"plans":[
                {"id":"p","customer":"c","allowance":"gold"}]}})");
  const Ran ran = RunAgainst(server, {"lists", "show", "plans"});
  CHECK(ran.code == 0);
  CHECK(ran.out ==
        "list plans version 2 by ana at - digest d\n"
        "id  allowance  customer\n"
        "p   gold       c\n");
  const Ran shown =
      RunAgainst(server, {"--output", "json", "lists", "show", "plans"});
  CHECK(json::parse(shown.out)["version"] == 2);
}

TEST_CASE("confirm names VMs that are not reached and fails") {
  CannedServer server;
  server.On("GET /v1/lists/confirm", 200,
            R"({"seen_from":"a","all_agree":false,"vms":[
                {"vm":"a","domain":"x","reached":true,"complete":true,
                 "silent_ms":0,"plans":{"version":2,"digest":"0123456789abcdef",
                 "since_ms":1764842400000},
                 "allowances":{"version":1,"digest":"ff","since_ms":0}},
                {"vm":"b","domain":"y","reached":false,"silent_ms":-1}]})");
  Ran ran = RunAgainst(server, {"lists", "confirm"});
  CHECK(ran.code == 1);
  CHECK(ran.out.find("a   x       ok           2      0123456789ab  "
                     "2025-12-04 10:00:00Z") != std::string::npos);
  CHECK(ran.out.find("b   y       not reached") != std::string::npos);
  CHECK(ran.out.find("NOT all VMs run the same lists, seen from a") !=
        std::string::npos);
  CannedServer agreeing;
  agreeing.On("GET /v1/lists/confirm", 200, R"({"all_agree":false,"vms":[]})");
  agreeing.On("GET /v1/lists/confirm", 200, R"({"all_agree":true,"vms":[]})");
  ran = RunAgainst(agreeing, {"lists", "confirm", "--wait-ms", "20000"});
  CHECK(ran.code == 0);
}

TEST_CASE("approve adds the id to the plan's allowance, again on conflict") {
  CannedServer server;
  server.On("GET /v1/proposals", 200,
            R"({"proposals":[{"id":"evict-1","plan":"p","action":"evict"}]})");
  server.On("GET /v1/lists/plans", 200,
            R"({"version":1,"content":{"plans":[
                {"id":"p","allowance":"gold"}]}})");
  for (const char* version : {"4", "5"}) {
    server.On("GET /v1/lists/allowances", 200,
              std::string(R"({"version":)") + version +
                  R"(,"content":{"allowances":[
                     {"id":"gold","approved":["old"]},
                     {"id":"silver","approved":[]}]}})");
  }
  server.On("POST /v1/lists/allowances", 409, kConflict);
  server.On("POST /v1/lists/allowances", 200,
            R"({"outcome":"accepted","version":6})");
  const Ran ran = RunAgainst(server, {"approve", "evict-1", "--author", "ana"});
  CHECK(ran.code == 0);
  const auto asked = server.Asked("POST /v1/lists/allowances");
  REQUIRE(asked.size() == 2);
  const json body = json::parse(asked[1].body);
  CHECK(body["base_version"] == 5);
  const json content = json::parse(body["content"].get<std::string>());
  CHECK(content["allowances"][0]["approved"] ==
        json::array({"old", "evict-1"}));
  CHECK(content["allowances"][1]["approved"].empty());
  CHECK(RunAgainst(server, {"approve", "none", "--author", "ana"}).code == 1);
}

}  // namespace azurespur::cli
