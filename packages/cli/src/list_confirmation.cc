#include "list_confirmation.h"

#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "answers.h"
#include "table.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr base::Millis kPollInterval{200};
constexpr size_t kShownDigestDigits = 12;

// Version, first digits of the digest, and since when.
void AppendList(const json& vm, const char* list, TableRow& row) {
  const json value = vm.value(list, json::object());
  row.push_back(FieldText(value, "version"));
  row.push_back(FieldText(value, "digest").substr(0, kShownDigestDigits));
  row.push_back(TimeText(value.value("since_ms", int64_t{0})));
}

std::string State(const json& vm) {
  if (!vm.value("reached", false)) {
    const auto silent_ms = vm.value("silent_ms", int64_t{-1});
    return silent_ms < 0
               ? "not reached"
               : "not reached for " + std::to_string(silent_ms) + " ms";
  }
  return vm.value("complete", false) ? "ok" : "incomplete";
}

void PrintConfirmation(Context& context, const json& answer) {
  std::vector<TableRow> rows;
  for (const json& vm : answer.value("vms", json::array())) {
    TableRow row = {FieldText(vm, "vm"), FieldText(vm, "domain"), State(vm)};
    AppendList(vm, "plans", row);
    AppendList(vm, "allowances", row);
    rows.push_back(std::move(row));
  }
  PrintTable(context.streams.out,
             {"VM", "DOMAIN", "STATE", "PLANS", "DIGEST", "SINCE", "ALLOWANCES",
              "DIGEST", "SINCE"},
             rows);
  context.streams.out << (answer.value("all_agree", false)
                              ? "all VMs run the same lists"
                              : "NOT all VMs run the same lists")
                      << ", seen from " << FieldText(answer, "seen_from")
                      << '\n';
}

}  // namespace

ExitCode ConfirmLists(Context& context, base::Millis limit) {
  const base::MonoTime end = base::SystemClock().Now() + limit;
  ExitCode exit_code = ExitCode::kOk;
  json answer;
  while (true) {
    if (!Fetch(context, "/v1/lists/confirm", answer, exit_code)) {
      return exit_code;
    }
    if (answer.value("all_agree", false) || base::SystemClock().Now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, answer);
  } else {
    PrintConfirmation(context, answer);
  }
  return answer.value("all_agree", false) ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace azurespur::cli
