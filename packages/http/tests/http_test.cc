#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "one_answer_server.h"

namespace azurespur::http {

namespace {

std::string Url(const HttpServer& server, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

}  // namespace

TEST_CASE("an answer given later from another thread reaches its caller") {
  std::thread answering;
  auto server = base::Value(StartHttpServer(
      {}, [&](HttpRequest request, std::shared_ptr<HttpReply> reply) {
        answering = std::thread([request = std::move(request), reply] {
          HttpResponse response;
          response.body = request.method + request.path + request.body +
                          std::string(FindField(request.query, "q"));
          reply->Send(std::move(response));
        });
      }));
  auto client = StartHttpClient();
  HttpCall call;
  call.method = "POST";
  call.url = Url(*server, "/a%2Fb?q=%31");
  call.body = "body";
  const HttpResult result = client->Fetch(call);
  answering.join();
  REQUIRE(base::Ok(result));
  CHECK(base::Value(result).status == 200);
  CHECK(base::Value(result).body == "POST/a%2Fbbody1");
}

// Guards against a server that is taken for silent while the request still
// waits for this VM's own link.
TEST_CASE("the time that a request waits for the link is added to its call") {
  std::vector<std::thread> answering;
  auto server = base::Value(StartHttpServer(
      {}, [&](const HttpRequest&, std::shared_ptr<HttpReply> reply) {
        answering.emplace_back([reply] {
          std::this_thread::sleep_for(std::chrono::milliseconds(400));
          reply->Send({});
        });
      }));
  base::LinkQueue uplink(2);
  HttpClientOptions options;
  options.uplink = &uplink;
  auto client = StartHttpClient(options);
  HttpCall call;
  call.url = Url(*server, "/");
  call.timeout = std::chrono::milliseconds(150);
  call.stall_timeout = std::chrono::milliseconds(100);
  CHECK_FALSE(base::Ok(client->Fetch(call)));
  uplink.Add(500 << 10);  // As much as is counted, 2 s.
  CHECK(base::Ok(client->Fetch(call)));
  for (std::thread& thread : answering) {
    thread.join();
  }
}

TEST_CASE("a dropped reply answers 500 and an oversized body 413") {
  HttpServerOptions options;
  options.max_body_bytes = 10;
  auto server = base::Value(
      StartHttpServer(options, [](HttpRequest, std::shared_ptr<HttpReply>) {}));
  auto client = StartHttpClient();
  HttpCall call;
  call.method = "POST";
  call.url = Url(*server, "/");
  CHECK(base::Value(client->Fetch(call)).status == 500);
  call.body = std::string(100, 'x');
  CHECK(base::Value(client->Fetch(call)).status == 413);
}

TEST_CASE("bodies beyond the total are refused until others are answered") {
  HttpServerOptions options;
  options.max_total_body_bytes = 150;
  std::shared_ptr<HttpReply> held;
  std::promise<void> arrived;
  auto server = base::Value(StartHttpServer(
      options, [&](HttpRequest request, std::shared_ptr<HttpReply> reply) {
        if (request.path == "/hold") {
          held = std::move(reply);
          arrived.set_value();
        } else {
          reply->Send({});
        }
      }));
  auto client = StartHttpClient();
  HttpCall call;
  call.method = "POST";
  call.url = Url(*server, "/hold");
  call.body = std::string(100, 'x');
  call.timeout = std::chrono::seconds(20);
  std::promise<HttpResult> first;
  REQUIRE(client->Send(call, [&first](HttpResult result) {
    first.set_value(std::move(result));
  }));
  arrived.get_future().wait();
  call.url = Url(*server, "/");
  const HttpResult refused = client->Fetch(call);
  CHECK(base::Value(refused).status == 503);
  CHECK(FindField(base::Value(refused).headers, "Azurespur-Fate") == "not-run");
  held->Send({});
  CHECK(base::Value(first.get_future().get()).status == 200);
  client.reset();
  server->Stop();
  server = base::Value(StartHttpServer(
      options,
      [](HttpRequest, std::shared_ptr<HttpReply> reply) { reply->Send({}); }));
  client = StartHttpClient();
  call.url = Url(*server, "/");
  for (int i = 0; i < 3; ++i) {
    CHECK(base::Value(client->Fetch(call)).status == 200);
  }
}

// Guards against a refusal of a job that runs: an earlier request for it was
// accepted, and the server hadn't room to read its repeat.
TEST_CASE("an unread request has an unknown fate where a copy may have run") {
  HttpServerOptions options;
  options.max_total_body_bytes = 50;
  options.unread_is_not_run = false;
  auto server = base::Value(StartHttpServer(
      options,
      [](HttpRequest, std::shared_ptr<HttpReply> reply) { reply->Send({}); }));
  auto client = StartHttpClient();
  HttpCall call;
  call.method = "POST";
  call.url = Url(*server, "/");
  call.body = std::string(100, 'x');
  call.timeout = std::chrono::seconds(20);
  const HttpResult result = client->Fetch(call);
  REQUIRE(base::Ok(result));
  CHECK(base::Value(result).status == 504);
  CHECK(FindField(base::Value(result).headers, "Azurespur-Fate").empty());
}

TEST_CASE("a refused connection says that nothing was sent") {
  uint16_t port = 0;
  {
    auto server = base::Value(
        StartHttpServer({}, [](HttpRequest, std::shared_ptr<HttpReply>) {}));
    port = server->port();
  }
  auto client = StartHttpClient();
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
  const HttpResult result = client->Fetch(call);
  REQUIRE(!base::Ok(result));
  CHECK(base::GetError(result).code == base::ErrorCode::kUnavailable);
}

TEST_CASE(
    "a silent response ends at the stall timeout, long before the other") {
  std::shared_ptr<HttpReply> held;
  std::promise<void> arrived;
  auto server = base::Value(StartHttpServer(
      {}, [&](HttpRequest request, std::shared_ptr<HttpReply> reply) {
        if (request.path == "/hold") {
          held = std::move(reply);
          arrived.set_value();
        } else {
          reply->Send({});
        }
      }));
  auto client = StartHttpClient();
  HttpCall call;
  call.url = Url(*server, "/hold");
  call.timeout = std::chrono::seconds(600);
  call.stall_timeout = std::chrono::milliseconds(100);
  const HttpResult silent = client->Fetch(call);
  REQUIRE(!base::Ok(silent));
  CHECK(base::GetError(silent).code == base::ErrorCode::kUnknown);
  arrived.get_future().wait();
  held->Send({});
  call.url = Url(*server, "/");
  call.stall_timeout = std::chrono::seconds(600);
  CHECK(base::Value(client->Fetch(call)).status == 200);
}

// Guards against a request that libcurl sends a second time by itself: the
// server may have carried out the first, and a refusal of the second then says
// that nothing was done.
TEST_CASE("a call is not sent again by itself on a kept connection") {
  OneAnswerServer server;
  auto client = StartHttpClient();
  HttpCall call;
  call.method = "POST";
  call.url = server.Url();
  SUBCASE("with a body") {
    call.body = R"({"run":1})";
  }
  SUBCASE("without a body") {
    call.body = "";
  }
  call.timeout = std::chrono::seconds(20);
  REQUIRE(base::Ok(client->Fetch(call)));
  const HttpResult second = client->Fetch(call);
  REQUIRE(!base::Ok(second));
  CHECK(base::GetError(second).code == base::ErrorCode::kUnknown);
  client.reset();
  server.Stop();
  CHECK(server.requests() == 2);
  CHECK(server.later_bytes() == 0);
}

// The same server shows that repeatable calls are repeated, so that the test
// above doesn't pass by chance.
TEST_CASE("a call that may be repeated is, on a new connection") {
  OneAnswerServer server;
  auto client = StartHttpClient();
  HttpCall call;
  call.method = "POST";
  call.url = server.Url();
  call.body = R"({"run":1})";
  call.timeout = std::chrono::seconds(20);
  call.repeatable = true;
  REQUIRE(base::Ok(client->Fetch(call)));
  CHECK(base::Ok(client->Fetch(call)));
  CHECK(server.connections() == 2);
  CHECK(server.requests() == 3);
}

// Guards against calls on new connections that leave more and more unused ones
// open at a server that limits them.
TEST_CASE("at the limit, a new connection to a host replaces an unused one") {
  HttpServerOptions server_options;
  server_options.max_connections = 8;
  auto server = base::Value(StartHttpServer(
      server_options,
      [](HttpRequest, std::shared_ptr<HttpReply> reply) { reply->Send({}); }));
  HttpClientOptions options;
  options.max_connections_per_host = 2;
  auto client = StartHttpClient(options);
  HttpCall call;
  call.url = Url(*server, "/");
  call.timeout = std::chrono::seconds(20);
  call.new_connection = true;
  for (int i = 0; i < 40; ++i) {
    CAPTURE(i);
    CHECK(base::Ok(client->Fetch(call)));
  }
}

// Guards against a use of freed memory at the end of the process: a thread
// still sends while the owner of the client ends its calls.
TEST_CASE("a stopped client has ended its calls and refuses more") {
  std::shared_ptr<HttpReply> held;
  std::promise<void> arrived;
  auto server = base::Value(
      StartHttpServer({}, [&](HttpRequest, std::shared_ptr<HttpReply> reply) {
        held = std::move(reply);
        arrived.set_value();
      }));
  auto client = StartHttpClient();
  HttpCall call;
  call.url = Url(*server, "/");
  call.timeout = std::chrono::seconds(20);
  std::optional<HttpResult> result;
  REQUIRE(client->Send(
      call, [&result](HttpResult given) { result = std::move(given); }));
  arrived.get_future().wait();
  client->Stop();
  REQUIRE(result.has_value());
  CHECK(!base::Ok(*result));
  CHECK(!client->Send(call, [](HttpResult) {}));
  CHECK(!base::Ok(client->Fetch(call)));
  held->Send({});
}

TEST_CASE("each call that is sent while the client stops ends once") {
  constexpr int kRounds = 200;
  constexpr int kThreads = 3;
  for (int round = 0; round < kRounds; ++round) {
    auto client = StartHttpClient();
    std::atomic<int> sent{0};
    std::atomic<int> ended{0};
    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        HttpCall call;
        call.url = "http://127.0.0.1:1/";
        while (!stopped) {
          const bool queued =
              client->Send(call, [&ended](HttpResult) { ++ended; });
          sent += queued ? 1 : 0;
        }
      });
    }
    client->Stop();
    stopped = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(ended.load() == sent.load());
  }
}

// Guards against a daemon that aborts when it is stopped while the log doesn't
// answer: libmicrohttpd must not be stopped with suspended connections.
TEST_CASE("a server that stops answers the requests that still wait") {
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpReply>> waiting;
  auto server = base::Value(StartHttpServer(
      {}, [&](const HttpRequest&, std::shared_ptr<HttpReply> reply) {
        std::lock_guard<std::mutex> lock(mutex);
        waiting.push_back(std::move(reply));
      }));
  auto client = StartHttpClient();
  constexpr int kCalls = 20;
  std::atomic<int> answered{0};
  std::atomic<int> ended{0};
  for (int i = 0; i < kCalls; ++i) {
    HttpCall call;
    call.url = Url(*server, "/");
    call.timeout = std::chrono::milliseconds(10000);
    REQUIRE(client->Send(call, [&](HttpResult result) {
      answered += base::Ok(result) && base::Value(result).status == 504 ? 1 : 0;
      ++ended;
    }));
  }
  while (server->InFlight() < kCalls) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  server->Stop();
  while (ended.load() < kCalls) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(answered.load() == kCalls);
  std::lock_guard<std::mutex> lock(mutex);
  for (const auto& reply : waiting) {
    reply->Send({});  // Too late; no effect.
  }
}

// Guards against a daemon that can't start again at its address, since
// connections that its former process closed are kept by the kernel.
TEST_CASE("a server binds the port of a former one that closed connections") {
  const auto answer = [](HttpRequest, std::shared_ptr<HttpReply> reply) {
    reply->Send({});
  };
  auto server = base::Value(StartHttpServer({}, answer));
  HttpServerOptions options;
  options.port = server->port();
  server->SetDraining(true);  // The server closes each connection first.
  auto client = StartHttpClient();
  HttpCall call;
  call.url = Url(*server, "/");
  REQUIRE(base::Ok(client->Fetch(call)));
  server.reset();
  auto second = StartHttpServer(options, answer);
  REQUIRE(base::Ok(second));
  CHECK(base::Ok(client->Fetch(call)));
}

TEST_CASE("a port in use is reported with address and port") {
  const auto ignore = [](HttpRequest, std::shared_ptr<HttpReply>) {};
  auto server = base::Value(StartHttpServer({}, ignore));
  HttpServerOptions options;
  options.port = server->port();
  auto second = StartHttpServer(options, ignore);
  REQUIRE(!base::Ok(second));
  CHECK(base::GetError(second).message.find(std::to_string(options.port)) !=
        std::string::npos);
}

TEST_CASE("URL escaping round trips") {
  CHECK(UrlEscape("a/b c") == "a%2Fb%20c");
  CHECK(UrlUnescape("a%2Fb%20c%") == "a/b c%");
}

}  // namespace azurespur::http
