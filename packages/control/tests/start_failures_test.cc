#include "start_failures.h"

#include <doctest/doctest.h>

namespace azurespur::control {

namespace {

constexpr base::MonoTime At(int64_t ms) {
  return base::MonoTime{base::Millis{ms}};
}

}  // namespace

TEST_CASE("a failed task avoids the workers that failed it") {
  StartFailures failures;
  failures.Record("t", "w1", At(0));
  failures.Record("t", "w2", At(0));
  failures.Record("t", "w1", At(0));
  CHECK(failures.WorkersThatFailed("t") ==
        std::vector<std::string>{"w2", "w1"});
  CHECK(failures.WorkersThatFailed("other").empty());
  for (int i = 0; i < 20; ++i) {
    failures.Record("t", "x" + std::to_string(i), At(0));
  }
  CHECK(failures.WorkersThatFailed("t").size() == StartFailures::kMostWorkers);
  failures.Forget("t");
  CHECK(failures.WorkersThatFailed("t").empty());
}

TEST_CASE("the first retry is at once, later ones wait twice as long each") {
  StartFailures failures;
  failures.Record("t", "w1", At(0));
  CHECK(!failures.MustWait("t", At(0)));
  CHECK(failures.TakeDue(At(0)) == std::vector<std::string>{"t"});
  CHECK(failures.TakeDue(At(0)).empty());
  failures.Record("t", "w2", At(0));
  CHECK(failures.MustWait("t", At(199)));
  CHECK(!failures.MustWait("t", At(200)));
  failures.Record("t", "w3", At(1000));
  CHECK(failures.MustWait("t", At(1399)));
  CHECK(failures.TakeDue(At(1399)).empty());
  CHECK(failures.TakeDue(At(1400)) == std::vector<std::string>{"t"});
  for (int i = 0; i < 40; ++i) {
    failures.Record("t", "w4", At(2000));
  }
  CHECK(failures.MustWait("t", At(31999)));
  CHECK(!failures.MustWait("t", At(32000)));
}

}  // namespace azurespur::control
