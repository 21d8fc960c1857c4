#include "load_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "arrivals.h"
#include "base/clock.h"
#include "input.h"
#include "request_call.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr int kAccepted = 202;
constexpr base::Millis kAnswerMargin{1000};
constexpr long kConnectionsPerServer = 512;
constexpr double kMicrosPerMilli = 1000;

std::unique_ptr<http::HttpClient> StartClient(const LoadOptions& options) {
  http::HttpClientOptions client;
  client.max_connections_per_host = kConnectionsPerServer;
  client.queue_size = options.max_in_flight * 2;
  return http::StartHttpClient(client);
}

http::HttpCall RequestCall(const LoadOptions& options,
                           const LoadOperation& operation) {
  RequestSpec spec;
  spec.plan = operation.plan;
  spec.key = operation.key;
  spec.non_idempotent = operation.non_idempotent;
  spec.deadline_ms = options.deadline_ms;
  spec.data = operation.sent;
  ApiCall api_call = MakeRequestCall(spec);
  http::HttpCall call;
  call.url = api_call.path;
  call.headers = std::move(api_call.headers);
  call.body = std::move(api_call.body);
  return call;
}

http::HttpCall TaskCall(const LoadOptions& options,
                        const LoadOperation& operation) {
  http::HttpCall call;
  call.url = "/v1/tasks";
  call.body = json{{"key", operation.key},
                   {"plan", operation.plan},
                   {"cpu_millis", options.cpu_millis},
                   {"memory_mb", options.memory_mb},
                   {"non_idempotent", operation.non_idempotent},
                   {"expected_ms", options.run_ms},
                   {"payload", "run_ms=" + std::to_string(options.run_ms)}}
                  .dump();
  return call;
}

void ReadTaskAnswer(LoadOperation& operation) {
  const json body = json::parse(operation.answer, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  operation.task_id = body.value("id", "");
  operation.fate =
      operation.status == kAccepted ? "accepted" : body.value("fate", "");
}

}  // namespace

LoadRun::LoadRun(const LoadOptions& options,
                 std::vector<std::string> servers,
                 HistoryWriter& history)
    : m_options(options),
      m_servers(std::move(servers)),
      m_history(history),
      m_run_id(NewId("load")),
      m_random(options.seed),
      m_http(StartClient(options)) {}

void LoadRun::Run() {
  const base::Millis period(m_options.swing_period_ms);
  Arrivals requests(
      {m_options.requests_per_s, m_options.swing, period, m_options.seed});
  Arrivals tasks(
      {m_options.tasks_per_s, m_options.swing, period, m_options.seed + 1});
  const base::Micros duration = base::Millis(m_options.duration_ms);
  const base::MonoTime start = base::SystemClock().Now();
  base::Micros next_request = requests.Next();
  base::Micros next_task = tasks.Next();
  while (std::min(next_request, next_task) < duration) {
    const bool is_request = next_request <= next_task;
    base::Micros& next = is_request ? next_request : next_task;
    std::this_thread::sleep_until(start + next);
    Start(is_request ? OperationKind::kRequest : OperationKind::kTask);
    next = is_request ? requests.Next() : tasks.Next();
  }
  std::unique_lock<std::mutex> lock(m_mutex);
  m_answered.wait(lock, [this] { return m_in_flight == 0; });
}

LoadOperation LoadRun::MakeOperation(OperationKind kind) {
  LoadOperation operation;
  operation.kind = kind;
  operation.key = m_run_id + "-" + std::to_string(m_sequence++);
  operation.plan = m_options.plans[m_random() % m_options.plans.size()];
  operation.non_idempotent =
      std::bernoulli_distribution(m_options.non_idempotent_share)(m_random);
  if (kind == OperationKind::kRequest) {
    json body = {{"key", operation.key}};
    if (m_options.service_ms > 0) {
      body["service_ms"] = m_options.service_ms;
    }
    operation.sent = body.dump();
  }
  return operation;
}

void LoadRun::Start(OperationKind kind) {
  auto operation = std::make_shared<LoadOperation>(MakeOperation(kind));
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_in_flight >= m_options.max_in_flight) {
      ++ResultFor(kind).skipped;
      return;
    }
    ++ResultFor(kind).sent;
    ++m_in_flight;
  }
  operation->begun = base::SystemClock().Now();
  Send(std::move(operation), m_sequence % m_servers.size(), m_servers.size());
}

// Goes on to the next server while nothing was sent.
void LoadRun::Send(std::shared_ptr<LoadOperation> operation,
                   size_t server,
                   size_t tries_left) {
  http::HttpCall call = operation->kind == OperationKind::kRequest
                            ? RequestCall(m_options, *operation)
                            : TaskCall(m_options, *operation);
  call.method = "POST";
  call.timeout = base::Millis(m_options.deadline_ms) + kAnswerMargin;
  call.connect_timeout = kAnswerMargin;
  call.url = "http://" + m_servers[server] + call.url;
  const bool queued = m_http->Send(
      std::move(call),
      [this, operation, server, tries_left](const http::HttpResult& result) {
        const bool nothing_sent =
            !base::Ok(result) &&
            base::GetError(result).code == base::ErrorCode::kUnavailable;
        if (nothing_sent && tries_left > 1) {
          Send(operation, (server + 1) % m_servers.size(), tries_left - 1);
          return;
        }
        Complete(*operation, result);
      });
  if (!queued) {
    Complete(*operation,
             base::Error{base::ErrorCode::kUnavailable, "queue is full"});
  }
}

void LoadRun::Complete(LoadOperation& operation,
                       const http::HttpResult& result) {
  operation.ended = base::SystemClock().Now();
  operation.answered_wall_ms = base::SystemClock().WallMillis();
  if (base::Ok(result)) {
    const http::HttpResponse& response = base::Value(result);
    operation.status = response.status;
    operation.answer = response.body;
    if (operation.kind == OperationKind::kRequest) {
      operation.fate = RequestFate(response);
    } else {
      ReadTaskAnswer(operation);
    }
  } else if (base::GetError(result).code == base::ErrorCode::kUnavailable) {
    operation.fate = "not-run";
  }
  const auto micros = std::chrono::duration<double, std::micro>(
      operation.ended - operation.begun);
  std::lock_guard<std::mutex> lock(m_mutex);
  LoadResult& counted = ResultFor(operation.kind);
  ++counted.fates[FateLabel(operation)];
  if (base::Ok(result)) {
    counted.latency.Add(micros.count() / kMicrosPerMilli);
  }
  const bool is_request = operation.kind == OperationKind::kRequest;
  if (is_request && operation.fate == "ran" && !AnswerBelongs(operation)) {
    ++counted.wrong_answers;
  }
  if (!is_request && operation.fate == "accepted") {
    m_accepted_tasks.push_back(operation.task_id);
  }
  m_history.AddAnswer(operation);
  --m_in_flight;
  m_answered.notify_all();
}

}  // namespace azurespur::cli
