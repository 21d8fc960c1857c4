#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "arrivals.h"
#include "canned_server.h"
#include "input.h"
#include "latency_histogram.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

// Counts arrivals in the two halves of each swing.
std::pair<int, int> CountHalves(const ArrivalOptions& options) {
  Arrivals arrivals(options);
  const base::Micros period = options.swing_period;
  std::pair<int, int> counts{0, 0};
  for (base::Micros at = arrivals.Next(); at < base::Millis(20000);
       at = arrivals.Next()) {
    ++((at % period) * 2 < period ? counts.first : counts.second);
  }
  return counts;
}

}  // namespace

TEST_CASE("arrivals follow the rate and its swing") {
  const auto [low, high] =
      CountHalves({.rate_per_s = 100, .swing = 3, .seed = 7});
  CHECK(low > 900);
  CHECK(low < 1100);
  CHECK(high > 2700);
  CHECK(high < 3300);
  CHECK(Arrivals({.rate_per_s = 0}).Next() > base::Millis(3600000));
}

TEST_CASE("a histogram gives quantiles and doubling buckets") {
  LatencyHistogram histogram;
  CHECK(histogram.Quantile(0.5) == 0);
  for (int i = 1; i <= 100; ++i) {
    histogram.Add(i);
  }
  CHECK(histogram.Quantile(0.5) == 51);
  CHECK(histogram.Quantile(0.99) == 100);
  const json buckets = histogram.ToJson()["buckets"];
  CHECK(buckets.back()["below_ms"] == 128);
  CHECK(buckets.back()["count"] == 37);
}

TEST_CASE("load reports fates and writes a journal") {
  CannedServer server;
  http::HttpResponse refused;
  refused.status = 429;
  refused.headers.push_back({"Azurespur-Fate", "not-run"});
  refused.body = "{}";
  server.On("POST /v1/requests", refused);
  server.On("POST /v1/tasks", 202, R"({"id":"t1","fate":"accepted"})");
  server.On("GET /v1/tasks/t1", 200, R"({"id":"t1","fate":"finished"})");
  const std::string file =
      (std::filesystem::temp_directory_path() / NewId("history")).string();
  const Ran ran = RunCommand({"--server", DeadAddress(),
                              "--server", server.address(),
                              "--output", "json",
                              "load",     "--plan",
                              "gold",     "--requests-per-s",
                              "100",      "--tasks-per-s",
                              "50",       "--duration-ms",
                              "400",      "--seed",
                              "3",        "--non-idempotent-share",
                              "0.5",      "--history",
                              file});
  CHECK(ran.code == 0);
  const json result = json::parse(ran.out);
  const auto sent = result["requests"]["sent"].get<size_t>();
  CHECK(sent > 0);
  CHECK(result["requests"]["fates"] == json{{"not-run", sent}});
  CHECK(result["requests"]["latency"]["count"] == sent);
  CHECK(result["tasks"]["fates"]["accepted"] == result["tasks"]["sent"]);
  CHECK(result["task_ends"] == json{{"finished", 1}});
  std::ifstream in(file);
  size_t answers = 0;
  size_t fates = 0;
  for (std::string line; std::getline(in, line);) {
    const json event = json::parse(line);
    answers += event["event"] == "request-answer" ? 1 : 0;
    fates += event["event"] == "task-fate" ? 1 : 0;
    CHECK(event["time_ms"].get<int64_t>() > 0);
  }
  CHECK(answers == sent);
  CHECK(fates == 1);
  std::filesystem::remove(file);
}

TEST_CASE("an answer to another request is counted and fails the run") {
  CannedServer server;
  http::HttpResponse crossed;
  crossed.headers.push_back({"Azurespur-Fate", "ran"});
  crossed.body = R"({"echo":{"key":"other"}})";
  server.On("POST /v1/requests", crossed);
  const Ran ran =
      RunAgainst(server, {"load", "--plan", "gold", "--requests-per-s", "100",
                          "--duration-ms", "100"});
  CHECK(ran.code == 1);
}

}  // namespace azurespur::cli
