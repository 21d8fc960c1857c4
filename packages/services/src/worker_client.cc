#include "services/worker_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "http/http_client.h"

namespace azurespur::services {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusFailed = 500;  // "The task failed to start."
constexpr int kStatusUnavailable = 503;

base::Error Malformed(const std::string& url) {
  return {base::ErrorCode::kUnknown,
          "the answer of " + url + " is not the expected JSON"};
}

base::Error StatusError(int status, const std::string& url) {
  const std::string message =
      url + " answered status " + std::to_string(status);
  if (status == kStatusNotFound) {
    return {base::ErrorCode::kNotFound, message};
  }
  if (status == kStatusConflict) {
    return {base::ErrorCode::kConflict, message};
  }
  const bool refused = status == kStatusBadRequest ||
                       status == kStatusTooManyRequests ||
                       status == kStatusFailed || status == kStatusUnavailable;
  // Any other status may come from something in between, after the worker
  // carried the call out.
  return {refused ? base::ErrorCode::kInvalid : base::ErrorCode::kUnknown,
          message};
}

std::optional<WorkerTaskState> ParseState(const std::string& name) {
  if (name == "throttled") {
    return WorkerTaskState::kThrottled;
  }
  if (name == "running") {
    return WorkerTaskState::kRunning;
  }
  if (name == "finished") {
    return WorkerTaskState::kFinished;
  }
  if (name == "failed") {
    return WorkerTaskState::kFailed;
  }
  if (name == "stopped") {
    return WorkerTaskState::kStopped;
  }
  if (name == "lapsed") {
    return WorkerTaskState::kLapsed;
  }
  return std::nullopt;
}

// The parsers throw nlohmann exceptions, which Answer() turns into errors.

WorkerTask ParseTask(const Json& json) {
  WorkerTask task;
  task.id = json.at("id").get<std::string>();
  const auto state = ParseState(json.at("state").get<std::string>());
  if (!state) {
    throw Json::other_error::create(501, "unknown state", &json);
  }
  task.state = *state;
  task.released = json.at("released").get<bool>();
  task.cpu_millis = json.value("cpu_millis", int64_t{0});
  task.memory_mb = json.value("memory_mb", int64_t{0});
  task.accelerators = json.value("accelerators", int64_t{0});
  task.lease_left_ms = json.value("lease_left_ms", int64_t{0});
  task.exit = json.value("exit", 0);
  task.result = json.value("result", std::string());
  return task;
}

WorkerReport ParseReport(const Json& json) {
  WorkerReport report;
  report.boot = json.at("boot").get<std::string>();
  report.made_ms = json.at("made_ms").get<int64_t>();
  for (const Json& task : json.at("tasks")) {
    report.tasks.push_back(ParseTask(task));
  }
  return report;
}

base::Unit ParseNothing(const Json&) {
  return {};
}

std::vector<std::string> ParseUnknownIds(const Json& json) {
  return json.at("unknown").get<std::vector<std::string>>();
}

std::string ParseCheckpoint(const Json& json) {
  return json.at("checkpoint").get<std::string>();
}

WorkerStop ParseStop(const Json& json) {
  return {json.at("known").get<bool>(), json.at("released").get<bool>()};
}

template <typename T>
base::Outcome<T> Answer(http::HttpResult result,
                        const std::string& url,
                        T (*parse)(const Json&)) {
  if (!base::Ok(result)) {
    return base::GetError(result);
  }
  const http::HttpResponse& response = base::Value(result);
  if (response.status != kStatusOk) {
    return StatusError(response.status, url);
  }
  try {
    return parse(Json::parse(response.body));
  } catch (const Json::exception&) {
    return Malformed(url);
  }
}

class HttpWorkerClient : public WorkerClient {
 public:
  HttpWorkerClient(http::HttpClient& client, base::Millis timeout)
      : m_client(client), m_timeout(timeout) {}

  bool Start(std::string_view address,
             WorkerStart start,
             Done<base::Unit> done) override {
    const Json body = {{"id", start.id},
                       {"cpu_millis", start.cpu_millis},
                       {"memory_mb", start.memory_mb},
                       {"accelerators", start.accelerators},
                       {"lease_ms", start.lease.count()},
                       {"throttled", start.throttled},
                       {"payload", start.payload}};
    return Call<base::Unit>("POST", address, "/tasks", body.dump(),
                            ParseNothing, std::move(done));
  }

  bool Renew(std::string_view address,
             base::Millis lease,
             std::vector<std::string> ids,
             Done<std::vector<std::string>> done) override {
    const Json body = {{"lease_ms", lease.count()}, {"ids", std::move(ids)}};
    return Call<std::vector<std::string>>("POST", address, "/renew",
                                          body.dump(), ParseUnknownIds,
                                          std::move(done));
  }

  bool Release(std::string_view address,
               std::string_view id,
               Done<base::Unit> done) override {
    return TaskVerb<base::Unit>(address, id, "release", ParseNothing,
                                std::move(done));
  }

  bool Throttle(std::string_view address,
                std::string_view id,
                Done<base::Unit> done) override {
    return TaskVerb<base::Unit>(address, id, "throttle", ParseNothing,
                                std::move(done));
  }

  bool Checkpoint(std::string_view address,
                  std::string_view id,
                  Done<std::string> done) override {
    return TaskVerb<std::string>(address, id, "checkpoint", ParseCheckpoint,
                                 std::move(done));
  }

  bool Stop(std::string_view address,
            std::string_view id,
            Done<WorkerStop> done) override {
    return TaskVerb<WorkerStop>(address, id, "stop", ParseStop,
                                std::move(done));
  }

  bool Report(std::string_view address, Done<WorkerReport> done) override {
    return Call<WorkerReport>("GET", address, "/report", {}, ParseReport,
                              std::move(done));
  }

 private:
  template <typename T>
  bool TaskVerb(std::string_view address,
                std::string_view id,
                std::string_view verb,
                T (*parse)(const Json&),
                Done<T> done) {
    const std::string path =
        "/tasks/" + http::UrlEscape(id) + "/" + std::string(verb);
    return Call<T>("POST", address, path, "{}", parse, std::move(done));
  }

  template <typename T>
  bool Call(std::string_view method,
            std::string_view address,
            const std::string& path,
            std::string body,
            T (*parse)(const Json&),
            Done<T> done) {
    http::HttpCall call;
    call.method = method;
    call.url = "http://" + std::string(address) + path;
    call.body = std::move(body);
    call.timeout = m_timeout;
    call.connect_timeout = m_timeout;
    call.repeatable = method == "GET";
    std::string url = call.url;
    return m_client.Send(std::move(call),
                         [url = std::move(url), parse,
                          done = std::move(done)](http::HttpResult result) {
                           done(Answer<T>(std::move(result), url, parse));
                         });
  }

  http::HttpClient& m_client;
  const base::Millis m_timeout;
};

}  // namespace

std::unique_ptr<WorkerClient> MakeHttpWorkerClient(http::HttpClient& client,
                                                   base::Millis timeout) {
  return std::make_unique<HttpWorkerClient>(client, timeout);
}

}  // namespace azurespur::services
