#include <doctest/doctest.h>

#include <ace/SOCK_Dgram.h>

#include <string>

#include "http/http_client.h"
#include "standins/relay.h"
#include "standins/responses.h"
#include "standins/server.h"

namespace azurespur::standins {

namespace {

class StatusReply : public Reply {
 public:
  void Send(http::HttpResponse response) override { status = response.status; }
  void SendTruncated(http::HttpResponse /*response*/) override {}
  void Abort() override {}

  int status = 0;
};

int Control(Relay& relay, const std::string& body) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = "/links/l";
  request.body = body;
  StatusReply reply;
  relay.HandleControl(request, reply);
  return reply.status;
}

bool Reaches(http::HttpClient& client, uint16_t port, int timeout_ms) {
  http::HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
  call.timeout = std::chrono::milliseconds(timeout_ms);
  return base::Ok(client.Fetch(std::move(call)));
}

// The same on a connection that no call has used before.
bool ReachesAnew(http::HttpClient& client, uint16_t port) {
  http::HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
  call.timeout = std::chrono::seconds(10);
  call.new_connection = true;
  return base::Ok(client.Fetch(std::move(call)));
}

}  // namespace

TEST_CASE("a cut link stalls TCP until it heals") {
  auto server = base::Value(StartServer(2));
  const uint16_t target = base::Value(server->Listen(
      0, 64, [](auto, auto reply) { reply->Send(JsonResponse("{}")); }));
  Relay relay;
  const uint16_t port =
      base::Value(relay.SetLink("l", 0, "127.0.0.1:" + std::to_string(target)));
  auto client = http::StartHttpClient();
  CHECK(Reaches(*client, port, 10'000));
  CHECK(Control(relay, R"({"cut":true})") == 200);
  CHECK(!Reaches(*client, port, 200));
  CHECK(Control(relay, R"({"cut":true,"reset":true})") == 200);
  CHECK(!Reaches(*client, port, 10'000));
  CHECK(Control(relay, "{}") == 200);
  CHECK(Reaches(*client, port, 10'000));
}

// Guards against a connection that is accepted and then never served, since its
// socket has the number of one that was closed while the relay handled it.
TEST_CASE("a link serves new connections however often it was cut and reset") {
  constexpr int kRounds = 1000;
  auto server = base::Value(StartServer(2));
  const uint16_t target = base::Value(server->Listen(
      0, 64, [](auto, auto reply) { reply->Send(JsonResponse("{}")); }));
  Relay relay;
  const uint16_t port =
      base::Value(relay.SetLink("l", 0, "127.0.0.1:" + std::to_string(target)));
  auto client = http::StartHttpClient();
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    REQUIRE(ReachesAnew(*client, port));
    // Right after the answer, while the relay may still handle its bytes.
    Control(relay, R"({"cut":true})");
    Control(relay, R"({"cut":true,"reset":true})");
    Control(relay, "{}");
  }
}

TEST_CASE("datagrams pass both ways and are dropped while the link is cut") {
  const ACE_INET_Addr any(static_cast<u_short>(0), INADDR_LOOPBACK);
  ACE_SOCK_Dgram target(any);
  ACE_SOCK_Dgram sender(any);
  ACE_INET_Addr target_address;
  target.get_local_addr(target_address);
  const std::string target_text =
      "127.0.0.1:" + std::to_string(target_address.get_port_number());
  Relay relay;
  const ACE_INET_Addr cut_link(base::Value(relay.SetLink("l", 0, target_text)),
                               INADDR_LOOPBACK);
  const ACE_INET_Addr whole_link(
      base::Value(relay.SetLink("m", 0, target_text)), INADDR_LOOPBACK);
  const ACE_Time_Value limit(10);
  char byte = 0;
  ACE_INET_Addr from;

  Control(relay, R"({"cut":true})");
  sender.send("a", 1, cut_link);
  // The relay reads this one after the first.
  sender.send("b", 1, whole_link);
  REQUIRE(target.recv(&byte, 1, from, 0, &limit) == 1);
  CHECK(byte == 'b');

  Control(relay, R"({"delay_ms":1})");
  sender.send("c", 1, cut_link);
  REQUIRE(target.recv(&byte, 1, from, 0, &limit) == 1);
  CHECK(byte == 'c');
  target.send("d", 1, from);
  REQUIRE(sender.recv(&byte, 1, from, 0, &limit) == 1);
  CHECK(byte == 'd');
  CHECK(from == cut_link);
}

}  // namespace azurespur::standins
