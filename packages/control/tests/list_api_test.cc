#include "control/list_api.h"

#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "control/list_ledger.h"
#include "control/list_reporter.h"
#include "control/list_service.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "list_fakes.h"

namespace azurespur::control {

namespace {

using nlohmann::json;

class RecordingReply : public http::HttpReply {
 public:
  void Send(http::HttpResponse response) override {
    status = response.status;
    body = json::parse(response.body, nullptr, false);
  }
  bool CallerGone() const override { return false; }

  int status = 0;
  json body;
};

struct Fixture {
  Fixture() : channel(stream, ledger) {
    for (const char* id : {"a", "b"}) {
      services::Vm vm;
      vm.id = id;
      vm.domain = std::string("domain-") + id;
      directory.page.vms.push_back(vm);
    }
    Peer peer;
    peer.id = "b";
    bus.peers.push_back(peer);
  }

  RecordingReply Call(std::string method,
                      const std::string& path,
                      std::string body = "",
                      std::vector<http::HttpField> query = {}) {
    http::HttpRequest request;
    request.method = std::move(method);
    request.path = path;
    request.body = std::move(body);
    request.query = std::move(query);
    const auto reply = std::make_shared<RecordingReply>();
    REQUIRE(api.Handle(request, reply));
    return *reply;
  }

  FakeStream stream;
  FakeClock clock;
  FakeBus bus;
  FakeDirectory directory;
  ListLedger ledger{clock};
  FakeChannel channel;
  ListService service{{"a"}, channel, ledger, clock};
  ListReporter reporter{{"a", "domain-a"}, bus, directory, ledger, clock};
  ListApi api{service, ledger, reporter};
};

constexpr const char* kPublishGold =
    R"({"base_version":0,"author":"ana","edit_id":"e/1",
        "content":{"allowances":[{"id":"gold"}]}})";

}  // namespace

TEST_CASE("lists are published, shown, compared and looked up over HTTP") {
  Fixture fixture;
  CHECK(fixture.Call("GET", "/v1/lists/plans").body["content"] ==
        json::parse(R"({"plans":[]})"));
  RecordingReply reply =
      fixture.Call("POST", "/v1/lists/allowances", kPublishGold);
  CHECK(reply.status == 200);
  CHECK(reply.body["outcome"] == "accepted");
  reply = fixture.Call("POST", "/v1/lists/allowances",
                       R"({"base_version":0,"author":"bo",
                           "content":"{\"allowances\":[]}"})");
  CHECK(reply.status == 409);
  CHECK(reply.body["current"]["author"] == "ana");
  CHECK(reply.body["diff"][0]["change"] == "added");
  reply = fixture.Call("GET", "/v1/lists/allowances/edits/e%2F1");
  CHECK(reply.body["outcome"] == "accepted");
  CHECK(fixture.Call("GET", "/v1/lists/allowances/edits/none").status == 404);
  reply = fixture.Call("GET", "/v1/lists/allowances/diff", "", {{"from", "0"}});
  CHECK(reply.body["to"] == 1);
  CHECK(reply.body["diff"].size() == 1);
  CHECK(fixture.Call("GET", "/v1/lists/allowances", "", {{"version", "5"}})
            .status == 404);
}

TEST_CASE("wrong calls name what is wrong") {
  Fixture fixture;
  CHECK(fixture.Call("GET", "/v1/lists/other").status == 404);
  CHECK(fixture.Call("DELETE", "/v1/lists/plans").status == 404);
  CHECK(fixture.Call("POST", "/v1/proposals").status == 405);
  CHECK(fixture.Call("GET", "/v1/lists/plans", "", {{"version", "x"}})
            .body["error"] == "query version: \"x\" is no version");
  CHECK(fixture.Call("POST", "/v1/lists/plans", R"({"base_version":-1})")
            .body["error"] ==
        "field \"base_version\" is missing or no version");
  const RecordingReply reply =
      fixture.Call("POST", "/v1/lists/plans/check", R"({"plans":[{}]})");
  CHECK(reply.body["valid"] == false);
  CHECK(reply.body["errors"].size() == 3);
  fixture.channel.mode = FakeChannel::Mode::kAway;
  CHECK(fixture.Call("POST", "/v1/lists/allowances", kPublishGold).status ==
        503);
  fixture.channel.mode = FakeChannel::Mode::kLosesAnswer;
  CHECK(fixture.Call("POST", "/v1/lists/allowances", kPublishGold).status ==
        504);
  http::HttpRequest foreign;
  foreign.path = "/v1/tasks";
  CHECK(!fixture.api.Handle(foreign, std::make_shared<RecordingReply>()));
}

TEST_CASE("confirm names every entry VM and those not reached") {
  Fixture fixture;
  json body = fixture.Call("GET", "/v1/lists/confirm").body;
  REQUIRE(body["vms"].size() == 2);
  CHECK(body["vms"][0]["reached"] == true);
  CHECK(body["vms"][1]["reached"] == false);
  CHECK(body["vms"][1]["silent_ms"] == -1);
  CHECK(body["all_reached"] == false);

  // A second VM that runs the same lists.
  FakeReader reader(fixture.stream, fixture.ledger);
  fixture.reporter.ReportIfDue(fixture.clock.Now());
  REQUIRE(fixture.bus.sent.size() == 1);
  fixture.bus.Deliver("b", wire::Topic::kListsReport,
                      fixture.bus.sent[0].payload);
  CHECK(fixture.Call("GET", "/v1/lists/confirm").body["all_agree"] == true);

  // This VM moves on; the other has not yet reported it.
  fixture.Call("POST", "/v1/lists/allowances", kPublishGold);
  body = fixture.Call("GET", "/v1/lists/confirm").body;
  CHECK(body["all_reached"] == true);
  CHECK(body["all_agree"] == false);
  CHECK(body["vms"][0]["allowances"]["version"] == 1);
  CHECK(body["vms"][1]["allowances"]["version"] == 0);

  // A change is reported at once, and silence is noticed.
  fixture.reporter.ReportIfDue(fixture.clock.Now());
  REQUIRE(fixture.bus.sent.size() == 2);
  fixture.bus.Deliver("b", wire::Topic::kListsReport,
                      fixture.bus.sent[1].payload);
  CHECK(fixture.Call("GET", "/v1/lists/confirm").body["all_agree"] == true);
  fixture.clock.Advance(base::Millis(3001));
  body = fixture.Call("GET", "/v1/lists/confirm").body;
  CHECK(body["all_reached"] == false);
  CHECK(body["vms"][1]["silent_ms"] == 3001);
}

TEST_CASE("reports repeat each second without a change") {
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.reporter.ReportIfDue(fixture.clock.Now());
    fixture.clock.Advance(base::Millis(100));
  }
  CHECK(fixture.bus.sent.size() == 2);
}

}  // namespace azurespur::control
