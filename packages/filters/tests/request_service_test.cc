#include "filters/request_service.h"

#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/metrics.h"
#include "fakes.h"

namespace azurespur::filters {

namespace {

using services::ExecutorVerdict;

// One domain with entry VMs, two executors and fakes of everything else.
struct TestDomain {
  explicit TestDomain(FakeExecutors::Handler handler)
      : executors(std::move(handler)) {
    vms.Add("x1", services::VmKind::kExecutor);
    vms.Add("x2", services::VmKind::kExecutor);
  }

  RequestService& AddVm(const std::string& id, uint64_t incarnation = 1) {
    if (incarnation == 1) {
      vms.Add(id, services::VmKind::kEntry);
    }
    ledgers.push_back(std::make_unique<OnceLedger>(base::Millis(600000)));
    log.AddObserver(*ledgers.back());
    RequestServiceOptions options;
    options.slot_startup_delay = base::Millis(1);
    services.push_back(std::make_unique<RequestService>(
        RequestServiceDeps{lists,
                           vms,
                           network.Join(id, incarnation),
                           log,
                           *ledgers.back(),
                           executors,
                           base::SystemClock(),
                           metrics,
                           {id, "d1", incarnation},
                           options}));
    services.back()->Start();
    return *services.back();
  }

  FakeLists lists;
  FakeVms vms;
  FakeNetwork network;
  FakeLog log;
  FakeExecutors executors;
  base::Metrics metrics;
  std::vector<std::unique_ptr<OnceLedger>> ledgers;
  std::vector<std::unique_ptr<RequestService>> services;
};

http::HttpRequest Post(std::vector<http::HttpField> headers = {}) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/requests";
  request.headers = std::move(headers);
  request.headers.push_back({"Azurespur-Plan", "gold"});
  request.body = "payload";
  return request;
}

http::HttpRequest PostKeyed(const std::string& key) {
  return Post({{"Azurespur-Key", key}, {"Azurespur-Non-Idempotent", "1"}});
}

std::future<http::HttpResponse> Start(RequestService& service,
                                      http::HttpRequest request) {
  auto reply = std::make_shared<FakeReply>();
  auto future = reply->Future();
  service.Handle(std::move(request), reply);
  return future;
}

http::HttpResponse Wait(std::future<http::HttpResponse> future) {
  REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
  return future.get();
}

std::string FateOf(const http::HttpResponse& response) {
  return std::string(http::FindField(response.headers, "Azurespur-Fate"));
}

std::string ErrorOf(const http::HttpResponse& response) {
  return nlohmann::json::parse(response.body)["error"];
}

void Echo(FakeExecutors::Call call) {
  call.Ran("echo " + call.call.body);
}

}  // namespace

TEST_CASE("a request runs and its complete answer is returned") {
  TestDomain domain(&Echo);
  const auto response =
      Wait(Start(domain.AddVm("e1"), Post({{"Azurespur-Request-Id", "r7"}})));
  CHECK(response.status == 200);
  CHECK(response.body == "echo payload");
  CHECK(FateOf(response) == "ran");
  CHECK(http::FindField(response.headers, "Azurespur-Request-Id") == "r7");
  CHECK(!http::FindField(response.headers, "Azurespur-Executor").empty());
}

TEST_CASE("refusals because of the plan or the rate are not-run") {
  TestDomain domain(&Echo);
  domain.lists.standard().requests_per_s = 0.001;
  domain.lists.standard().burst = 1;
  RequestService& service = domain.AddVm("e1");
  http::HttpRequest unknown = Post();
  unknown.headers.back().value = "bronze";
  http::HttpRequest lost = Post();
  lost.headers.back().value = "lost";
  CHECK(Wait(Start(service, unknown)).status == 403);
  CHECK(Wait(Start(service, lost)).status == 403);
  CHECK(Wait(Start(service, Post())).status == 200);
  const auto over = Wait(Start(service, Post()));
  CHECK(over.status == 429);
  CHECK(FateOf(over) == "not-run");
  CHECK(std::stoi(std::string(http::FindField(over.headers, "Retry-After"))) >
        900);
}

TEST_CASE("without lists a request is refused as retryable") {
  TestDomain domain(&Echo);
  domain.lists.Clear();
  const auto response = Wait(Start(domain.AddVm("e1"), Post()));
  CHECK(response.status == 503);
  CHECK(ErrorOf(response) == "no_lists");
  CHECK(FateOf(response) == "not-run");
}

TEST_CASE("a lost answer is retried only for idempotent requests") {
  std::atomic<int> seen{0};
  TestDomain domain([&](FakeExecutors::Call call) {
    if (seen.fetch_add(1) == 0) {
      call.End(ExecutorVerdict::kMayHaveRun);
    } else {
      Echo(std::move(call));
    }
  });
  RequestService& service = domain.AddVm("e1");
  SUBCASE("idempotent") {
    CHECK(Wait(Start(service, Post())).status == 200);
    CHECK(domain.executors.calls() == 2);
  }
  SUBCASE("non-idempotent") {
    const auto response = Wait(Start(service, PostKeyed("k")));
    CHECK(response.status == 502);
    CHECK(FateOf(response) == "may-have-run");
    CHECK(domain.executors.calls() == 1);
  }
}

TEST_CASE("a request refused by a leaving executor is sent to another one") {
  std::mutex mutex;
  std::map<std::string, int> calls;
  TestDomain domain([&](FakeExecutors::Call call) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      ++calls[call.address];
    }
    if (call.address == "x1") {
      call.End(ExecutorVerdict::kLeaving, 503);
    } else {
      Echo(std::move(call));
    }
  });
  RequestService& service = domain.AddVm("e1");
  for (int i = 0; i < 20; ++i) {
    CHECK(Wait(Start(service, PostKeyed("k" + std::to_string(i)))).status ==
          200);
  }
  CHECK(calls["x1"] == 1);
}

TEST_CASE("an executor listed as leaving gets no new requests") {
  std::mutex mutex;
  std::map<std::string, int> calls;
  TestDomain domain([&](FakeExecutors::Call call) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      ++calls[call.address];
    }
    Echo(std::move(call));
  });
  domain.vms.SetLeaving("x2");
  RequestService& service = domain.AddVm("e1");
  for (int i = 0; i < 20; ++i) {
    CHECK(Wait(Start(service, Post())).status == 200);
  }
  CHECK(calls["x2"] == 0);
}

TEST_CASE("the answer at the deadline states whether the request was sent") {
  std::vector<FakeExecutors::Call> held;
  std::mutex mutex;
  TestDomain domain([&](FakeExecutors::Call call) {
    std::lock_guard<std::mutex> lock(mutex);
    held.push_back(std::move(call));
  });
  RequestService& service = domain.AddVm("e1");
  const std::vector<http::HttpField> soon = {{"Azurespur-Deadline-Ms", "150"}};
  const auto sent = Wait(Start(service, Post(soon)));
  CHECK(sent.status == 504);
  CHECK(FateOf(sent) == "may-have-run");
  // Once all 16 slots are in use, further requests wait and are never sent.
  std::vector<std::future<http::HttpResponse>> futures;
  futures.reserve(40);
  for (int i = 0; i < 40; ++i) {
    futures.push_back(Start(service, Post(soon)));
  }
  int not_run = 0;
  for (auto& future : futures) {
    const auto response = Wait(std::move(future));
    not_run += FateOf(response) == "not-run" ? 1 : 0;
  }
  CHECK(domain.executors.calls() <= 16);
  CHECK(not_run == 41 - domain.executors.calls());
  std::lock_guard<std::mutex> lock(mutex);
  for (FakeExecutors::Call& call : held) {
    call.Ran("late");
  }
}

TEST_CASE("a request of a disconnected caller is not sent") {
  TestDomain domain(&Echo);
  RequestService& service = domain.AddVm("e1");
  auto reply = std::make_shared<FakeReply>();
  reply->SetGone();
  auto future = reply->Future();
  service.Handle(Post(), reply);
  CHECK(FateOf(Wait(std::move(future))) == "not-run");
  CHECK(domain.executors.calls() == 0);
}

TEST_CASE("draining refuses new requests and completes accepted ones") {
  std::promise<FakeExecutors::Call> sent;
  TestDomain domain(
      [&](FakeExecutors::Call call) { sent.set_value(std::move(call)); });
  RequestService& service = domain.AddVm("e1");
  auto running = Start(service, Post());
  FakeExecutors::Call call = sent.get_future().get();
  service.Drain();
  CHECK(service.InFlight() == 1);
  const auto refused = Wait(Start(service, Post()));
  CHECK(refused.status == 503);
  CHECK(FateOf(refused) == "not-run");
  CHECK(http::FindField(refused.headers, "Connection") == "close");
  call.Ran("done");
  CHECK(Wait(std::move(running)).body == "done");
  // A request counts as in flight until its answer has been sent.
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (service.InFlight() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::yield();
  }
  CHECK(service.InFlight() == 0);
}

TEST_CASE("a key runs once, whichever VM receives a repeat") {
  TestDomain domain(&Echo);
  RequestService& first = domain.AddVm("e1");
  RequestService& second = domain.AddVm("e2");
  std::vector<std::future<http::HttpResponse>> futures;
  futures.reserve(40);
  for (int i = 0; i < 20; ++i) {
    futures.push_back(Start(i % 2 == 0 ? first : second, PostKeyed("pay")));
  }
  for (auto& future : futures) {
    const auto response = Wait(std::move(future));
    CHECK(response.status == 200);
    CHECK(response.body == "echo payload");
  }
  CHECK(domain.executors.calls() == 1);
  http::HttpRequest other = PostKeyed("pay");
  other.body = "another";
  const auto conflict = Wait(Start(second, other));
  CHECK(conflict.status == 409);
  CHECK(FateOf(conflict) == "not-run");
}

TEST_CASE("a repeat waits for the holder's answer") {
  std::promise<FakeExecutors::Call> sent;
  TestDomain domain(
      [&](FakeExecutors::Call call) { sent.set_value(std::move(call)); });
  RequestService& holder = domain.AddVm("e1");
  RequestService& other = domain.AddVm("e2");
  auto first = Start(holder, PostKeyed("pay"));
  FakeExecutors::Call call = sent.get_future().get();
  auto repeat = Start(other, PostKeyed("pay"));
  http::HttpRequest query;
  query.method = "GET";
  query.path = "/v1/requests/pay";
  CHECK(Wait(Start(other, query)).body.find("in-flight") != std::string::npos);
  call.Ran("done");
  CHECK(Wait(std::move(first)).body == "done");
  CHECK(Wait(std::move(repeat)).body == "done");
  CHECK(domain.executors.calls() == 1);
}

TEST_CASE("a key held by a dead VM may have run") {
  std::promise<void> sent;
  TestDomain domain([&](FakeExecutors::Call call) {
    if (call.call.body == "payload") {
      sent.set_value();  // Never answered.
    }
  });
  RequestService& holder = domain.AddVm("e1");
  RequestService& other = domain.AddVm("e2");
  const auto lost = Start(holder, PostKeyed("pay"));
  sent.get_future().get();
  domain.network.Kill("e1");
  const auto response = Wait(Start(other, PostKeyed("pay")));
  CHECK(response.status == 502);
  CHECK(FateOf(response) == "may-have-run");
  CHECK(domain.executors.calls() == 1);
}

TEST_CASE("a keyed request is refused at once if the log is unreachable") {
  TestDomain domain(&Echo);
  RequestService& service = domain.AddVm("e1");
  CHECK(Wait(Start(service, PostKeyed("early"))).status == 200);
  domain.log.SetMode(FakeLog::Mode::kUnreachable);
  const auto response = Wait(Start(service, PostKeyed("pay")));
  CHECK(response.status == 503);
  CHECK(FateOf(response) == "not-run");
  CHECK(ErrorOf(response) == "log_away");
  CHECK(!http::FindField(response.headers, "Retry-After").empty());
  CHECK(domain.executors.calls() == 1);
  // Repeats of a known key and requests without a key need no log.
  CHECK(Wait(Start(service, PostKeyed("early"))).body == "echo payload");
  CHECK(Wait(Start(service, Post())).status == 200);
}

TEST_CASE(
    "a claim that is confirmed too late is not used and can be repeated") {
  TestDomain domain(&Echo);
  RequestService& service = domain.AddVm("e1");
  domain.log.SetMode(FakeLog::Mode::kNoAnswer);
  const auto refused = Wait(Start(service, PostKeyed("pay")));
  CHECK(refused.status == 503);
  CHECK(FateOf(refused) == "not-run");
  domain.log.SetMode(FakeLog::Mode::kAvailable);
  domain.log.DeliverDelayed();
  // The late claim is ended as not-run, then the key can be claimed again.
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  http::HttpResponse response;
  do {
    response = Wait(Start(service, PostKeyed("pay")));
    CHECK((response.status == 200 || FateOf(response) == "not-run"));
  } while (response.status != 200 && std::chrono::steady_clock::now() < end);
  CHECK(response.status == 200);
  CHECK(domain.executors.calls() == 1);
}

}  // namespace azurespur::filters
