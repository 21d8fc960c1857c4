#include "control/task_request.h"

#include <doctest/doctest.h>

#include <string>

namespace azurespur::control {

namespace {

std::string ErrorOf(std::string_view body) {
  const auto parsed = ParseTaskRequest(body);
  return base::Ok(parsed) ? std::string() : base::GetError(parsed).message;
}

}  // namespace

TEST_CASE("a task request with a key gets its id from plan and key") {
  const auto parsed = ParseTaskRequest(
      R"({"key":"night-7","plan":"p","name":"n","cpu_millis":100,)"
      R"("non_idempotent":true,"payload":"run_ms=5"})");
  REQUIRE(base::Ok(parsed));
  const TaskSpec& spec = base::Value(parsed);
  CHECK(spec.id == "k.p.night-7");
  CHECK(spec.non_idempotent);
  CHECK(spec.kind == TaskKind::kBatch);
  CHECK(spec.members == 1);
}

TEST_CASE("errors of task requests name field and value") {
  CHECK(ErrorOf("[") == "the body is not a JSON object");
  CHECK(ErrorOf(R"({"plan":"p","cpu_millis":-1})") ==
        "field \"cpu_millis\": value -1 is not a whole number from 0 to "
        "1099511627776");
  CHECK(ErrorOf(R"({"plan":"p","cpu_millis":1,"kind":"herd"})") ==
        "field \"kind\": value \"herd\" is not batch, service or gang");
  CHECK(ErrorOf(R"({"plan":"p","cpu_millis":1,"members":2})") ==
        "field \"members\": value 2 needs kind \"gang\"");
  CHECK(ErrorOf(R"({"plan":"p","cpu_millis":1,"colour":1})") ==
        "field \"colour\": value 1 belongs to no known field");
  CHECK(ErrorOf(R"({"plan":"a b","cpu_millis":1})")
            .find("field \"plan\": value \"a b\"") == 0);
  CHECK(ErrorOf(R"({"cpu_millis":1})").find("field \"plan\"") == 0);
  CHECK(ErrorOf(R"({"plan":"p"})").find("field \"cpu_millis\"") == 0);
}

}  // namespace azurespur::control
