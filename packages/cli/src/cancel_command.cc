// `azurespur cancel`: cancels tasks, many by one call.

#include <CLI/CLI.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "answers.h"
#include "commands.h"

namespace azurespur::cli {

namespace {

constexpr int kAccepted = 202;
constexpr int kGatewayTimeout = 504;

ExitCode Cancel(Context& context, const std::vector<std::string>& ids) {
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/tasks/cancel";
  call.body = nlohmann::json{{"ids", ids}}.dump();
  const base::Outcome<ApiAnswer> answer = context.api->Call(call);
  if (!base::Ok(answer)) {
    return ReportNoAnswer(context, base::GetError(answer));
  }
  const ApiAnswer& value = base::Value(answer);
  if (value.response.status != kAccepted) {
    const ExitCode refused = ReportRefusal(context, value);
    return value.response.status == kGatewayTimeout ? ExitCode::kUnknownFate
                                                    : refused;
  }
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, value.body);
  } else {
    context.streams.out << "cancellation of " << ids.size()
                        << " task(s) recorded\n";
  }
  return ExitCode::kOk;
}

}  // namespace

void AddCancelCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "cancel", "Cancel tasks; those that ended before stay as they are");
  const auto ids = std::make_shared<std::vector<std::string>>();
  command->add_option("ID", *ids, "Task ids")->required();
  command->callback([&chosen, ids] {
    chosen = [ids](Context& context) { return Cancel(context, *ids); };
  });
}

}  // namespace azurespur::cli
