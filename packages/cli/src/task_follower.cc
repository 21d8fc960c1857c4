#include "task_follower.h"

#include <ostream>
#include <set>
#include <thread>

#include "answers.h"
#include "http/http_message.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr base::Millis kPollInterval{200};
constexpr int kOk = 200;

std::string Workers(const json& task) {
  const auto it = task.find("workers");
  if (it == task.end() || !it->is_array() || it->empty()) {
    return "-";
  }
  std::string text;
  for (const json& worker : *it) {
    text += (text.empty() ? "" : ",") +
            (worker.is_string() ? worker.get<std::string>() : worker.dump());
  }
  return text;
}

}  // namespace

bool IsFinalFate(const std::string& fate) {
  static const std::set<std::string> final_fates = {"finished", "failed",
                                                    "cancelled"};
  return final_fates.count(fate) != 0;
}

ExitCode ExitCodeOfFate(const std::string& fate) {
  if (fate == "failed" || fate == "cancelled") {
    return ExitCode::kFailed;
  }
  const bool is_known = fate == "accepted" || fate == "bound" ||
                        fate == "running" || fate == "finished";
  return is_known ? ExitCode::kOk : ExitCode::kUnknownFate;
}

void PrintTask(Context& context, const json& task) {
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, task);
    return;
  }
  std::ostream& out = context.streams.out;
  out << "id       " << FieldText(task, "id") << '\n'
      << "fate     " << FieldText(task, "fate") << '\n'
      << "domain   " << FieldText(task, "domain") << '\n'
      << "workers  " << Workers(task) << '\n';
  for (const char* field : {"reason", "result"}) {
    const std::string text = FieldText(task, field);
    if (text != "-") {
      out << field << "   " << text << '\n';
    }
  }
}

ExitCode FollowTask(Context& context,
                    const std::string& id,
                    base::Millis limit) {
  const base::MonoTime end = base::SystemClock().Now() + limit;
  ApiCall call;
  call.path = "/v1/tasks/" + http::UrlEscape(id);
  std::string shown;
  while (true) {
    const base::Outcome<ApiAnswer> answer = context.api->Call(call);
    const bool answered =
        base::Ok(answer) && base::Value(answer).response.status == kOk;
    const std::string fate =
        answered ? FieldText(base::Value(answer).body, "fate") : "not answered";
    if (fate != shown) {
      context.streams.err << "task " << id << ": " << fate << '\n';
      shown = fate;
    }
    const bool out_of_time = base::SystemClock().Now() >= end;
    if (answered && (IsFinalFate(fate) || out_of_time)) {
      PrintTask(context, base::Value(answer).body);
      return IsFinalFate(fate) ? ExitCodeOfFate(fate) : ExitCode::kUnknownFate;
    }
    if (out_of_time) {
      PrintError(context, "task \"" + id + "\": fate not learnt in time");
      return ExitCode::kUnknownFate;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace azurespur::cli
