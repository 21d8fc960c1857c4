// `azurespur status`: a table of the servers as they describe themselves.

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

// The value at a JSON pointer; null if absent.
json At(const json& state, const char* pointer) {
  const json::json_pointer place(pointer);
  return state.contains(place) ? state.at(place) : json();
}

std::string TextAt(const json& state, const char* pointer) {
  const json value = At(state, pointer);
  if (value.is_null()) {
    return "-";
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string Condition(const json& state) {
  if (At(state, "/draining") == true) {
    return "draining";
  }
  return At(state, "/ready") == true ? "ready" : "not ready";
}

// "ok", or the streams that were not read lately.
std::string LogCondition(const json& state) {
  const json log = At(state, "/log");
  if (!log.is_object()) {
    return "-";
  }
  std::string away;
  for (const auto& [stream, status] : log.items()) {
    if (At(status, "/reachable") != true) {
      away += (away.empty() ? "" : ",") + stream;
    }
  }
  return away.empty() ? "ok" : "away: " + away;
}

std::string SuspectedPeers(const json& state) {
  const json peers = At(state, "/peers");
  if (!peers.is_array()) {
    return "-";
  }
  size_t suspected = 0;
  for (const json& peer : peers) {
    suspected += At(peer, "/suspected") == true ? 1 : 0;
  }
  return std::to_string(suspected) + " of " + std::to_string(peers.size());
}

// Owned workers of those that the server sees in its domain.
std::string OwnedWorkers(const json& state) {
  const json workers = At(state, "/tasks/workers");
  if (!workers.is_array()) {
    return "-";
  }
  size_t owned = 0;
  for (const json& worker : workers) {
    owned += At(worker, "/ownership") == "owned" ? 1 : 0;
  }
  return std::to_string(owned) + " of " + std::to_string(workers.size());
}

std::string Uptime(const json& state) {
  const json uptime = At(state, "/uptime_ms");
  constexpr int64_t kMillisPerSecond = 1000;
  return uptime.is_number()
             ? std::to_string(uptime.get<int64_t>() / kMillisPerSecond) + "s"
             : "-";
}

TableRow ServerRow(const ServerDump& dump) {
  const json& state = dump.state;
  return {dump.server,
          TextAt(state, "/vm"),
          TextAt(state, "/domain"),
          Condition(state),
          Uptime(state),
          LogCondition(state),
          TextAt(state, "/lists/plans_version"),
          TextAt(state, "/lists/allowances_version"),
          OwnedWorkers(state),
          TextAt(state, "/tasks/counts/running"),
          TextAt(state, "/requests/in_flight"),
          SuspectedPeers(state)};
}

void PrintStatusTable(Context& context, const std::vector<ServerDump>& dumps) {
  std::vector<TableRow> rows;
  for (const ServerDump& dump : dumps) {
    if (dump.error.empty()) {
      rows.push_back(ServerRow(dump));
    } else {
      rows.push_back({dump.server, "-", "-", "not reached", "-", "-", "-", "-",
                      "-", "-", "-", "-"});
    }
  }
  PrintTable(context.streams.out,
             {"SERVER", "VM", "DOMAIN", "STATE", "UP", "LOG", "PLANS",
              "ALLOWANCES", "OWNED", "RUNNING", "REQUESTS", "SUSPECTED"},
             rows);
}

void PrintStatusJson(Context& context, const std::vector<ServerDump>& dumps) {
  json all = json::array();
  for (const ServerDump& dump : dumps) {
    json row = {{"server", dump.server}, {"reached", dump.error.empty()}};
    if (dump.error.empty()) {
      row["vm"] = At(dump.state, "/vm");
      row["domain"] = At(dump.state, "/domain");
      row["state"] = Condition(dump.state);
      row["uptime_ms"] = At(dump.state, "/uptime_ms");
      row["log"] = At(dump.state, "/log");
      row["lists"] = At(dump.state, "/lists");
      row["tasks"] = At(dump.state, "/tasks");
      row["requests"] = At(dump.state, "/requests");
    } else {
      row["error"] = dump.error;
    }
    all.push_back(std::move(row));
  }
  PrintJson(context, {{"servers", std::move(all)}});
}

ExitCode Status(Context& context) {
  const std::vector<ServerDump> dumps = FetchDumps(*context.api);
  if (context.output == OutputFormat::kJson) {
    PrintStatusJson(context, dumps);
  } else {
    PrintStatusTable(context, dumps);
  }
  size_t reached = 0;
  for (const ServerDump& dump : dumps) {
    if (dump.error.empty()) {
      ++reached;
    } else {
      PrintError(context,
                 "server " + dump.server + " is not reached: " + dump.error);
    }
  }
  return reached == dumps.size() ? ExitCode::kOk : ExitCode::kUnreachable;
}

}  // namespace

void AddStatusCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "status", "Show all servers: state, log, lists, workers, requests");
  command->callback([&chosen] { chosen = &Status; });
}

}  // namespace azurespur::cli
