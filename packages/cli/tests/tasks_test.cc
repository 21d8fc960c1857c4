#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "canned_server.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

http::HttpResponse RequestAnswer(int status,
                                 const std::string& fate,
                                 std::string body) {
  http::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  if (!fate.empty()) {
    response.headers.push_back({"Azurespur-Fate", fate});
  }
  return response;
}

}  // namespace

TEST_CASE("submit sends flags over the file's fields and a key") {
  CannedServer server;
  server.On("POST /v1/tasks", 202, R"({"id":"t1","fate":"accepted"})");
  const Ran ran =
      RunAgainst(server, {"submit", "--file", "-", "--cpu-millis", "500"},
                 R"({"plan":"gold","cpu_millis":100,"memory_mb":7})");
  CHECK(ran.code == 0);
  CHECK(ran.out.find("id       t1") != std::string::npos);
  const auto asked = server.Asked("POST /v1/tasks");
  REQUIRE(asked.size() == 1);
  const json body = json::parse(asked[0].body);
  CHECK(body["cpu_millis"] == 500);
  CHECK(body["memory_mb"] == 7);
  CHECK(body["key"].get<std::string>().starts_with("task-"));
  CHECK(!body.contains("urgent"));
}

TEST_CASE("submit --wait follows the task and reports progress") {
  CannedServer server;
  server.On("POST /v1/tasks", 202, R"({"id":"t1","fate":"accepted"})");
  server.On("GET /v1/tasks/t1", 200, R"({"id":"t1","fate":"accepted"})");
  server.On("GET /v1/tasks/t1", 200, R"({"id":"t1","fate":"running"})");
  server.On("GET /v1/tasks/t1", 200,
            R"({"id":"t1","fate":"failed","reason":"exit 1"})");
  const Ran ran = RunAgainst(server, {"submit", "--plan", "gold", "--wait"});
  CHECK(ran.code == 1);
  CHECK(ran.err == "task t1: accepted\ntask t1: running\ntask t1: failed\n");
  CHECK(ran.out.find("exit 1") != std::string::npos);
}

TEST_CASE("refused and unknown submissions have their own exit codes") {
  CannedServer server;
  server.On("POST /v1/tasks", 400,
            R"({"error":"field \"members\": value 0 is too low"})");
  Ran ran = RunAgainst(server, {"submit", "--plan", "gold"});
  CHECK(ran.code == 2);
  CHECK(ran.err.find("field \"members\": value 0") != std::string::npos);
  CannedServer slow;
  slow.On("POST /v1/tasks", 504, R"({"error":"not seen in time"})");
  CHECK(RunAgainst(slow, {"submit", "--plan", "gold"}).code == 4);
  CHECK(RunAgainst(slow, {"submit"}).code == 2);
  CHECK(RunAgainst(slow, {"submit", "--file", "/nonexistent"}).code == 2);
}

// Guards against a task that the caller takes for refused, and that runs: the
// first server took it and didn't answer, the second one refused the repeat.
TEST_CASE("a refusal after a try without an answer leaves the fate unknown") {
  for (int status : {429, 503, 409, 404, 500}) {
    CAPTURE(status);
    CannedServer silent;
    silent.Hold("POST /v1/tasks");
    CannedServer second;
    second.On("POST /v1/tasks", status, R"({"error":"no","fate":"not-run"})");
    const Ran ran =
        RunCommand({"--server", silent.address(), "--server", second.address(),
                    "--timeout-ms", "300", "submit", "--plan", "gold"});
    CHECK(second.Asked("POST /v1/tasks").size() == 1);
    CHECK(ran.code == 4);
    CHECK(ran.err.find("submit again with this key") != std::string::npos);
  }
}

// The same key is the same task, so an acceptance holds for both tries.
TEST_CASE("an acceptance after a try without an answer is an acceptance") {
  CannedServer silent;
  silent.Hold("POST /v1/tasks");
  CannedServer second;
  second.On("POST /v1/tasks", 202, R"({"id":"t1","fate":"accepted"})");
  CHECK(RunCommand({"--server", silent.address(), "--server", second.address(),
                    "--timeout-ms", "300", "submit", "--plan", "gold"})
            .code == 0);
}

// Guards against a task that the caller takes for refused, and that runs: what
// stands between answered after the server took it.
TEST_CASE("a submission has an unknown fate after a status without promise") {
  for (int status : {200, 404, 408, 500, 502}) {
    CAPTURE(status);
    CannedServer server;
    server.On("POST /v1/tasks", status, "{}");
    CHECK(RunAgainst(server, {"submit", "--plan", "gold"}).code == 4);
  }
}

TEST_CASE("fate gives the true fate and never a guess") {
  CannedServer server;
  server.On("GET /v1/tasks/a%2Fb", 200, R"({"id":"a/b","fate":"running"})");
  server.On("GET /v1/tasks/done", 200, R"({"fate":"finished"})");
  server.On("GET /v1/tasks/maybe", 200, R"({"fate":"may-have-run"})");
  server.On("GET /v1/tasks/lost", 404, R"({"fate":"unknown"})");
  CHECK(RunAgainst(server, {"fate", "a/b"}).code == 0);
  CHECK(RunAgainst(server, {"fate", "done"}).code == 0);
  CHECK(RunAgainst(server, {"fate", "maybe"}).code == 4);
  const Ran lost = RunAgainst(server, {"fate", "lost"});
  CHECK(lost.code == 4);
  CHECK(lost.err.find("task \"lost\" is not known") != std::string::npos);
}

TEST_CASE("cancel sends all ids in one call") {
  CannedServer server;
  server.On("POST /v1/tasks/cancel", 202, R"({"cancel":"recorded"})");
  CHECK(RunAgainst(server, {"cancel", "a", "b", "c"}).code == 0);
  const auto asked = server.Asked("POST /v1/tasks/cancel");
  REQUIRE(asked.size() == 1);
  CHECK(json::parse(asked[0].body)["ids"].size() == 3);
}

TEST_CASE("request reports the fate that the server names") {
  CannedServer server;
  server.On("POST /v1/requests", RequestAnswer(200, "ran", "whole"));
  server.On("POST /v1/requests", RequestAnswer(429, "not-run", "{}"));
  server.On("POST /v1/requests", RequestAnswer(504, "may-have-run", "{}"));
  server.On("POST /v1/requests", RequestAnswer(500, "", "{}"));
  const std::vector<std::string> command = {
      "request",          "--plan",        "gold", "--key",  "k",
      "--non-idempotent", "--deadline-ms", "500",  "--data", "{}"};
  Ran ran = RunAgainst(server, command);
  CHECK(ran.code == 0);
  CHECK(ran.out == "whole\n");
  CHECK(ran.err == "fate ran, status 200\n");
  CHECK(RunAgainst(server, command).code == 1);
  CHECK(RunAgainst(server, command).code == 4);
  CHECK(RunAgainst(server, command).code == 4);
  const auto asked = server.Asked("POST /v1/requests");
  CHECK(http::FindField(asked[0].headers, "Azurespur-Non-Idempotent") == "1");
  CHECK(http::FindField(asked[0].headers, "Azurespur-Deadline-Ms") == "500");
  CHECK(RunAgainst(server, {"request", "--plan", "gold", "--non-idempotent"})
            .code == 2);
}

TEST_CASE("a refusal that may have run is not sent to another server") {
  CannedServer first;
  first.On("POST /v1/requests", RequestAnswer(503, "may-have-run", "{}"));
  CannedServer second;
  second.On("POST /v1/requests", RequestAnswer(200, "ran", "{}"));
  const Ran ran = RunCommand({"--server", first.address(), "--server",
                              second.address(), "request", "--plan", "gold",
                              "--key", "k", "--non-idempotent"});
  CHECK(ran.code == 4);
  CHECK(second.Asked("POST /v1/requests").empty());
}

}  // namespace azurespur::cli
