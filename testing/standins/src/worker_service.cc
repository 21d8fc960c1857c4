#include "standins/worker_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/clock.h"
#include "standins/json_reader.h"
#include "standins/responses.h"

namespace azurespur::standins {

namespace {

constexpr base::Millis kStallTime{30'000};

int64_t NowMillis() {
  return base::SystemClock().WallMillis();
}

http::HttpResponse NotRunning(const std::string& id) {
  return ErrorResponse(404, "task \"" + id + "\" is not running");
}

}  // namespace

WorkerService::WorkerService(std::unique_ptr<Worker> worker,
                             int64_t report_lag_ms,
                             uint64_t seed,
                             Timer& timer)
    : m_timer(timer),
      m_default_report_lag_ms(report_lag_ms),
      m_worker(std::move(worker)),
      m_random(seed) {
  m_faults.report_lag_ms = report_lag_ms;
}

void WorkerService::Handle(http::HttpRequest request,
                           std::shared_ptr<Reply> reply) {
  const base::Millis delay(Faults().delay_ms);
  m_timer.After(
      delay, [this, request = std::move(request), reply = std::move(reply)] {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_faults.down) {
          reply->Abort();
          return;
        }
        http::HttpResponse response = Perform(request);
        const bool lost =
            request.method == "POST" && Happens(m_faults.lose_answer_share);
        const bool stall = lost && Happens(0.5);
        lock.unlock();
        if (!lost) {
          reply->Send(std::move(response));
        } else if (stall) {
          m_timer.After(kStallTime, [reply] { reply->Abort(); });
        } else {
          reply->Abort();
        }
      });
}

std::optional<std::string> WorkerService::SetFaults(const std::string& body) {
  WorkerFaults faults;
  faults.report_lag_ms = m_default_report_lag_ms;
  JsonReader reader(body);
  reader.Read("fail_starts", faults.fail_starts)
      .Read("lose_answer_share", faults.lose_answer_share)
      .Read("delay_ms", faults.delay_ms)
      .Read("report_lag_ms", faults.report_lag_ms)
      .Read("down", faults.down);
  if (auto error = reader.Finish()) {
    return error;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  if (faults.down && !m_faults.down) {
    m_worker->Restart("down", NowMillis());
  }
  m_faults = faults;
  return std::nullopt;
}

WorkerFaults WorkerService::Faults() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_faults;
}

void WorkerService::Restart() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_worker->Restart("restart", NowMillis());
}

void WorkerService::Advance() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_worker->Advance(NowMillis());
}

http::HttpResponse WorkerService::Perform(const http::HttpRequest& request) {
  const std::vector<std::string> path = PathSegments(request.path);
  if (request.method == "GET" && path.size() == 1 && path[0] == "report") {
    return JsonResponse(m_worker->Report(m_faults.report_lag_ms, NowMillis()));
  }
  if (request.method != "POST") {
    return UnknownPath(request);
  }
  if (path.size() == 1 && path[0] == "tasks") {
    return PerformStart(request.body);
  }
  if (path.size() == 1 && path[0] == "renew") {
    return PerformRenew(request.body);
  }
  if (path.size() == 3 && path[0] == "tasks") {
    return PerformOnTask(path[1], path[2]);
  }
  return UnknownPath(request);
}

http::HttpResponse WorkerService::PerformStart(const std::string& body) {
  TaskSpec spec;
  JsonReader reader(body);
  reader.Require("id").Require("lease_ms");
  reader.Read("id", spec.id)
      .Read("cpu_millis", spec.cpu_millis)
      .Read("memory_mb", spec.memory_mb)
      .Read("accelerators", spec.accelerators)
      .Read("lease_ms", spec.lease_ms)
      .Read("throttled", spec.throttled)
      .Read("payload", spec.payload);
  if (const auto error = reader.Finish()) {
    return ErrorResponse(400, *error);
  }
  if (m_faults.fail_starts) {
    return ErrorResponse(500, "task \"" + spec.id + "\" failed to start");
  }
  if (!m_worker->Start(spec, NowMillis())) {
    return ErrorResponse(409, "task \"" + spec.id + "\" is known");
  }
  return JsonResponse("{}");
}

http::HttpResponse WorkerService::PerformRenew(const std::string& body) {
  int64_t lease_ms = 0;
  std::vector<std::string> ids;
  JsonReader reader(body);
  reader.Require("lease_ms").Require("ids");
  reader.Read("lease_ms", lease_ms).Read("ids", ids);
  if (const auto error = reader.Finish()) {
    return ErrorResponse(400, *error);
  }
  const nlohmann::json answer = {
      {"unknown", m_worker->Renew(ids, lease_ms, NowMillis())}};
  return JsonResponse(
      answer.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
}

http::HttpResponse WorkerService::PerformOnTask(const std::string& id,
                                                const std::string& verb) {
  if (verb == "release") {
    return m_worker->Release(id, NowMillis()) ? JsonResponse("{}")
                                              : NotRunning(id);
  }
  if (verb == "throttle") {
    return m_worker->Throttle(id, NowMillis()) ? JsonResponse("{}")
                                               : NotRunning(id);
  }
  if (verb == "checkpoint") {
    const auto checkpoint = m_worker->Checkpoint(id, NowMillis());
    return checkpoint ? JsonResponse(
                            nlohmann::json{{"checkpoint", *checkpoint}}.dump())
                      : NotRunning(id);
  }
  if (verb == "stop") {
    const Worker::StopAnswer answer = m_worker->Stop(id, NowMillis());
    return JsonResponse(nlohmann::json{
        {"known", answer.known},
        {"released",
         answer.released}}.dump());
  }
  return ErrorResponse(404, "verb \"" + verb + "\" is unknown");
}

bool WorkerService::Happens(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

}  // namespace azurespur::standins
