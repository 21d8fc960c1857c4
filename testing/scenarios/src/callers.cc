#include "scenario/callers.h"

#include <future>
#include <utility>

namespace azurespur::scenario {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{15'000};

nlohmann::json ParseObject(const std::string& text) {
  auto parsed = nlohmann::json::parse(text, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

// Nothing was sent: the same as a refusal before the work.
std::string FateWithoutAnswer(const base::Error& error,
                              const std::string& otherwise) {
  return error.code == base::ErrorCode::kUnavailable ? "not-run" : otherwise;
}

}  // namespace

Callers::Callers(Cell& cell, CallerJournal& journal, uint64_t seed)
    : m_cell(cell), m_journal(journal), m_seed(seed) {}

std::string Callers::NewKey() {
  return "s" + std::to_string(m_seed) + "-" +
         std::to_string(m_next_key.fetch_add(1));
}

void Callers::Send(const std::string& entry,
                   http::HttpCall call,
                   http::HttpClient::Callback done) {
  const auto address = m_cell.EntryAddress(entry);
  if (!address) {
    done(base::Error{base::ErrorCode::kUnavailable,
                     "entry " + entry + " does not run"});
    return;
  }
  call.url = "http://" + *address + call.url;
  auto shared = std::make_shared<http::HttpClient::Callback>(std::move(done));
  const bool queued = m_cell.client().Send(
      std::move(call),
      [shared](http::HttpResult result) { (*shared)(std::move(result)); });
  if (!queued) {
    (*shared)(base::Error{base::ErrorCode::kUnavailable, "queue is full"});
  }
}

void Callers::Request(const std::string& entry,
                      const RequestOptions& options,
                      Done done) {
  const std::string key = options.key.empty() ? NewKey() : options.key;
  const std::string sending =
      key + "#" + std::to_string(m_next_sending.fetch_add(1));
  nlohmann::json body = {{"key", key}};
  if (options.service_ms) {
    body["service_ms"] = *options.service_ms;
  }
  http::HttpCall call;
  call.method = "POST";
  call.url = "/v1/requests";
  call.body = body.dump();
  call.timeout = options.timeout;
  call.headers = {
      {"Azurespur-Plan", options.plan},
      {"Azurespur-Key", key},
      {"Azurespur-Request-Id", sending},
      {"Azurespur-Non-Idempotent", options.non_idempotent ? "1" : "0"}};
  if (options.deadline_ms) {
    call.headers.push_back(
        {"Azurespur-Deadline-Ms", std::to_string(*options.deadline_ms)});
  }
  const base::MonoTime begin = base::SystemClock().Now();
  Send(entry, std::move(call),
       [this, key, sending, begin, sent = body.dump(),
        once = options.non_idempotent,
        done = std::move(done)](http::HttpResult result) {
         nlohmann::json answer = {{"status", 0}, {"key", key}};
         std::string text;
         if (base::Ok(result)) {
           const http::HttpResponse& response = base::Value(result);
           answer["status"] = response.status;
           answer["fate"] = http::FindField(response.headers, "Azurespur-Fate");
           answer["executor"] =
               http::FindField(response.headers, "Azurespur-Executor");
           answer["body"] = response.body;
           text = response.body;
         } else {
           answer["fate"] = "";
           answer["error"] = base::GetError(result).message;
         }
         answer["ms"] = base::MillisBetween(begin, base::SystemClock().Now());
         m_journal.Add({{"event", "request-answer"},
                        {"sending", sending},
                        {"key", key},
                        {"fate", answer["fate"]},
                        {"status", answer["status"]},
                        {"ms", answer["ms"]},
                        {"non_idempotent", once},
                        {"sent", sent},
                        {"answer", text}});
         done(std::move(answer));
       });
}

void Callers::Submit(const std::string& entry, nlohmann::json task, Done done) {
  if (!task.contains("key")) {
    task["key"] = NewKey();
  }
  const std::string id =
      "k." + task.value("plan", "") + "." + task["key"].get<std::string>();
  const bool once = task.value("non_idempotent", false);
  http::HttpCall call;
  call.method = "POST";
  call.url = "/v1/tasks";
  call.body = task.dump();
  call.timeout = kCallTimeout;
  const base::MonoTime begin = base::SystemClock().Now();
  Send(
      entry, std::move(call),
      [this, id, once, begin, done = std::move(done)](http::HttpResult result) {
        nlohmann::json answer = nlohmann::json::object();
        if (base::Ok(result)) {
          answer = ParseObject(base::Value(result).body);
          answer["status"] = base::Value(result).status;
        } else {
          answer["status"] = 0;
          answer["fate"] =
              FateWithoutAnswer(base::GetError(result), "may-be-accepted");
          answer["error"] = base::GetError(result).message;
        }
        answer["id"] = id;
        answer["ms"] = base::MillisBetween(begin, base::SystemClock().Now());
        m_journal.Add({{"event", "task-answer"},
                       {"task", id},
                       {"accepted", answer["status"] == 202},
                       {"fate", answer.value("fate", "")},
                       {"non_idempotent", once}});
        done(std::move(answer));
      });
}

nlohmann::json Callers::Call(const std::string& entry,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body) {
  std::promise<nlohmann::json> promise;
  http::HttpCall call;
  call.method = method;
  call.url = path;
  call.body = body;
  call.timeout = kCallTimeout;
  Send(entry, std::move(call), [&promise](http::HttpResult result) {
    nlohmann::json answer = {{"status", 0}};
    if (base::Ok(result)) {
      const http::HttpResponse& response = base::Value(result);
      answer["status"] = response.status;
      auto parsed = nlohmann::json::parse(response.body, nullptr, false);
      answer["body"] =
          parsed.is_discarded() ? nlohmann::json(response.body) : parsed;
    } else {
      answer["error"] = base::GetError(result).message;
    }
    promise.set_value(std::move(answer));
  });
  return promise.get_future().get();
}

nlohmann::json Callers::Fate(const std::string& entry,
                             const std::string& task) {
  nlohmann::json answer =
      Call(entry, "GET", "/v1/tasks/" + http::UrlEscape(task), "");
  nlohmann::json fate = answer.value("body", nlohmann::json::object());
  if (!fate.is_object()) {
    fate = nlohmann::json::object();
  }
  fate["status"] = answer["status"];
  if (fate.contains("fate")) {
    m_journal.Add({{"event", "task-fate"},
                   {"task", task},
                   {"fate", fate["fate"]},
                   {"vm", entry}});
  }
  return fate;
}

nlohmann::json Callers::Publish(const std::string& entry,
                                const std::string& list,
                                const nlohmann::json& rows,
                                std::optional<uint64_t> base_version) {
  const std::string path = "/v1/lists/" + list;
  if (!base_version) {
    const nlohmann::json current = Call(entry, "GET", path, "");
    base_version = 0;
    if (current["status"] == 200 && current["body"].is_object()) {
      base_version = current["body"].value("version", uint64_t{0});
    }
  }
  const nlohmann::json body = {{"base_version", *base_version},
                               {"author", "scenario"},
                               {"content", {{list, rows}}}};
  nlohmann::json answer = Call(entry, "POST", path, body.dump());
  nlohmann::json result = answer.value("body", nlohmann::json::object());
  if (!result.is_object()) {
    result = {{"text", result}};
  }
  result["status"] = answer["status"];
  return result;
}

}  // namespace azurespur::scenario
