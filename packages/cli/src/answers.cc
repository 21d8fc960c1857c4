#include "answers.h"

#include <ctime>
#include <ostream>

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnprocessable = 422;
constexpr int kJsonIndent = 2;

}  // namespace

void PrintError(Context& context, const std::string& text) {
  context.streams.err << "azurespur: " << text << '\n';
}

ExitCode ReportNoAnswer(Context& context, const base::Error& error) {
  if (error.code == base::ErrorCode::kUnavailable) {
    PrintError(context, "no server reached: " + error.message);
    return ExitCode::kUnreachable;
  }
  PrintError(context, "sent, but not answered: " + error.message);
  return ExitCode::kUnknownFate;
}

ExitCode ReportRefusal(Context& context, const ApiAnswer& answer) {
  std::string text = "server " + answer.server + " answered " +
                     std::to_string(answer.response.status);
  for (const char* field : {"error", "reason"}) {
    const std::string value = FieldText(answer.body, field);
    if (value != "-") {
      text += ": " + value;
    }
  }
  PrintError(context, text);
  const int status = answer.response.status;
  return status == kBadRequest || status == kUnprocessable ? ExitCode::kUsage
                                                           : ExitCode::kFailed;
}

bool Fetch(Context& context,
           const std::string& path,
           json& body,
           ExitCode& exit_code) {
  ApiCall call;
  call.path = path;
  base::Outcome<ApiAnswer> answer = context.api->Call(call);
  if (!base::Ok(answer)) {
    exit_code = ReportNoAnswer(context, base::GetError(answer));
    return false;
  }
  ApiAnswer& value = base::Value(answer);
  if (value.response.status != kOk) {
    exit_code = ReportRefusal(context, value);
    return false;
  }
  if (!value.body.is_object()) {
    PrintError(context, "server " + value.server + ": answer to GET " + path +
                            " is no JSON object");
    exit_code = ExitCode::kFailed;
    return false;
  }
  body = std::move(value.body);
  return true;
}

std::string FieldText(const json& object, const std::string& field) {
  if (!object.is_object()) {
    return "-";
  }
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) {
    return "-";
  }
  if (!it->is_string()) {
    return it->dump();
  }
  return it->get_ref<const std::string&>().empty() ? "-"
                                                   : it->get<std::string>();
}

std::string TimeText(int64_t wall_ms) {
  if (wall_ms == 0) {
    return "-";
  }
  const std::time_t seconds = wall_ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%SZ", &utc);
  return text;
}

void PrintJson(Context& context, const json& value) {
  context.streams.out << value.dump(kJsonIndent, ' ', false,
                                    json::error_handler_t::replace)
                      << '\n';
}

}  // namespace azurespur::cli
