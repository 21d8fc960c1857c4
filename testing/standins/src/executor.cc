#include "standins/executor.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/json_reader.h"
#include "standins/responses.h"

namespace azurespur::standins {

namespace {

constexpr const char* kRequestIdHeader = "Azurespur-Request-Id";
constexpr base::Millis kMaxHoldTime{500};

std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

}  // namespace

Executor::Executor(std::string id,
                   unsigned slots,
                   const ServiceTimeOptions& times,
                   uint64_t seed,
                   Timer& timer,
                   Journal& journal)
    : m_id(std::move(id)),
      m_slots(slots),
      m_timer(timer),
      m_journal(journal),
      m_times(times, seed) {}

void Executor::Handle(http::HttpRequest request, std::shared_ptr<Reply> reply) {
  if (request.method != "POST" || request.path != "/run") {
    reply->Send(UnknownPath(request));
    return;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_faults.down) {
    reply->Abort();
    return;
  }
  Job job = MakeJob(request, std::move(reply));
  if (m_faults.leaving) {
    Record("refuse", job);
    http::HttpResponse response = ErrorResponse(503, "leaving");
    response.headers.push_back({"Azurespur-Leaving", "1"});
    job.reply->Send(std::move(response));
    return;
  }
  Record("receive", job);
  if (m_running.size() < m_slots) {
    Begin(std::move(job));
  } else {
    Record("excess", job);
    m_queue.push_back(std::move(job));
  }
}

std::optional<std::string> Executor::SetFaults(const std::string& body) {
  ExecutorFaults faults;
  JsonReader reader(body);
  reader.Read("leaving", faults.leaving)
      .Read("fail_share", faults.fail_share)
      .Read("cut_answer_share", faults.cut_answer_share)
      .Read("delay_ms", faults.delay_ms)
      .Read("down", faults.down)
      .Read("cross_answers", faults.cross_answers);
  if (auto error = reader.Finish()) {
    return error;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  if (faults.down && !m_faults.down) {
    LoseAll();
  }
  m_faults = faults;
  return std::nullopt;
}

ExecutorFaults Executor::Faults() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_faults;
}

Executor::Job Executor::MakeJob(const http::HttpRequest& request,
                                std::shared_ptr<Reply> reply) {
  Job job;
  job.number = m_next_number++;
  job.request_id = http::FindField(request.headers, kRequestIdHeader);
  job.service = m_times.Next();
  job.reply = std::move(reply);
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  if (body.is_object()) {
    const auto service = body.find("service_ms");
    if (service != body.end() && service->is_number_unsigned()) {
      job.service = base::Millis(service->get<int64_t>());
    }
    const auto key = body.find("key");
    if (key != body.end() && key->is_string()) {
      job.key = key->get<std::string>();
    }
  }
  if (job.key.empty()) {
    job.key = std::to_string(std::hash<std::string>()(request.body));
  }
  job.answer = R"({"request_id":)" + Quote(job.request_id) + R"(,"executor":)" +
               Quote(m_id) + R"(,"echo":)" +
               (body.is_discarded() ? Quote(request.body) : request.body) + "}";
  return job;
}

void Executor::Begin(Job job) {
  const uint64_t number = job.number;
  const base::MonoTime due = base::SystemClock().Now() + job.service;
  const Job& begun = m_running[number] = std::move(job);
  Record("begin", begun);
  m_timer.At(due, [this, number] { End(number); });
}

void Executor::End(uint64_t number) {
  std::lock_guard<std::mutex> lock(m_mutex);
  auto node = m_running.extract(number);
  if (node.empty()) {
    return;  // The VM went down meanwhile.
  }
  if (!m_queue.empty()) {
    Job next = std::move(m_queue.front());
    m_queue.pop_front();
    Begin(std::move(next));
  }
  SendAnswer(std::move(node.mapped()));
}

void Executor::SendAnswer(Job job) {
  if (m_times.Happens(m_faults.fail_share)) {
    Record("end", job, "failed");
    job.reply->Send(ErrorResponse(500, "failed on request"));
    return;
  }
  const bool cut = m_times.Happens(m_faults.cut_answer_share);
  Record("end", job,
         cut                      ? "cut"
         : m_faults.cross_answers ? "crossed"
                                  : "whole");
  Answer answer{job.request_id, job.answer, job.reply};
  if (m_faults.cross_answers) {
    Cross(std::move(answer));
  } else {
    Dispatch(std::move(answer), cut);
  }
}

// Every second answer takes the place of the one before it, and the reverse.
void Executor::Cross(Answer answer) {
  if (m_held) {
    Answer held = *std::exchange(m_held, std::nullopt);
    std::swap(held.reply, answer.reply);
    Dispatch(std::move(held), false);
    Dispatch(std::move(answer), false);
    return;
  }
  m_held = std::move(answer);
  m_timer.After(kMaxHoldTime, [this] { FlushHeldAnswer(); });
}

void Executor::FlushHeldAnswer() {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_held) {
    Dispatch(*std::exchange(m_held, std::nullopt), false);
  }
}

void Executor::Dispatch(Answer answer, bool cut) {
  m_timer.After(
      base::Millis(m_faults.delay_ms), [answer = std::move(answer), cut] {
        http::HttpResponse response = JsonResponse(answer.body);
        response.headers.push_back({kRequestIdHeader, answer.request_id});
        if (cut) {
          answer.reply->SendTruncated(std::move(response));
        } else {
          answer.reply->Send(std::move(response));
        }
      });
}

void Executor::LoseAll() {
  for (const auto& [number, job] : m_running) {
    Record("end", job, "down");
  }
  m_running.clear();
  m_queue.clear();
  m_held.reset();
}

void Executor::Record(std::string_view event,
                      const Job& job,
                      std::string_view answer) {
  std::string line = R"({"time_ms":)" +
                     std::to_string(base::SystemClock().WallMillis()) +
                     R"(,"executor":)" + Quote(m_id) + R"(,"event":")";
  line += event;
  line += R"(","request":)" + Quote(job.request_id) + R"(,"key":)" +
          Quote(job.key) + R"(,"number":)" + std::to_string(job.number) +
          R"(,"in_use":)" + std::to_string(m_running.size()) + R"(,"queued":)" +
          std::to_string(m_queue.size());
  if (!answer.empty()) {
    line += R"(,"answer":")";
    line += answer;
    line += '"';
  }
  m_journal.Add(line + "}");
}

}  // namespace azurespur::standins
