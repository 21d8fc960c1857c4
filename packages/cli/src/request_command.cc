// `azurespur request`: sends one request to an executor.

#include <CLI/CLI.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

#include "answers.h"
#include "commands.h"
#include "input.h"
#include "request_call.h"

namespace azurespur::cli {

namespace {

constexpr int64_t kMaxDeadlineMs = 86400000;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

struct RequestOptions {
  RequestSpec spec;
  std::string file;
};

ExitCode ExitCodeOf(const std::string& fate, int status) {
  if (fate == "ran" && status == kOk) {
    return ExitCode::kOk;
  }
  if (fate == "may-have-run") {
    return ExitCode::kUnknownFate;
  }
  return status == kBadRequest ? ExitCode::kUsage : ExitCode::kFailed;
}

ExitCode Request(Context& context, const RequestOptions& options) {
  RequestSpec spec = options.spec;
  if (!options.file.empty()) {
    base::Outcome<std::string> text = ReadInput(context.streams, options.file);
    if (!base::Ok(text)) {
      PrintError(context, base::GetError(text).message);
      return ExitCode::kUsage;
    }
    spec.data = base::Value(std::move(text));
  }
  if (spec.non_idempotent && spec.key.empty()) {
    PrintError(context,
               "flag --non-idempotent needs --key, by which a repeat is known");
    return ExitCode::kUsage;
  }
  const base::Outcome<ApiAnswer> answer =
      context.api->Call(MakeRequestCall(spec));
  if (!base::Ok(answer)) {
    return ReportNoAnswer(context, base::GetError(answer));
  }
  const http::HttpResponse& response = base::Value(answer).response;
  const std::string fate = RequestFate(response);
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, {{"fate", fate},
                        {"status", response.status},
                        {"server", base::Value(answer).server},
                        {"body", response.body}});
  } else {
    context.streams.err << "fate " << fate << ", status " << response.status
                        << '\n';
    context.streams.out << response.body << '\n';
  }
  return ExitCodeOf(fate, response.status);
}

}  // namespace

void AddRequestCommand(CLI::App& app, Command& chosen) {
  CLI::App* command =
      app.add_subcommand("request", "Send a request to an executor");
  const auto options = std::make_shared<RequestOptions>();
  command->add_option("--plan", options->spec.plan, "Plan of the caller")
      ->required();
  command->add_option("--key", options->spec.key,
                      "Caller's key; a repeat hears the first one's fate");
  command->add_flag("--non-idempotent", options->spec.non_idempotent,
                    "Must run at most once; needs --key");
  command
      ->add_option("--deadline-ms", options->spec.deadline_ms,
                   "Time until the answer is of no use")
      ->check(CLI::Range(int64_t{1}, kMaxDeadlineMs));
  CLI::Option* data =
      command->add_option("--data", options->spec.data, "Body to send");
  command
      ->add_option("--data-file", options->file,
                   "File with the body, - for standard input")
      ->excludes(data);
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Request(context, *options); };
  });
}

}  // namespace azurespur::cli
