#include "wait_queue.h"

#include <doctest/doctest.h>

#include <map>

namespace azurespur::filters {

namespace {

using base::Millis;
using base::MonoTime;

WorkItem Item(uint64_t handle,
              const std::string& plan,
              Millis latest_start,
              int64_t weight = 1) {
  WorkItem item;
  item.handle = handle;
  item.plan = plan;
  item.weight = weight;
  item.latest_start = MonoTime(latest_start);
  return item;
}

}  // namespace

TEST_CASE("requests of a plan are served by latest start") {
  FairQueue queue;
  queue.Push(Item(1, "a", Millis(30)));
  queue.Push(Item(2, "a", Millis(10)));
  queue.Push(Item(3, "a", Millis(20)));
  CHECK(queue.Pop(1)->handle == 2);
  CHECK(queue.Pop(1)->handle == 3);
  CHECK(queue.Pop(1)->handle == 1);
  CHECK_FALSE(queue.Pop(1).has_value());
}

TEST_CASE("plans are served by weight and run time, not by queue length") {
  FairQueue queue;
  uint64_t handle = 0;
  for (int i = 0; i < 1000; ++i) {
    queue.Push(Item(++handle, "many", Millis(1)));
  }
  for (int i = 0; i < 500; ++i) {
    queue.Push(Item(++handle, "heavy", Millis(1000), 3));
    queue.Push(Item(++handle, "long", Millis(1000)));
  }
  std::map<std::string, int> popped;
  for (int i = 0; i < 650; ++i) {
    const double run_ms = queue.Peek()->plan == "long" ? 10 : 1;
    ++popped[queue.Pop(run_ms)->plan];
  }
  CHECK(popped["heavy"] > 2.5 * popped["many"]);
  CHECK(popped["many"] > 8 * popped["long"]);
  CHECK(popped["long"] > 1);
}

TEST_CASE("an idle plan earns no credit") {
  FairQueue queue;
  for (uint64_t i = 0; i < 200; ++i) {
    queue.Push(Item(i, "busy", Millis(1)));
  }
  for (int i = 0; i < 100; ++i) {
    queue.Pop(1);
  }
  for (uint64_t i = 0; i < 50; ++i) {
    queue.Push(Item(1000 + i, "late", Millis(1)));
  }
  int late = 0;
  for (int i = 0; i < 40; ++i) {
    late += queue.Pop(1)->plan == "late" ? 1 : 0;
  }
  CHECK(late >= 19);
  CHECK(late <= 21);
}

TEST_CASE("expired requests are removed from every plan") {
  WaitQueue queue;
  queue.Push(Item(1, "a", Millis(10)));
  queue.Push(Item(2, "a", Millis(30)));
  queue.Push(Item(3, "b", Millis(20)));
  CHECK(queue.RemoveExpired(MonoTime(Millis(20))).size() == 2);
  CHECK(queue.size() == 1);
  CHECK(queue.Class(control::RequestClass::kInteractive).Peek()->handle == 2);
}

}  // namespace azurespur::filters
