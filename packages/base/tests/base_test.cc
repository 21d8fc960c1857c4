#include <doctest/doctest.h>

#include <string>

#include "base/metrics.h"
#include "base/outcome.h"
#include "base/ring.h"

namespace azurespur::base {

TEST_CASE("a full ring refuses and keeps the item with the caller") {
  Ring<std::string> ring(1);
  std::string first = "first";
  REQUIRE(ring.Push(std::move(first)));
  std::string item = "kept";
  int pushed = 0;
  while (ring.Push(std::move(item)) && pushed < 100) {
    item = "kept";
    ++pushed;
  }
  CHECK(pushed < 100);
  CHECK(item == "kept");
  CHECK(ring.Pop() == "first");
}

TEST_CASE("a full ring takes an item that must not be refused, in order") {
  Ring<int> ring(1);
  int pushed = 0;
  while (ring.Push(int{pushed})) {
    ++pushed;
  }
  ring.PushUnbounded(int{pushed});
  for (int i = 0; i <= pushed; ++i) {
    CHECK(ring.Pop() == i);
  }
  CHECK_FALSE(ring.Pop());
}

TEST_CASE("metrics render labels, quantiles and counts") {
  Metrics metrics;
  metrics.GetCounter("a_total{x=\"1\"}").Add(3);
  metrics.GetDistribution("wait_ms").Observe(5);
  const std::string text = metrics.RenderText();
  CHECK(text.find("a_total{x=\"1\"} 3\n") != std::string::npos);
  CHECK(text.find("wait_ms_count 1\n") != std::string::npos);
  CHECK(text.find("wait_ms{quantile=\"0.99\"}") != std::string::npos);
}

}  // namespace azurespur::base
