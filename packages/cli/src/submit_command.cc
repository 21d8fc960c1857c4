// `azurespur submit`: hands a task to the cell.

#include <CLI/CLI.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>

#include "answers.h"
#include "commands.h"
#include "input.h"
#include "task_follower.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr int64_t kDefaultWaitMs = 600000;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Flags that are absent leave the file's fields as they are.
struct SubmitOptions {
  std::string file;
  std::optional<std::string> key;
  std::optional<std::string> plan;
  std::optional<std::string> name;
  std::optional<std::string> kind;
  std::optional<std::string> payload;
  std::optional<int64_t> members;
  std::optional<int64_t> cpu_millis;
  std::optional<int64_t> memory_mb;
  std::optional<int64_t> accelerators;
  std::optional<int64_t> rack_limit;
  std::optional<int64_t> expected_ms;
  bool non_idempotent = false;
  bool urgent = false;
  bool wait = false;
  int64_t wait_ms = kDefaultWaitMs;
};

// The statuses by which a server says that the task won't run. Any other may
// come from something in between, after the server took the task.
bool IsRefusal(int status) {
  return status == kBadRequest || status == kConflict ||
         status == kUnprocessable || status == kTooManyRequests ||
         status == kUnavailable;
}

template <typename T>
void SetField(json& task, const char* field, const std::optional<T>& value) {
  if (value) {
    task[field] = *value;
  }
}

// Empty after an error was reported.
std::optional<json> ReadTask(Context& context, const SubmitOptions& options) {
  json task = json::object();
  if (!options.file.empty()) {
    const base::Outcome<std::string> text =
        ReadInput(context.streams, options.file);
    if (!base::Ok(text)) {
      PrintError(context, base::GetError(text).message);
      return std::nullopt;
    }
    task = json::parse(base::Value(text), nullptr, false);
    if (!task.is_object()) {
      PrintError(context, "file \"" + options.file + "\" is no JSON object");
      return std::nullopt;
    }
  }
  SetField(task, "key", options.key);
  SetField(task, "plan", options.plan);
  SetField(task, "name", options.name);
  SetField(task, "kind", options.kind);
  SetField(task, "payload", options.payload);
  SetField(task, "members", options.members);
  SetField(task, "cpu_millis", options.cpu_millis);
  SetField(task, "memory_mb", options.memory_mb);
  SetField(task, "accelerators", options.accelerators);
  SetField(task, "rack_limit", options.rack_limit);
  SetField(task, "expected_ms", options.expected_ms);
  if (options.non_idempotent) {
    task["non_idempotent"] = true;
  }
  if (options.urgent) {
    task["urgent"] = true;
  }
  if (!task.contains("plan")) {
    PrintError(context, "flag --plan is missing");
    return std::nullopt;
  }
  // With a key the task can be submitted again without a second effect.
  if (!task.contains("key")) {
    task["key"] = NewId("task");
  }
  return task;
}

ExitCode Submit(Context& context, const SubmitOptions& options) {
  const std::optional<json> task = ReadTask(context, options);
  if (!task) {
    return ExitCode::kUsage;
  }
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/tasks";
  call.body = task->dump();
  const base::Outcome<ApiAnswer> answer = context.api->Call(call);
  if (!base::Ok(answer)) {
    context.streams.err << "key " << FieldText(*task, "key")
                        << ": submit again with this key to learn the fate\n";
    return ReportNoAnswer(context, base::GetError(answer));
  }
  const ApiAnswer& value = base::Value(answer);
  if (value.response.status != kAccepted) {
    const ExitCode refused = ReportRefusal(context, value);
    return IsRefusal(value.response.status) ? refused : ExitCode::kUnknownFate;
  }
  if (options.wait) {
    return FollowTask(context, FieldText(value.body, "id"),
                      base::Millis(options.wait_ms));
  }
  PrintTask(context, value.body);
  return ExitCode::kOk;
}

void AddTaskFlags(CLI::App& command, SubmitOptions& options) {
  command.add_option("--key", options.key,
                     "Caller's key; the same key is the same task");
  command.add_option("--plan", options.plan, "Plan that the task belongs to");
  command.add_option("--name", options.name, "Name to show");
  command.add_option("--kind", options.kind, "batch, service or gang")
      ->check(CLI::IsMember({"batch", "service", "gang"}));
  command.add_option("--members", options.members, "Members of a gang")
      ->check(CLI::PositiveNumber);
  command.add_option("--cpu-millis", options.cpu_millis, "1000 is one core")
      ->check(CLI::NonNegativeNumber);
  command.add_option("--memory-mb", options.memory_mb, "Memory")
      ->check(CLI::NonNegativeNumber);
  command.add_option("--accelerators", options.accelerators, "Accelerators")
      ->check(CLI::NonNegativeNumber);
  command
      .add_option("--rack-limit", options.rack_limit,
                  "Most members in one rack")
      ->check(CLI::NonNegativeNumber);
  command.add_option("--expected-ms", options.expected_ms, "Expected run time")
      ->check(CLI::NonNegativeNumber);
  command.add_option("--payload", options.payload, "Handed to the worker");
  command.add_flag("--non-idempotent", options.non_idempotent,
                   "Must run at most once");
  command.add_flag("--urgent", options.urgent, "May preempt");
}

}  // namespace

void AddSubmitCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand("submit", "Submit a task");
  const auto options = std::make_shared<SubmitOptions>();
  AddTaskFlags(*command, *options);
  command->add_option("--file", options->file,
                      "JSON file with the task's fields, - for standard "
                      "input; flags go before it");
  command->add_flag("--wait", options->wait, "Follow the task to its end");
  command->add_option("--wait-ms", options->wait_ms, "Longest time to follow")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Submit(context, *options); };
  });
}

}  // namespace azurespur::cli
