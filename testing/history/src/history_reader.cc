#include "history/history_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace azurespur::history {

namespace {

using Json = nlohmann::json;

template <typename T>
T Get(const Json& line, const char* field) {
  const auto it = line.find(field);
  if (it == line.end()) {
    return T();
  }
  if constexpr (std::is_same_v<T, std::string>) {
    return it->is_string() ? it->template get<std::string>() : T();
  } else if constexpr (std::is_same_v<T, bool>) {
    return it->is_boolean() && it->template get<bool>();
  } else {
    return it->is_number_integer() ? it->template get<T>() : T();
  }
}

std::string Text(const Json& line, const char* field) {
  return Get<std::string>(line, field);
}

int64_t Number(const Json& line, const char* field) {
  return Get<int64_t>(line, field);
}

void AddWorkerEvent(const Json& line, History& history) {
  history.worker_events.push_back(
      {.time_ms = Number(line, "time_ms"),
       .worker = Text(line, "worker"),
       .event = Text(line, "event"),
       .reason = Text(line, "reason"),
       .run = Text(line, "task"),
       .cpu_millis = Number(line, "cpu_millis"),
       .memory_mb = Number(line, "memory_mb"),
       .accelerators = Number(line, "accelerators")});
}

void AddExecutorEvent(const Json& line, History& history) {
  history.executor_events.push_back({.time_ms = Number(line, "time_ms"),
                                     .executor = Text(line, "executor"),
                                     .event = Text(line, "event"),
                                     .sending = Text(line, "request"),
                                     .key = Text(line, "key")});
}

// Returns false if the line is no event of a caller.
bool AddCallerEvent(const Json& line, History& history) {
  const int64_t time_ms = Number(line, "time_ms");
  const std::string event = Text(line, "event");
  if (event == "task-answer") {
    const std::string fate = Text(line, "fate");
    history.task_answers.push_back(
        {.time_ms = time_ms,
         .task = Text(line, "task"),
         .accepted = Get<bool>(line, "accepted"),
         .not_run = fate == "not-run",
         .non_idempotent = Get<bool>(line, "non_idempotent")});
  } else if (event == "task-fate") {
    history.task_outcomes.push_back({.time_ms = time_ms,
                                     .task = Text(line, "task"),
                                     .fate = Text(line, "fate")});
  } else if (event == "request-answer") {
    history.request_answers.push_back(
        {.time_ms = time_ms,
         .sending = Text(line, "sending"),
         .key = Text(line, "key"),
         .fate = Text(line, "fate"),
         .non_idempotent = Get<bool>(line, "non_idempotent"),
         .sent = Text(line, "sent"),
         .answer = Text(line, "answer")});
  } else if (event == "list") {
    history.list_samples.push_back({.time_ms = time_ms,
                                    .vm = Text(line, "vm"),
                                    .list = Text(line, "list"),
                                    .version = Number(line, "version"),
                                    .digest = Text(line, "digest")});
  } else if (event == "leaving") {
    history.leaving_notices.push_back(
        {.time_ms = time_ms, .vm = Text(line, "vm")});
  } else {
    return false;
  }
  return true;
}

bool AddLine(const Json& line, History& history) {
  if (!line.is_object() || Number(line, "time_ms") == 0) {
    return false;
  }
  if (line.contains("worker")) {
    AddWorkerEvent(line, history);
    return true;
  }
  if (line.contains("executor")) {
    AddExecutorEvent(line, history);
    return true;
  }
  return AddCallerEvent(line, history);
}

template <typename T>
void Sort(std::vector<T>& events) {
  std::stable_sort(events.begin(), events.end(), [](const T& a, const T& b) {
    return a.time_ms < b.time_ms;
  });
}

}  // namespace

base::Outcome<base::Unit> ReadJournal(std::string_view source,
                                      std::istream& in,
                                      History& history) {
  std::string text;
  size_t number = 0;
  while (std::getline(in, text)) {
    ++number;
    if (!AddLine(Json::parse(text, nullptr, false), history)) {
      return base::Error{base::ErrorCode::kInvalid,
                         std::string(source) + ":" + std::to_string(number) +
                             ": \"" + text + "\" is no event"};
    }
  }
  return base::Unit{};
}

void SortByTime(History& history) {
  Sort(history.worker_events);
  Sort(history.executor_events);
  Sort(history.task_answers);
  Sort(history.task_outcomes);
  Sort(history.request_answers);
  Sort(history.list_samples);
  Sort(history.leaving_notices);
}

}  // namespace azurespur::history
