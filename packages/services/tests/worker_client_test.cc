#include "services/worker_client.h"

#include <doctest/doctest.h>

#include <future>
#include <string>

#include "http/http_client.h"
#include "http/http_server.h"

namespace azurespur::services {

namespace {

constexpr std::string_view kReport =
    R"({"boot":"b1","made_ms":5,"tasks":[{"id":"t","state":"running",)"
    R"("released":true,"cpu_millis":7,"memory_mb":8,"accelerators":1,)"
    R"("lease_left_ms":9,"exit":0,"result":""}]})";

// A worker that gives one answer and keeps the request.
class OneAnswerWorker {
 public:
  OneAnswerWorker(int status, std::string body) {
    auto started = http::StartHttpServer(
        {}, [this, status, body](http::HttpRequest request,
                                 std::shared_ptr<http::HttpReply> reply) {
          m_request = std::move(request);
          reply->Send({status, body, "application/json", {}});
        });
    REQUIRE(base::Ok(started));
    m_server = std::move(base::Value(started));
    m_http = http::StartHttpClient();
    m_client = MakeHttpWorkerClient(*m_http, base::Millis(5000));
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_server->port());
  }
  WorkerClient& client() { return *m_client; }
  const http::HttpRequest& request() const { return m_request; }

 private:
  http::HttpRequest m_request;
  std::unique_ptr<http::HttpServer> m_server;
  std::unique_ptr<http::HttpClient> m_http;
  std::unique_ptr<WorkerClient> m_client;
};

// Makes a call and waits for its answer.
template <typename T, typename Call>
base::Outcome<T> Wait(Call call) {
  std::promise<base::Outcome<T>> promise;
  REQUIRE(call([&promise](base::Outcome<T> result) {
    promise.set_value(std::move(result));
  }));
  return promise.get_future().get();
}

}  // namespace

TEST_CASE("a report is read whole") {
  OneAnswerWorker worker(200, std::string(kReport));
  const auto result = Wait<WorkerReport>([&](auto done) {
    return worker.client().Report(worker.address(), done);
  });
  REQUIRE(base::Ok(result));
  const WorkerReport& report = base::Value(result);
  CHECK(report.boot == "b1");
  CHECK(report.made_ms == 5);
  REQUIRE(report.tasks.size() == 1);
  CHECK(report.tasks[0].state == WorkerTaskState::kRunning);
  CHECK(report.tasks[0].released);
  CHECK(report.tasks[0].lease_left_ms == 9);
}

TEST_CASE("a report that is not whole is an unknown answer") {
  for (const char* body : {"", "{}", R"({"boot":"b","made_ms":1,"tasks":[{}]})",
                           R"({"boot":"b","made_ms":1,"tasks":[{"id":"t",)"
                           R"("state":"asleep","released":true}]})"}) {
    OneAnswerWorker worker(200, body);
    const auto result = Wait<WorkerReport>([&](auto done) {
      return worker.client().Report(worker.address(), done);
    });
    REQUIRE_FALSE(base::Ok(result));
    CHECK(base::GetError(result).code == base::ErrorCode::kUnknown);
  }
}

TEST_CASE("a start says whether the id was known or the worker failed it") {
  const auto start = [](OneAnswerWorker& worker) {
    return Wait<base::Unit>([&](auto done) {
      WorkerStart task;
      task.id = "t";
      return worker.client().Start(worker.address(), task, done);
    });
  };
  OneAnswerWorker good(200, "{}");
  CHECK(base::Ok(start(good)));
  CHECK(good.request().body.find(R"("throttled":true)") != std::string::npos);
  OneAnswerWorker known(409, "{}");
  CHECK(base::GetError(start(known)).code == base::ErrorCode::kConflict);
  OneAnswerWorker failed(500, "{}");
  CHECK(base::GetError(start(failed)).code == base::ErrorCode::kInvalid);
}

// Guards against a task that runs twice: a start that something between
// answered, or whose answer has no meaning here, counted as not carried out.
TEST_CASE("a start has an unknown outcome after a status that promises none") {
  for (int status : {202, 302, 403, 408, 421, 502, 504}) {
    CAPTURE(status);
    OneAnswerWorker worker(status, "{}");
    const auto result = Wait<base::Unit>([&](auto done) {
      return worker.client().Start(worker.address(), {}, done);
    });
    REQUIRE(!base::Ok(result));
    CHECK(base::GetError(result).code == base::ErrorCode::kUnknown);
  }
}

TEST_CASE("a stop tells whether the task ran and was released") {
  OneAnswerWorker worker(200, R"({"known":true,"released":false})");
  const auto result = Wait<WorkerStop>([&](auto done) {
    return worker.client().Stop(worker.address(), "a/b~1~0", done);
  });
  REQUIRE(base::Ok(result));
  CHECK(base::Value(result).known);
  CHECK_FALSE(base::Value(result).released);
  CHECK(worker.request().path == "/tasks/a%2Fb~1~0/stop");
}

TEST_CASE("a renewal names the ids that do not run") {
  OneAnswerWorker worker(200, R"({"unknown":["u"]})");
  const auto result = Wait<std::vector<std::string>>([&](auto done) {
    return worker.client().Renew(worker.address(), base::Millis(10), {"t", "u"},
                                 done);
  });
  REQUIRE(base::Ok(result));
  CHECK(base::Value(result) == std::vector<std::string>{"u"});
}

}  // namespace azurespur::services
