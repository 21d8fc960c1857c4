// `azurespur accounts`: what each client account holds, by the servers' dumps.

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "answers.h"
#include "commands.h"
#include "server_dumps.h"
#include "table.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr const char* kUnknown = "-";

// The member of an object; null if either is missing.
json Member(const json& object, const char* name) {
  return object.is_object() && object.contains(name) ? object.at(name) : json();
}

std::string TextOf(const json& value) {
  if (value.is_null()) {
    return kUnknown;
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// "NAME=VALUE" of each member that isn't 0, or `none` if there is no such one.
std::string Amounts(const json& amounts, const std::string& none) {
  if (!amounts.is_object()) {
    return kUnknown;
  }
  std::string text;
  for (const auto& [name, value] : amounts.items()) {
    if (value != 0) {
      text += (text.empty() ? "" : ",") + name + "=" + TextOf(value);
    }
  }
  return text.empty() ? none : text;
}

TableRow AccountRow(const std::string& server,
                    const std::string& name,
                    const json& account) {
  return {server,
          name,
          TextOf(Member(account, "weight")),
          Amounts(Member(account, "cap"), "no limit"),
          Amounts(Member(account, "in_use"), "0"),
          TextOf(Member(account, "entitled_cpu_millis")),
          TextOf(Member(account, "waiting_tasks")),
          TextOf(Member(account, "running_tasks")),
          Amounts(Member(account, "refused"), "0")};
}

void PrintAccountsTable(Context& context,
                        const std::vector<ServerDump>& dumps) {
  std::vector<TableRow> rows;
  for (const ServerDump& dump : dumps) {
    const json accounts = Member(dump.state, "accounts");
    if (!accounts.is_object()) {
      continue;
    }
    for (const auto& [name, account] : accounts.items()) {
      rows.push_back(AccountRow(dump.server, name, account));
    }
  }
  PrintTable(context.streams.out,
             {"SERVER", "ACCOUNT", "WEIGHT", "CAP", "IN USE", "SHARE MILLIS",
              "WAITING", "RUNNING", "REFUSED"},
             rows);
}

void PrintAccountsJson(Context& context, const std::vector<ServerDump>& dumps) {
  json all = json::array();
  for (const ServerDump& dump : dumps) {
    json row = {{"server", dump.server}, {"reached", dump.error.empty()}};
    if (dump.error.empty()) {
      row["accounts"] = Member(dump.state, "accounts");
    } else {
      row["error"] = dump.error;
    }
    all.push_back(std::move(row));
  }
  PrintJson(context, {{"servers", std::move(all)}});
}

ExitCode Accounts(Context& context) {
  const std::vector<ServerDump> dumps = FetchDumps(*context.api);
  if (context.output == OutputFormat::kJson) {
    PrintAccountsJson(context, dumps);
  } else {
    PrintAccountsTable(context, dumps);
  }
  bool complete = true;
  for (const ServerDump& dump : dumps) {
    if (!dump.error.empty()) {
      complete = false;
      PrintError(context,
                 "server " + dump.server + " is not reached: " + dump.error);
    } else if (!Member(dump.state, "accounts").is_object()) {
      PrintError(context, "server " + dump.server + " names no accounts");
    }
  }
  return complete ? ExitCode::kOk : ExitCode::kUnreachable;
}

}  // namespace

void AddAccountsCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "accounts",
      "Show the client accounts: weight, cap, use, share, waiting, refused");
  command->callback([&chosen] { chosen = &Accounts; });
}

}  // namespace azurespur::cli
