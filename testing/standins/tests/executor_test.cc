#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "standins/executor.h"
#include "standins/server.h"

namespace azurespur::standins {

namespace {

struct ExecutorFixture {
  ExecutorFixture() : executor("x", 2, {.median_ms = 1}, 7, timer, journal) {
    port = base::Value(server->Listen(0, 64, [this](auto request, auto reply) {
      executor.Handle(std::move(request), std::move(reply));
    }));
  }
  ~ExecutorFixture() {
    client.reset();
    server.reset();
    timer.Stop();
  }

  http::HttpCall Run(const std::string& id, const std::string& body) {
    http::HttpCall call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/run";
    call.headers.push_back({"Azurespur-Request-Id", id});
    call.body = body;
    call.timeout = std::chrono::seconds(20);
    return call;
  }

  // Sends all at once and waits for all results.
  std::vector<http::HttpResult> RunAll(size_t count, const std::string& body) {
    std::vector<http::HttpResult> results(count);
    std::mutex mutex;
    std::condition_variable changed;
    size_t left = count;
    for (size_t i = 0; i < count; ++i) {
      client->Send(Run("r" + std::to_string(i), body),
                   [&, i](http::HttpResult result) {
                     std::lock_guard<std::mutex> lock(mutex);
                     results[i] = std::move(result);
                     --left;
                     changed.notify_one();
                   });
    }
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait(lock, [&] { return left == 0; });
    return results;
  }

  Journal journal{"", 1000};
  Timer timer;
  Executor executor;
  std::unique_ptr<Server> server = base::Value(StartServer(2));
  std::unique_ptr<http::HttpClient> client = http::StartHttpClient();
  uint16_t port = 0;
};

}  // namespace

TEST_CASE("requests beyond the slots wait and are journalled as excess") {
  ExecutorFixture fixture;
  for (const auto& result : fixture.RunAll(5, R"({"service_ms":200})")) {
    CHECK(base::Value(result).status == 200);
  }
  const std::string text = fixture.journal.Text();
  CHECK(text.find("\"excess\"") != std::string::npos);
  CHECK(text.find("\"in_use\":3") == std::string::npos);
}

TEST_CASE("an answer names its request and echoes the body") {
  ExecutorFixture fixture;
  const auto result =
      fixture.client->Fetch(fixture.Run("r1", R"({"key":"k"})"));
  const http::HttpResponse& response = base::Value(result);
  CHECK(http::FindField(response.headers, "Azurespur-Request-Id") == "r1");
  CHECK(response.body ==
        R"({"request_id":"r1","executor":"x","echo":{"key":"k"}})");
}

TEST_CASE("a cut answer is no whole answer") {
  ExecutorFixture fixture;
  fixture.executor.SetFaults(R"({"cut_answer_share":1})");
  const auto result = fixture.client->Fetch(fixture.Run("r1", "{}"));
  REQUIRE(!base::Ok(result));
  CHECK(base::GetError(result).code == base::ErrorCode::kUnknown);
}

TEST_CASE("crossed answers name the other request") {
  ExecutorFixture fixture;
  fixture.executor.SetFaults(R"({"cross_answers":true})");
  const auto results = fixture.RunAll(2, "{}");
  CHECK(http::FindField(base::Value(results[0]).headers,
                        "Azurespur-Request-Id") == "r1");
  CHECK(http::FindField(base::Value(results[1]).headers,
                        "Azurespur-Request-Id") == "r0");
}

TEST_CASE("a leaving executor refuses without running") {
  ExecutorFixture fixture;
  fixture.executor.SetFaults(R"({"leaving":true})");
  const auto result = fixture.client->Fetch(fixture.Run("r1", "{}"));
  CHECK(base::Value(result).status == 503);
  CHECK(http::FindField(base::Value(result).headers, "Azurespur-Leaving") ==
        "1");
  CHECK(fixture.journal.Text().find("\"begin\"") == std::string::npos);
}

TEST_CASE("a port that went down refuses connections until it is back") {
  ExecutorFixture fixture;
  CHECK(base::Ok(fixture.client->Fetch(fixture.Run("r1", "{}"))));
  REQUIRE(base::Ok(fixture.server->SetListening(fixture.port, false)));
  CHECK(!base::Ok(fixture.client->Fetch(fixture.Run("r2", "{}"))));
  REQUIRE(base::Ok(fixture.server->SetListening(fixture.port, true)));
  CHECK(base::Ok(fixture.client->Fetch(fixture.Run("r3", "{}"))));
}

}  // namespace azurespur::standins
