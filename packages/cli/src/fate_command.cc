// `azurespur fate`: what became of a task.

#include <CLI/CLI.hpp>
#include <memory>
#include <string>

#include "answers.h"
#include "commands.h"
#include "http/http_message.h"
#include "task_follower.h"

namespace azurespur::cli {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

ExitCode Fate(Context& context, const std::string& id) {
  ApiCall call;
  call.path = "/v1/tasks/" + http::UrlEscape(id);
  const base::Outcome<ApiAnswer> answer = context.api->Call(call);
  if (!base::Ok(answer)) {
    return ReportNoAnswer(context, base::GetError(answer));
  }
  const ApiAnswer& value = base::Value(answer);
  if (value.response.status == kNotFound) {
    PrintError(context, "task \"" + id + "\" is not known to server " +
                            value.server + " or the peers that it reached");
    return ExitCode::kUnknownFate;
  }
  if (value.response.status != kOk) {
    return ReportRefusal(context, value);
  }
  PrintTask(context, value.body);
  return ExitCodeOfFate(FieldText(value.body, "fate"));
}

}  // namespace

void AddFateCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand("fate", "Show what became of a task");
  const auto id = std::make_shared<std::string>();
  command->add_option("ID", *id, "Task id")->required();
  command->callback([&chosen, id] {
    chosen = [id](Context& context) { return Fate(context, *id); };
  });
}

}  // namespace azurespur::cli
