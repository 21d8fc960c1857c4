// `azurespur load`: sends a mix of requests and tasks for a while and reports
// latencies and fates.

#include <CLI/CLI.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <thread>

#include "answers.h"
#include "commands.h"
#include "history_writer.h"
#include "http/http_message.h"
#include "load_options.h"
#include "load_run.h"
#include "task_follower.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr int64_t kMaxDurationMs = 3600000;
constexpr double kMaxRatePerS = 100000;
constexpr base::Millis kPollInterval{200};

using FateCounts = std::map<std::string, size_t>;

// Asks for each task's fate until all have ended or the time is over.
FateCounts SettleTasks(Context& context,
                       const std::vector<std::string>& tasks,
                       base::Millis limit,
                       HistoryWriter& history) {
  const base::Clock& clock = base::SystemClock();
  const base::MonoTime end = clock.Now() + limit;
  std::map<std::string, std::string> open;
  for (const std::string& task : tasks) {
    open.emplace(task, "not answered");
  }
  FateCounts counts;
  while (!open.empty()) {
    const bool last_round = clock.Now() >= end;
    for (auto it = open.begin(); it != open.end();) {
      ApiCall call;
      call.path = "/v1/tasks/" + http::UrlEscape(it->first);
      const base::Outcome<ApiAnswer> answer = context.api->Call(call);
      if (base::Ok(answer)) {
        it->second = FieldText(base::Value(answer).body, "fate");
      }
      if (!last_round && !IsFinalFate(it->second)) {
        ++it;
        continue;
      }
      ++counts[it->second];
      history.AddTaskFate(it->first, it->second, clock.WallMillis());
      it = open.erase(it);
    }
    if (!open.empty()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return counts;
}

json ResultJson(const LoadResult& result) {
  return {{"sent", result.sent},
          {"skipped", result.skipped},
          {"wrong_answers", result.wrong_answers},
          {"fates", result.fates},
          {"latency", result.latency.ToJson()}};
}

void PrintResult(std::ostream& out,
                 const char* name,
                 const LoadResult& result) {
  if (result.sent + result.skipped == 0) {
    return;
  }
  out << name << ": sent " << result.sent << ", skipped " << result.skipped
      << ", wrong answers " << result.wrong_answers << '\n';
  for (const auto& [fate, count] : result.fates) {
    out << "  " << fate << " " << count << '\n';
  }
  result.latency.Print(out);
}

void PrintEnds(std::ostream& out, const FateCounts& ends) {
  if (ends.empty()) {
    return;
  }
  out << "accepted tasks at the end\n";
  for (const auto& [fate, count] : ends) {
    out << "  " << fate << " " << count << '\n';
  }
}

ExitCode Load(Context& context, const LoadOptions& options) {
  HistoryWriter history;
  const base::Outcome<base::Unit> opened = history.Open(options.history);
  if (!base::Ok(opened)) {
    PrintError(context, base::GetError(opened).message);
    return ExitCode::kUsage;
  }
  context.streams.err << "load: " << options.duration_ms << " ms, seed "
                      << options.seed << '\n';
  LoadRun run(options, context.api->servers(), history);
  run.Run();
  const std::vector<std::string>& accepted = run.accepted_tasks();
  if (!accepted.empty()) {
    context.streams.err << "load: waiting for " << accepted.size()
                        << " accepted task(s)\n";
  }
  const FateCounts ends =
      SettleTasks(context, accepted, base::Millis(options.settle_ms), history);
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, {{"seed", options.seed},
                        {"requests", ResultJson(run.requests())},
                        {"tasks", ResultJson(run.tasks())},
                        {"task_ends", ends}});
  } else {
    PrintResult(context.streams.out, "requests", run.requests());
    PrintResult(context.streams.out, "tasks", run.tasks());
    PrintEnds(context.streams.out, ends);
  }
  return run.requests().wrong_answers == 0 ? ExitCode::kOk : ExitCode::kFailed;
}

void AddRateFlags(CLI::App& command, LoadOptions& options) {
  command
      .add_option("--requests-per-s", options.requests_per_s,
                  "Rate of requests outside the crest")
      ->check(CLI::Range(0.0, kMaxRatePerS))
      ->capture_default_str();
  command
      .add_option("--tasks-per-s", options.tasks_per_s,
                  "Rate of tasks outside the crest")
      ->check(CLI::Range(0.0, kMaxRatePerS))
      ->capture_default_str();
  command
      .add_option("--swing", options.swing,
                  "Rate at the crest over the rate otherwise")
      ->check(CLI::Range(1.0, 100.0))
      ->capture_default_str();
  command
      .add_option("--swing-period-ms", options.swing_period_ms,
                  "Length of a swing; the crest is its second half")
      ->check(CLI::Range(int64_t{2}, kMaxDurationMs))
      ->capture_default_str();
  command.add_option("--duration-ms", options.duration_ms, "How long to send")
      ->check(CLI::Range(int64_t{1}, kMaxDurationMs))
      ->capture_default_str();
  command
      .add_option("--settle-ms", options.settle_ms,
                  "Longest wait for the ends of accepted tasks")
      ->check(CLI::Range(int64_t{0}, kMaxDurationMs))
      ->capture_default_str();
  command
      .add_option("--max-in-flight", options.max_in_flight,
                  "Operations beyond it are skipped")
      ->check(CLI::Range(1, 30000))
      ->capture_default_str();
  command.add_option("--seed", options.seed, "Seed of all random choices")
      ->capture_default_str();
}

void AddMixFlags(CLI::App& command, LoadOptions& options) {
  command
      .add_option("--plan", options.plans, "Plan to send for; repeat for more")
      ->required();
  command
      .add_option("--non-idempotent-share", options.non_idempotent_share,
                  "Share of non-idempotent operations")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  command
      .add_option("--deadline-ms", options.deadline_ms,
                  "Deadline of each request")
      ->check(CLI::Range(int64_t{1}, kMaxDurationMs))
      ->capture_default_str();
  command
      .add_option("--service-ms", options.service_ms,
                  "Service time asked of the executor; 0: its own")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command.add_option("--run-ms", options.run_ms, "Run time of each task")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command.add_option("--cpu-millis", options.cpu_millis, "Of each task")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command.add_option("--memory-mb", options.memory_mb, "Of each task")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command.add_option("--history", options.history,
                     "File for the journal of answers, JSON lines");
}

}  // namespace

void AddLoadCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "load", "Send a mix of requests and tasks, print latencies and fates");
  const auto options = std::make_shared<LoadOptions>();
  AddRateFlags(*command, *options);
  AddMixFlags(*command, *options);
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Load(context, *options); };
  });
}

}  // namespace azurespur::cli
