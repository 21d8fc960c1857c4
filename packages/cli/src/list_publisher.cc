#include "list_publisher.h"

#include <ostream>
#include <thread>

#include "answers.h"
#include "http/http_message.h"
#include "input.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr base::Millis kLookUpInterval{300};
constexpr int kOk = 200;

// Asks every server for the edit's verdict until one knows it. Null if none
// does in time.
json LookUpEdit(Context& context,
                const std::string& list,
                const std::string& edit_id) {
  ApiCall call;
  call.path = "/v1/lists/" + list + "/edits/" + http::UrlEscape(edit_id);
  const base::MonoTime end = base::SystemClock().Now() + context.api->timeout();
  context.streams.err << "edit " << edit_id << ": looking up its fate\n";
  while (true) {
    for (const std::string& server : context.api->servers()) {
      const base::Outcome<ApiAnswer> answer =
          context.api->CallServer(server, call);
      if (base::Ok(answer) && base::Value(answer).response.status == kOk) {
        return base::Value(answer).body;
      }
    }
    if (base::SystemClock().Now() >= end) {
      return nullptr;
    }
    std::this_thread::sleep_for(kLookUpInterval);
  }
}

ExitCode ExitCodeOf(const std::string& outcome) {
  if (outcome == "accepted") {
    return ExitCode::kOk;
  }
  if (outcome == "conflict") {
    return ExitCode::kConflict;
  }
  if (outcome == "invalid") {
    return ExitCode::kUsage;
  }
  return outcome == "refused" ? ExitCode::kFailed : ExitCode::kUnknownFate;
}

void PrintConflict(Context& context,
                   const ListEditSpec& edit,
                   const json& answer) {
  const json current = answer.value("current", json::object());
  PrintError(context, "list \"" + edit.list + "\": version " +
                          FieldText(current, "version") + " by " +
                          FieldText(current, "author") + " at " +
                          TimeText(current.value("wall_ms", int64_t{0})) +
                          " was first; the edit was made from version " +
                          std::to_string(edit.base_version) +
                          " and is not accepted");
  const json diff = answer.value("diff", json());
  if (diff.is_array()) {
    context.streams.err << "changed since version " << edit.base_version
                        << ":\n";
    PrintListDiff(context.streams.err, diff);
  } else {
    context.streams.err << "version " << edit.base_version
                        << " is no longer kept; see `azurespur lists show "
                        << edit.list << "`\n";
  }
}

}  // namespace

PublishReport PublishEdit(Context& context, const ListEditSpec& edit) {
  const std::string edit_id = NewId("edit");
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/lists/" + edit.list;
  call.body = json{{"base_version", edit.base_version},
                   {"author", edit.author},
                   {"edit_id", edit_id},
                   {"content", edit.content}}
                  .dump(-1, ' ', false, json::error_handler_t::replace);
  // The daemon waits for the log itself.
  constexpr base::Millis kLogMargin{6000};
  call.timeout = context.api->timeout() + kLogMargin;
  const base::Outcome<ApiAnswer> answer = context.api->Call(call);
  PublishReport report;
  const bool reached = base::Ok(answer);
  if (!reached &&
      base::GetError(answer).code == base::ErrorCode::kUnavailable) {
    report.exit_code = ReportNoAnswer(context, base::GetError(answer));
    return report;
  }
  std::string outcome = "unknown";
  if (reached) {
    report.answer = base::Value(answer).body;
    outcome = FieldText(report.answer, "outcome");
  }
  if (reached && outcome == "-") {
    report.answer = nullptr;
    report.exit_code = ReportRefusal(context, base::Value(answer));
    return report;
  }
  if (outcome == "unknown") {
    report.answer = LookUpEdit(context, edit.list, edit_id);
    outcome = FieldText(report.answer, "outcome");
  }
  report.exit_code = ExitCodeOf(outcome);
  if (report.exit_code == ExitCode::kUnknownFate) {
    PrintError(context, "edit " + edit_id + " of list \"" + edit.list +
                            "\" may still be accepted; look at `azurespur "
                            "lists show " +
                            edit.list + "`");
  }
  return report;
}

void PrintPublishReport(Context& context,
                        const ListEditSpec& edit,
                        const PublishReport& report) {
  if (report.answer.is_null()) {
    return;
  }
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, report.answer);
    return;
  }
  switch (report.exit_code) {
    case ExitCode::kOk:
      context.streams.out << "list " << edit.list << " version "
                          << FieldText(report.answer, "version")
                          << " accepted\n";
      break;
    case ExitCode::kConflict:
      PrintConflict(context, edit, report.answer);
      break;
    case ExitCode::kUsage:
      PrintListErrors(context, report.answer.value("errors", json::array()));
      break;
    default:
      PrintError(context, "list \"" + edit.list + "\": not accepted: " +
                              FieldText(report.answer, "reason"));
      break;
  }
}

void PrintListErrors(Context& context, const json& errors) {
  for (const json& error : errors) {
    const std::string path = FieldText(error, "path");
    PrintError(context, (path == "-" ? "document" : path) + ": " +
                            FieldText(error, "error"));
  }
}

void PrintListDiff(std::ostream& out, const json& diff) {
  for (const json& row : diff) {
    out << FieldText(row, "change") << " " << FieldText(row, "id") << '\n';
    if (FieldText(row, "change") == "removed") {
      continue;
    }
    for (const json& field : row.value("fields", json::array())) {
      out << "  " << FieldText(field, "field") << ": ";
      if (!field.value("from", json()).is_null()) {
        out << field["from"].dump() << " -> ";
      }
      out << field.value("to", json()).dump() << '\n';
    }
  }
}

}  // namespace azurespur::cli
