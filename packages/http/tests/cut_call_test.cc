// What a call that effects something may count as once its connection ended.

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "http/http_client.h"
#include "scripted_server.h"

namespace azurespur::http {

namespace {

// More than the buffers of both sockets hold.
constexpr size_t kLargeBody = 32 << 20;

ScriptStep Accept() {
  return {SIZE_MAX, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
}

HttpCall Post(const ScriptedServer& server, std::string body) {
  HttpCall call;
  call.method = "POST";
  call.url = server.Url();
  call.body = std::move(body);
  call.timeout = std::chrono::seconds(20);
  return call;
}

// Makes one call that is accepted, so that the connection is kept, and another
// one. Returns the error of the second; kNotFound if it was answered.
base::ErrorCode SecondError(ScriptedServer& server, std::string body) {
  const auto client = StartHttpClient();
  REQUIRE(base::Ok(client->Fetch(Post(server, "{}"))));
  const HttpResult second = client->Fetch(Post(server, std::move(body)));
  return base::Ok(second) ? base::ErrorCode::kNotFound
                          : base::GetError(second).code;
}

}  // namespace

// Guards against an append that counts as refused, though the log has it.
TEST_CASE("a call is unknown if its kept connection is reset after it") {
  ScriptedServer server({Accept(), {SIZE_MAX, "", ConnectionEnd::kReset}});
  CHECK(SecondError(server, "{}") == base::ErrorCode::kUnknown);
  server.Stop();
  CHECK(server.requests() == 2);
}

// The same where the request was cut: what read half of it may pass it on.
TEST_CASE("a call is unknown if its connection ends within the request") {
  for (const ConnectionEnd end :
       {ConnectionEnd::kClosed, ConnectionEnd::kReset}) {
    for (const size_t bytes : {size_t{1}, size_t{20}, size_t{1} << 20}) {
      CAPTURE(bytes);
      ScriptedServer server({Accept(), {bytes, "", end}});
      CHECK(SecondError(server, std::string(kLargeBody, 'r')) ==
            base::ErrorCode::kUnknown);
      server.Stop();
      CHECK(server.requests() == 2);
    }
  }
}

// The same on a connection that no call has used before.
TEST_CASE("a call is unknown if its new connection ends within the request") {
  for (const ConnectionEnd end :
       {ConnectionEnd::kClosed, ConnectionEnd::kReset}) {
    ScriptedServer server({{20, "", end}});
    const auto client = StartHttpClient();
    const HttpResult result =
        client->Fetch(Post(server, std::string(kLargeBody, 'r')));
    REQUIRE(!base::Ok(result));
    CHECK(base::GetError(result).code == base::ErrorCode::kUnknown);
  }
}

// Guards against "nothing was sent", the meaning of a refused connection, for a
// call that libcurl repeats and that was sent before.
TEST_CASE("a repeated call is unknown if its second connection is refused") {
  ScriptedServer server(
      {Accept(), {SIZE_MAX, "", ConnectionEnd::kClosed, true}});
  const auto client = StartHttpClient();
  HttpCall call = Post(server, "{}");
  call.repeatable = true;
  REQUIRE(base::Ok(client->Fetch(call)));
  const HttpResult second = client->Fetch(call);
  REQUIRE(!base::Ok(second));
  CHECK(base::GetError(second).code == base::ErrorCode::kUnknown);
}

// Guards against an answer that was cut and counts as whole, or as none.
TEST_CASE("a call is unknown if its answer is cut") {
  for (const char* answer :
       {"H", "HTTP/1.1 503 Unavail", "HTTP/1.1 503 Unavailable\r\nContent-",
        "HTTP/1.1 503 Unavailable\r\nContent-Length: 40\r\n\r\n{\"reason\"",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"off"}) {
    for (const ConnectionEnd end :
         {ConnectionEnd::kClosed, ConnectionEnd::kReset}) {
      CAPTURE(answer);
      ScriptedServer server({Accept(), {SIZE_MAX, answer, end}});
      CHECK(SecondError(server, "{}") == base::ErrorCode::kUnknown);
    }
  }
}

// Guards against the answer to a second sending that is taken for the call's.
TEST_CASE("a call is unknown though a second connection would answer 503") {
  ScriptedServer server(
      {Accept(),
       {SIZE_MAX, "", ConnectionEnd::kReset},
       {SIZE_MAX, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"}});
  CHECK(SecondError(server, "{}") == base::ErrorCode::kUnknown);
  server.Stop();
  CHECK(server.requests() == 2);
}

// A call that is ended while the client stops may have been carried out.
TEST_CASE("a call that was sent is unknown once the client is stopped") {
  ScriptedServer server({Accept(), {SIZE_MAX, ""}});
  auto client = StartHttpClient();
  REQUIRE(base::Ok(client->Fetch(Post(server, "{}"))));
  std::promise<HttpResult> ended;
  REQUIRE(client->Send(Post(server, "{}"), [&ended](HttpResult result) {
    ended.set_value(std::move(result));
  }));
  while (server.requests() < 2) {
    std::this_thread::yield();
  }
  client->Stop();
  const HttpResult result = ended.get_future().get();
  REQUIRE(!base::Ok(result));
  CHECK(base::GetError(result).code == base::ErrorCode::kUnknown);
}

// A refused connection is the one error after which nothing was sent.
TEST_CASE("a call is unavailable if its only connection is refused") {
  std::string url;
  {
    ScriptedServer server({});
    url = server.Url();
  }
  HttpCall call;
  call.method = "POST";
  call.url = url;
  const HttpResult result = StartHttpClient()->Fetch(call);
  REQUIRE(!base::Ok(result));
  CHECK(base::GetError(result).code == base::ErrorCode::kUnavailable);
}

}  // namespace azurespur::http
