#include "verbs.h"

#include <csignal>
#include <future>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>

namespace azurespur::scenario {

namespace {

using Json = nlohmann::json;

constexpr base::Millis kStopLimit{60'000};
constexpr base::Millis kLoadLimit{120'000};

base::Error Invalid(std::string message) {
  return {base::ErrorCode::kInvalid, std::move(message)};
}

std::string Text(const Arguments& arguments, size_t index) {
  return index < arguments.size() && arguments[index].is_string()
             ? arguments[index].get<std::string>()
             : std::string();
}

Json Table(const Arguments& arguments, size_t index) {
  return index < arguments.size() && arguments[index].is_object()
             ? arguments[index]
             : Json::object();
}

VerbResult FromUnit(const base::Outcome<base::Unit>& outcome) {
  if (!base::Ok(outcome)) {
    return base::GetError(outcome);
  }
  return Json(true);
}

std::map<std::string, std::string> FlagsOf(const Json& table) {
  std::map<std::string, std::string> flags;
  for (const auto& [name, value] : table.items()) {
    flags[name] = value.is_string() ? value.get<std::string>() : value.dump();
  }
  return flags;
}

VerbResult StartCell(World& world, const Arguments& arguments) {
  const Json table = Table(arguments, 0);
  CellOptions options;
  options.programs = world.options.programs;
  options.folder = world.options.folder;
  options.seed = world.options.seed;
  options.domains = table.value("domains", options.domains);
  options.entries = table.value("entries", options.entries);
  options.workers = table.value("workers", options.workers);
  options.executors = table.value("executors", options.executors);
  options.daemon_flags = FlagsOf(table.value("daemon", Json::object()));
  options.log_flags = FlagsOf(table.value("log", Json::object()));
  options.vm_list_flags = FlagsOf(table.value("vmlist", Json::object()));
  options.worker_flags = FlagsOf(table.value("worker", Json::object()));
  options.executor_flags = FlagsOf(table.value("executor", Json::object()));
  world.cell = std::make_unique<Cell>(options);
  const auto started = world.cell->Start();
  if (!base::Ok(started)) {
    return base::GetError(started);
  }
  world.callers =
      std::make_unique<Callers>(*world.cell, world.journal, world.options.seed);
  world.sampler =
      std::make_unique<ListSampler>(*world.cell, *world.callers, world.journal);
  return Json(true);
}

VerbResult StartEntry(World& world, const Arguments& arguments) {
  return FromUnit(world.cell->StartEntry(Text(arguments, 0)));
}

VerbResult Kill(World& world, const Arguments& arguments) {
  return FromUnit(world.cell->SignalEntry(Text(arguments, 0), SIGKILL));
}

VerbResult Pause(World& world, const Arguments& arguments) {
  return FromUnit(world.cell->SignalEntry(Text(arguments, 0), SIGSTOP));
}

VerbResult Resume(World& world, const Arguments& arguments) {
  return FromUnit(world.cell->SignalEntry(Text(arguments, 0), SIGCONT));
}

VerbResult Stop(World& world, const Arguments& arguments) {
  const auto code = world.cell->StopEntry(Text(arguments, 0), kStopLimit);
  if (!base::Ok(code)) {
    return base::GetError(code);
  }
  return Json(base::Value(code));
}

VerbResult Remove(World& world, const Arguments& arguments) {
  return FromUnit(world.cell->SetVmState(Text(arguments, 0), "gone"));
}

VerbResult Leave(World& world, const Arguments& arguments) {
  const auto set = world.cell->SetVmState(Text(arguments, 0), "leaving");
  world.journal.Add({{"event", "leaving"}, {"vm", Text(arguments, 0)}});
  return FromUnit(set);
}

VerbResult Cut(World& world, const Arguments& arguments) {
  return FromUnit(
      world.cell->SetCut(Text(arguments, 0), Text(arguments, 1), true));
}

VerbResult Heal(World& world, const Arguments& arguments) {
  return FromUnit(
      world.cell->SetCut(Text(arguments, 0), Text(arguments, 1), false));
}

VerbResult Fault(World& world, const Arguments& arguments) {
  return FromUnit(
      world.cell->SetFaults(Text(arguments, 0), Table(arguments, 1)));
}

VerbResult RestartWorker(World& world, const Arguments& arguments) {
  return FromUnit(world.cell->RestartWorker(Text(arguments, 0)));
}

VerbResult Publish(World& world, const Arguments& arguments) {
  const Json rows = arguments.size() > 2 ? arguments[2] : Json();
  std::optional<uint64_t> base_version;
  if (arguments.size() > 3 && arguments[3].is_number_integer()) {
    base_version = arguments[3].get<uint64_t>();
  }
  return world.callers->Publish(Text(arguments, 0), Text(arguments, 1),
                                rows.is_array() ? rows : Json::array(),
                                base_version);
}

// Each edit is {entry=, list=, rows=, base_version=}; all are sent at once.
VerbResult PublishTogether(World& world, const Arguments& arguments) {
  const Json edits = arguments.empty() ? Json() : arguments[0];
  if (!edits.is_array()) {
    return Invalid("publish_together needs an array of edits");
  }
  std::vector<std::future<Json>> answers;
  for (const Json& edit : edits) {
    answers.push_back(std::async(std::launch::async, [&world, edit] {
      return world.callers->Publish(edit.value("entry", ""),
                                    edit.value("list", ""),
                                    edit.value("rows", Json::array()),
                                    edit.value("base_version", uint64_t{0}));
    }));
  }
  Json results = Json::array();
  for (auto& answer : answers) {
    results.push_back(answer.get());
  }
  return results;
}

RequestOptions ReadRequestOptions(const Json& table) {
  RequestOptions options;
  options.plan = table.value("plan", "");
  options.key = table.value("key", "");
  options.non_idempotent = table.value("non_idempotent", false);
  if (table.contains("service_ms")) {
    options.service_ms = table["service_ms"].get<int64_t>();
  }
  if (table.contains("deadline_ms")) {
    options.deadline_ms = table["deadline_ms"].get<int64_t>();
  }
  options.timeout =
      base::Millis(table.value("timeout_ms", options.timeout.count()));
  return options;
}

VerbResult Request(World& world, const Arguments& arguments) {
  auto promise = std::make_shared<std::promise<Json>>();
  world.callers->Request(
      Text(arguments, 0), ReadRequestOptions(Table(arguments, 1)),
      [promise](Json answer) { promise->set_value(std::move(answer)); });
  return promise->get_future().get();
}

VerbResult Submit(World& world, const Arguments& arguments) {
  auto promise = std::make_shared<std::promise<Json>>();
  world.callers->Submit(
      Text(arguments, 0), Table(arguments, 1),
      [promise](Json answer) { promise->set_value(std::move(answer)); });
  return promise->get_future().get();
}

// Either "request" or "task" tells what is sent.
VerbResult StartLoad(World& world, const Arguments& arguments) {
  const Json table = Table(arguments, 0);
  LoadOptions options;
  options.entries = table.value("entries", world.cell->EntryNames());
  options.count = table.value("count", options.count);
  options.rate = table.value("rate", options.rate);
  if (table.contains("task")) {
    options.task = table["task"];
  } else {
    options.request =
        ReadRequestOptions(table.value("request", Json::object()));
  }
  if (options.entries.empty() || options.rate <= 0) {
    return Invalid("load needs entries and a positive rate");
  }
  world.loads.push_back(std::make_unique<Load>(options, *world.callers));
  return Json(world.loads.size());
}

VerbResult WaitLoad(World& world, const Arguments& arguments) {
  const size_t number = !arguments.empty() && arguments[0].is_number_integer()
                            ? arguments[0].get<size_t>()
                            : 0;
  if (number == 0 || number > world.loads.size()) {
    return Invalid("load " + std::to_string(number) + " does not exist");
  }
  return world.loads[number - 1]->Wait(kLoadLimit);
}

VerbResult Fate(World& world, const Arguments& arguments) {
  return world.callers->Fate(Text(arguments, 0), Text(arguments, 1));
}

VerbResult Get(World& world, const Arguments& arguments) {
  return world.callers->Call(Text(arguments, 0), "GET", Text(arguments, 1), "");
}

VerbResult Post(World& world, const Arguments& arguments) {
  return world.callers->Call(Text(arguments, 0), "POST", Text(arguments, 1),
                             Table(arguments, 2).dump());
}

VerbResult Random(World& world, const Arguments& arguments) {
  const int64_t high = !arguments.empty() && arguments[0].is_number_integer()
                           ? arguments[0].get<int64_t>()
                           : 0;
  if (high < 1) {
    return Invalid("random needs a positive whole number");
  }
  return Json(std::uniform_int_distribution<int64_t>(1, high)(world.random));
}

VerbResult PassTime(World& /*world*/, const Arguments& arguments) {
  const int64_t ms = !arguments.empty() && arguments[0].is_number_integer()
                         ? arguments[0].get<int64_t>()
                         : 0;
  std::this_thread::sleep_for(base::Millis(ms));
  return Json(true);
}

VerbResult NowMillis(World& /*world*/, const Arguments& /*arguments*/) {
  return Json(base::SystemClock().WallMillis());
}

VerbResult Entries(World& world, const Arguments& /*arguments*/) {
  return Json(world.cell->EntryNames());
}

VerbResult SetRules(World& world, const Arguments& arguments) {
  const Json table = Table(arguments, 0);
  world.rules.leaving_limit_ms =
      table.value("leaving_limit_ms", world.rules.leaving_limit_ms);
  world.rules.expect_all_ended =
      table.value("expect_all_ended", world.rules.expect_all_ended);
  world.end_limit =
      base::Millis(table.value("end_limit_ms", world.end_limit.count()));
  return Json(true);
}

VerbResult Say(World& /*world*/, const Arguments& arguments) {
  std::cout << "  " << Text(arguments, 0) << std::endl;
  return Json(true);
}

}  // namespace

const std::vector<Verb>& Verbs() {
  static const std::vector<Verb> verbs = {
      {"cell", &StartCell},   {"start", &StartEntry},
      {"kill", &Kill},        {"pause", &Pause},
      {"resume", &Resume},    {"stop", &Stop},
      {"remove", &Remove},    {"leave", &Leave},
      {"cut", &Cut},          {"heal", &Heal},
      {"fault", &Fault},      {"restart_worker", &RestartWorker},
      {"publish", &Publish},  {"publish_together", &PublishTogether},
      {"request", &Request},  {"submit", &Submit},
      {"load", &StartLoad},   {"wait_load", &WaitLoad},
      {"fate", &Fate},        {"get", &Get},
      {"post", &Post},        {"random", &Random},
      {"pass_ms", &PassTime}, {"now_ms", &NowMillis},
      {"entries", &Entries},  {"rules", &SetRules},
      {"say", &Say}};
  return verbs;
}

}  // namespace azurespur::scenario
