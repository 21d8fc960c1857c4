#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

#include "history/history_reader.h"
#include "history/rules.h"

namespace azurespur::history {

namespace {

// One run of each kind of work, as a faultless system writes it down.
const std::string kGood =
    R"({"time_ms":1,"worker":"w1","event":"capacity","cpu_millis":100,"memory_mb":100,"accelerators":1}
{"time_ms":1,"worker":"w2","event":"capacity","cpu_millis":100,"memory_mb":100,"accelerators":1}
{"time_ms":2,"event":"task-answer","task":"a","accepted":true,"non_idempotent":true}
{"time_ms":3,"worker":"w1","event":"start","task":"m!marker","cpu_millis":0,"memory_mb":0}
{"time_ms":4,"worker":"w1","event":"start","task":"a~1~0","cpu_millis":60,"memory_mb":10,"accelerators":1}
{"time_ms":5,"worker":"w1","event":"release","task":"a~1~0"}
{"time_ms":20,"worker":"w1","event":"end","reason":"finished","task":"a~1~0"}
{"time_ms":30,"event":"task-fate","task":"a","fate":"finished"}
{"time_ms":31,"event":"task-answer","task":"r","accepted":false,"fate":"not-run"}
{"time_ms":32,"event":"list","vm":"e1","list":"plans","version":1,"digest":"d1"}
{"time_ms":33,"event":"list","vm":"e1","list":"plans","version":2,"digest":"d2"}
{"time_ms":34,"event":"list","vm":"e2","list":"plans","version":2,"digest":"d2"}
{"time_ms":40,"executor":"x1","event":"receive","request":"q1#1","key":"q1"}
{"time_ms":41,"executor":"x1","event":"begin","request":"q1#1","key":"q1"}
{"time_ms":45,"executor":"x1","event":"end","request":"q1#1","key":"q1"}
{"time_ms":46,"event":"request-answer","sending":"q1#1","key":"q1","fate":"ran","non_idempotent":true,"sent":"{\"key\":\"q1\"}","answer":"{\"request_id\":\"1\",\"echo\":{\"key\":\"q1\"}}"}
{"time_ms":47,"event":"request-answer","sending":"q2#1","key":"q2","fate":"not-run","sent":"{\"key\":\"q2\"}","answer":""}
{"time_ms":50,"event":"leaving","vm":"x1"}
)";

std::vector<Violation> Check(const std::string& journal) {
  std::istringstream in(journal);
  History history;
  const auto read = ReadJournal("test", in, history);
  REQUIRE(base::Ok(read));
  SortByTime(history);
  return CheckAll(history, {});
}

// The rules that the good history breaks once `lines` are added.
std::vector<std::string> Broken(const std::string& lines) {
  std::vector<std::string> rules;
  for (const Violation& violation : Check(kGood + lines)) {
    rules.push_back(violation.rule);
  }
  return rules;
}

using Rules = std::vector<std::string>;

}  // namespace

TEST_CASE("a good history is accepted") {
  CHECK(Check(kGood).empty());
}

TEST_CASE("a task that works on two workers at once is rejected") {
  CHECK(Broken(R"({"time_ms":2,"event":"task-answer","task":"b","accepted":true}
{"time_ms":60,"worker":"w1","event":"release","task":"b~1~0"}
{"time_ms":65,"worker":"w2","event":"release","task":"b~2~0"}
{"time_ms":70,"worker":"w1","event":"end","reason":"lapsed","task":"b~1~0"}
{"time_ms":80,"worker":"w2","event":"end","reason":"finished","task":"b~2~0"}
{"time_ms":90,"event":"task-fate","task":"b","fate":"finished"}
)") == Rules{"one-run"});
}

TEST_CASE("runs that follow each other, and members of a gang, are accepted") {
  CHECK(Broken(R"({"time_ms":2,"event":"task-answer","task":"b","accepted":true}
{"time_ms":60,"worker":"w1","event":"release","task":"b~1~0"}
{"time_ms":65,"worker":"w2","event":"release","task":"b~1~1"}
{"time_ms":70,"worker":"w1","event":"end","reason":"lapsed","task":"b~1~0"}
{"time_ms":70,"worker":"w2","event":"release","task":"b~2~0"}
{"time_ms":80,"worker":"w2","event":"end","reason":"finished","task":"b~2~0"}
{"time_ms":90,"event":"task-fate","task":"b","fate":"finished"}
)")
            .empty());
}

TEST_CASE("a second run of a non-idempotent task is rejected") {
  CHECK(Broken(R"({"time_ms":60,"worker":"w2","event":"release","task":"a~2~0"}
{"time_ms":70,"worker":"w2","event":"end","reason":"finished","task":"a~2~0"}
)") == Rules{"at-most-once"});
}

TEST_CASE("a second run of the same id after a restart is rejected") {
  CHECK(Broken(R"({"time_ms":60,"worker":"w1","event":"restart"}
{"time_ms":61,"worker":"w1","event":"release","task":"a~1~0"}
{"time_ms":70,"worker":"w1","event":"end","reason":"finished","task":"a~1~0"}
)") == Rules{"at-most-once"});
}

TEST_CASE("a second run of a non-idempotent request is rejected") {
  CHECK(Broken(R"({"time_ms":48,"executor":"x2","event":"begin","key":"q1"}
)") == Rules{"at-most-once"});
}

TEST_CASE("each size beyond a worker's capacity is rejected") {
  for (const char* size :
       {R"("cpu_millis":101)", R"("memory_mb":101)", R"("accelerators":2)"}) {
    CHECK(Broken(
              R"({"time_ms":60,"worker":"w2","event":"start","task":"b~1~0",)" +
              std::string(size) + "}\n") == Rules{"capacity"});
  }
}

TEST_CASE("capacity is free again once a task ended, and not before") {
  const std::string second =
      R"("worker":"w1","event":"start","task":"b~1~0","cpu_millis":60}
)";
  CHECK(Broken(R"({"time_ms":20,)" + second).empty());
  CHECK(Broken(R"({"time_ms":19,)" + second) == Rules{"capacity"});
}

TEST_CASE("a request beyond the slots is rejected") {
  CHECK(Broken(R"({"time_ms":42,"executor":"x1","event":"excess","key":"q3"}
)") == Rules{"slots"});
}

TEST_CASE("an answer of another request, or a cut one, is rejected") {
  for (const char* answer :
       {R"({\"request_id\":\"1\",\"echo\":{\"key\":\"q1\"}})",
        R"({\"request_id\":\"1\",\"echo\":{\"ke)"}) {
    CHECK(
        Broken(
            R"({"time_ms":60,"event":"request-answer","key":"q4","fate":"ran","sent":"{\"key\":\"q4\"}","answer":")" +
            std::string(answer) + "\"}\n") == Rules{"own-answer"});
  }
}

TEST_CASE("a request that began after all is not \"not run\"") {
  CHECK(Broken(R"({"time_ms":60,"executor":"x2","event":"begin","key":"q2"}
)") == Rules{"not-run"});
}

TEST_CASE("a sending that began after all is not \"not run\"") {
  const std::string repeats =
      R"({"time_ms":60,"event":"request-answer","sending":"q2#2","key":"q2","fate":"may-have-run","sent":"{}"}
)";
  CHECK(
      Broken(
          repeats +
          R"({"time_ms":60,"executor":"x2","event":"begin","request":"q2#2","key":"q2"}
)")
          .empty());
  CHECK(
      Broken(
          repeats +
          R"({"time_ms":60,"executor":"x2","event":"begin","request":"q2#1","key":"q2"}
)") == Rules{"not-run"});
}

TEST_CASE("a task that began after all is not \"not run\"") {
  CHECK(Broken(R"({"time_ms":60,"worker":"w2","event":"release","task":"r~1~0"}
)") == Rules{"not-run"});
}

TEST_CASE("a list version that goes back is rejected") {
  CHECK(
      Broken(
          R"({"time_ms":60,"event":"list","vm":"e2","list":"plans","version":1,"digest":"d1"}
)") == Rules{"lists-forward"});
}

TEST_CASE("a list version with two digests is rejected") {
  CHECK(
      Broken(
          R"({"time_ms":60,"event":"list","vm":"e3","list":"plans","version":2,"digest":"other"}
)") == Rules{"lists-forward"});
}

TEST_CASE("an accepted task without an end is rejected") {
  const std::string accepted =
      R"({"time_ms":2,"event":"task-answer","task":"b","accepted":true}
)";
  CHECK(Broken(accepted) == Rules{"accepted-ends"});
  CHECK(Broken(accepted +
               R"({"time_ms":60,"event":"task-fate","task":"b","fate":"running"}
)") == Rules{"accepted-ends"});
}

TEST_CASE("a task that no worker finished is not \"finished\"") {
  CHECK(Broken(R"({"time_ms":2,"event":"task-answer","task":"b","accepted":true}
{"time_ms":60,"event":"task-fate","task":"b","fate":"finished"}
)") == Rules{"accepted-ends"});
}

TEST_CASE("new work on a leaving VM after the limit is rejected") {
  CHECK(Broken(R"({"time_ms":2050,"executor":"x1","event":"receive","key":"q5"}
)")
            .empty());
  CHECK(Broken(R"({"time_ms":2051,"executor":"x1","event":"receive","key":"q5"}
)") == Rules{"leaving"});
  CHECK(Broken(R"({"time_ms":70,"event":"leaving","vm":"w2"}
{"time_ms":2071,"worker":"w2","event":"start","task":"b~1~0"}
)") == Rules{"leaving"});
}

TEST_CASE("a malformed line is named") {
  std::istringstream in("{\"time_ms\":1,\"event\":\"list\"}\nnonsense\n");
  History history;
  const auto read = ReadJournal("file", in, history);
  REQUIRE(!base::Ok(read));
  CHECK(base::GetError(read).message.find("file:2") != std::string::npos);
}

}  // namespace azurespur::history
