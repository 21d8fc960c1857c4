#include "list_check.h"

#include "answers.h"
#include "list_file.h"

namespace azurespur::cli {

namespace {

constexpr int kOk = 200;

}  // namespace

std::optional<nlohmann::json> CheckListFile(Context& context,
                                            const std::string& list,
                                            const std::string& file,
                                            ExitCode& exit_code) {
  const base::Outcome<ListFile> read = ReadListFile(context.streams, file);
  if (!base::Ok(read)) {
    PrintError(context, base::GetError(read).message);
    exit_code = ExitCode::kUsage;
    return std::nullopt;
  }
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/lists/" + list + "/check";
  call.body = base::Value(read).content;
  const base::Outcome<ApiAnswer> answer = context.api->Call(call);
  if (!base::Ok(answer)) {
    exit_code = ReportNoAnswer(context, base::GetError(answer));
    return std::nullopt;
  }
  if (base::Value(answer).response.status != kOk) {
    exit_code = ReportRefusal(context, base::Value(answer));
    return std::nullopt;
  }
  return base::Value(answer).body;
}

}  // namespace azurespur::cli
