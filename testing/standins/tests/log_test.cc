#include <doctest/doctest.h>

#include <string>

#include "http/http_client.h"
#include "standins/append_rate.h"
#include "standins/log_service.h"
#include "standins/log_store.h"
#include "standins/server.h"
#include "standins/timer.h"

namespace azurespur::standins {

namespace {

struct LogFixture {
  LogFixture() : service({.appends_per_second = 100'000}, timer) {
    port = base::Value(server->Listen(0, 64, [this](auto request, auto reply) {
      service.Handle(std::move(request), std::move(reply));
    }));
  }
  ~LogFixture() {
    server.reset();
    timer.Stop();
  }

  http::HttpResult Call(const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        int timeout_ms = 10'000) {
    http::HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(port) + path;
    call.body = body;
    call.timeout = std::chrono::milliseconds(timeout_ms);
    return client->Fetch(std::move(call));
  }

  std::string Read(const std::string& query) {
    return base::Value(Call("GET", "/streams/s?" + query, "")).body;
  }

  Timer timer;
  LogService service;
  std::unique_ptr<Server> server = base::Value(StartServer(2));
  std::unique_ptr<http::HttpClient> client = http::StartHttpClient();
  uint16_t port = 0;
};

}  // namespace

TEST_CASE("offsets are dense, and all readers see one order") {
  LogStore store(0);
  CHECK(store.Append("s", "a", 1) == 0);
  CHECK(store.Append("s", "b", 2) == 1);
  CHECK(store.Append("t", "c", 3) == 0);
  const LogSlice slice = store.Read("s", 0, 10, 4);
  REQUIRE(slice.records.size() == 2);
  CHECK(slice.records[0].body == "a");
  CHECK(slice.records[1].body == "b");
  CHECK(slice.next == 2);
  CHECK(store.Read("s", 0, 1, 4).next == 1);
}

TEST_CASE("records expire, and a read below the first starts there") {
  LogStore store(100);
  store.Append("s", "a", 0);
  store.Append("s", "b", 60);
  const LogSlice slice = store.Read("s", 0, 10, 100);
  CHECK(slice.first == 1);
  REQUIRE(slice.records.size() == 1);
  CHECK(slice.records[0].offset == 1);
  CHECK(store.Read("s", 0, 10, 500).next == 2);
  CHECK(store.Append("s", "c", 500) == 2);
}

TEST_CASE("appends beyond the rate are refused until time passes") {
  const base::MonoTime start{};
  AppendRate rate(10, start);
  CHECK(rate.Take(start));
  CHECK(rate.Take(start));
  CHECK(!rate.Take(start));
  CHECK(rate.Take(start + base::Millis(100)));
  CHECK(!rate.Take(start + base::Millis(100)));
}

TEST_CASE("an append whose answer is lost takes effect") {
  LogFixture log;
  log.Call("POST", "/faults", R"({"lose_answer_share":1})");
  for (int i = 0; i < 8; ++i) {
    const auto result = log.Call("POST", "/streams/s", "x", 300);
    CHECK((!base::Ok(result) || base::Value(result).status == 503));
  }
  CHECK(log.Read("from=0").find(R"("next":8)") != std::string::npos);
}

TEST_CASE("a late effect follows its lost answer") {
  LogFixture log;
  log.Call("POST", "/faults",
           R"({"lose_answer_share":1,"late_effect_ms":400})");
  log.Call("POST", "/streams/s", "x", 100);
  CHECK(log.Read("from=0").find(R"("next":0)") != std::string::npos);
  CHECK(log.Read("from=0&wait_ms=9000").find(R"("next":1)") !=
        std::string::npos);
}

TEST_CASE("an outage refuses appends and reads without effect") {
  LogFixture log;
  log.Call("POST", "/faults", R"({"outage":true})");
  CHECK(base::Value(log.Call("POST", "/streams/s", "x")).status == 503);
  CHECK(base::Value(log.Call("GET", "/streams/s?from=0", "")).status == 503);
  log.Call("POST", "/faults", "{}");
  CHECK(log.Read("from=0").find(R"("next":0)") != std::string::npos);
}

TEST_CASE("an unknown field is refused by name") {
  LogFixture log;
  const auto result = log.Call("POST", "/faults", R"({"outtage":true})");
  CHECK(base::Value(result).status == 400);
  CHECK(base::Value(result).body.find("outtage") != std::string::npos);
}

}  // namespace azurespur::standins
