#include "control/task_api.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "control/lists_view.h"
#include "control/task_request.h"
#include "control/task_service.h"

namespace azurespur::control {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kTasksPath = "/v1/tasks";
constexpr std::string_view kCancelPath = "/v1/tasks/cancel";
constexpr const char* kRetryAfterSeconds = "2";
constexpr size_t kMaxListed = 1000;
constexpr size_t kMaxCancelled = 4096;

Json ToJson(const TaskFate& fate) {
  Json json = {{"id", fate.id},         {"fate", fate.fate},
               {"domain", fate.domain}, {"workers", fate.workers},
               {"reason", fate.reason}, {"result", fate.result}};
  if (fate.cancel_requested) {
    json["cancel_requested"] = true;
  }
  return json;
}

void Answer(http::HttpReply& reply, int status, const Json& json) {
  http::HttpResponse response;
  response.status = status;
  response.body =
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  if (status == 503) {
    response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  }
  reply.Send(std::move(response));
}

void AnswerError(http::HttpReply& reply,
                 const base::Error& error,
                 std::string_view id) {
  Json json = {{"error", error.message}};
  if (!id.empty()) {
    json["id"] = id;
  }
  switch (error.code) {
    case base::ErrorCode::kUnknown:
      json["fate"] = "may-be-accepted";
      return Answer(reply, 504, json);
    case base::ErrorCode::kConflict:
      return Answer(reply, 409, json);
    case base::ErrorCode::kNotFound:
      return Answer(reply, 404, json);
    case base::ErrorCode::kInvalid:
      json["fate"] = "not-run";
      return Answer(reply, 400, json);
    case base::ErrorCode::kUnavailable:
    case base::ErrorCode::kExhausted:
      json["fate"] = "not-run";
      return Answer(reply, 503, json);
  }
}

}  // namespace

TaskApi::TaskApi(TaskService& tasks, const ListsView& lists)
    : m_tasks(tasks), m_lists(lists) {}

bool TaskApi::Handle(const http::HttpRequest& request,
                     std::shared_ptr<http::HttpReply> reply) {
  if (!request.path.starts_with(kTasksPath)) {
    return false;
  }
  const std::string rest = request.path.substr(kTasksPath.size());
  if (rest.empty() && request.method == "POST") {
    Submit(request, std::move(reply));
    return true;
  }
  if (rest.empty() && request.method == "GET") {
    List(request, *reply);
    return true;
  }
  if (request.path == kCancelPath && request.method == "POST") {
    Cancel(request, std::move(reply));
    return true;
  }
  if (rest.size() < 2 || rest.front() != '/') {
    return false;
  }
  const std::string id = http::UrlUnescape(rest.substr(1));
  if (request.method == "GET") {
    m_tasks.FindFate(id, [reply](const TaskFate& fate) {
      Answer(*reply, fate.known ? 200 : 404, ToJson(fate));
    });
    return true;
  }
  if (request.method == "DELETE") {
    m_tasks.Cancel({id}, [reply, id](const base::Outcome<base::Unit>& result) {
      if (base::Ok(result)) {
        Answer(*reply, 202, {{"id", id}, {"cancel", "recorded"}});
      } else {
        AnswerError(*reply, base::GetError(result), id);
      }
    });
    return true;
  }
  Answer(*reply, 405,
         {{"error",
           "method " + request.method + " does not exist on " + request.path}});
  return true;
}

void TaskApi::Submit(const http::HttpRequest& request,
                     std::shared_ptr<http::HttpReply> reply) {
  base::Outcome<TaskSpec> parsed = ParseTaskRequest(request.body);
  if (!base::Ok(parsed)) {
    AnswerError(*reply, base::GetError(parsed), {});
    return;
  }
  TaskSpec spec = std::move(base::Value(parsed));
  if (spec.id.empty()) {
    spec.id = m_tasks.NewId();
  }
  const std::string id = spec.id;
  m_tasks.Submit(std::move(spec),
                 [reply, id](const base::Outcome<TaskFate>& result) {
                   if (base::Ok(result)) {
                     Answer(*reply, 202, ToJson(base::Value(result)));
                   } else {
                     AnswerError(*reply, base::GetError(result), id);
                   }
                 });
}

void TaskApi::Cancel(const http::HttpRequest& request,
                     std::shared_ptr<http::HttpReply> reply) {
  const Json json = Json::parse(request.body, nullptr, false);
  const bool listed = json.is_object() && json.contains("ids") &&
                      json["ids"].is_array() &&
                      json["ids"].size() <= kMaxCancelled;
  if (!listed) {
    Answer(*reply, 400,
           {{"error", "field \"ids\": is not an array of at most " +
                          std::to_string(kMaxCancelled) + " ids"}});
    return;
  }
  std::vector<std::string> ids;
  for (const Json& id : json["ids"]) {
    if (!id.is_string()) {
      Answer(*reply, 400,
             {{"error",
               "field \"ids\": value " + id.dump() + " is not a string"}});
      return;
    }
    ids.push_back(id.get<std::string>());
  }
  const size_t count = ids.size();
  m_tasks.Cancel(
      std::move(ids), [reply, count](const base::Outcome<base::Unit>& result) {
        if (base::Ok(result)) {
          Answer(*reply, 202, {{"cancel", "recorded"}, {"ids", count}});
        } else {
          AnswerError(*reply, base::GetError(result), {});
        }
      });
}

void TaskApi::List(const http::HttpRequest& request, http::HttpReply& reply) {
  Json tasks = Json::array();
  for (const TaskFate& fate :
       m_tasks.List(http::FindField(request.query, "state"), kMaxListed)) {
    tasks.push_back(ToJson(fate));
  }
  Answer(reply, 200, {{"tasks", std::move(tasks)}});
}

}  // namespace azurespur::control
