#include "scenario/runner.h"

#include <fstream>
#include <iostream>
#include <lua.hpp>
#include <thread>
#include <utility>

#include "history/history_reader.h"
#include "history/rules.h"
#include "lua_json.h"
#include "verbs.h"
#include "world.h"

namespace azurespur::scenario {

namespace {

constexpr base::Millis kExpectPeriod{50};
constexpr base::Millis kFatePeriod{100};
constexpr base::Millis kStopLimit{60'000};
constexpr double kDefaultExpectSeconds = 10;

World& WorldOf(lua_State* lua) {
  return *static_cast<World*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

// Runs the verb of upvalue 2 and leaves its result or error message on the
// stack. Apart from RunVerb() because lua_error() skips destructors.
bool PushVerbResult(lua_State* lua) {
  World& world = WorldOf(lua);
  const auto index =
      static_cast<size_t>(lua_tointeger(lua, lua_upvalueindex(2)));
  const Verb& verb = Verbs()[index];
  if (!world.cell && verb.name != "cell" && verb.name != "rules") {
    lua_pushstring(lua, "the first verb must be cell{...}");
    return false;
  }
  Arguments arguments;
  for (int i = 1; i <= lua_gettop(lua); ++i) {
    arguments.push_back(ToJson(lua, i));
  }
  const VerbResult result = verb.run(world, arguments);
  if (!base::Ok(result)) {
    const std::string message =
        std::string(verb.name) + ": " + base::GetError(result).message;
    lua_pushstring(lua, message.c_str());
    return false;
  }
  PushJson(lua, base::Value(result));
  return true;
}

int RunVerb(lua_State* lua) {
  if (PushVerbResult(lua)) {
    return 1;
  }
  luaL_where(lua, 1);
  lua_insert(lua, -2);
  lua_concat(lua, 2);
  return lua_error(lua);
}

// Calls the function at index 2 until it returns true. Returns whether it did.
bool HoldsEventually(lua_State* lua, double seconds) {
  const base::MonoTime end = base::SystemClock().Now() +
                             base::Micros(static_cast<int64_t>(seconds * 1e6));
  while (true) {
    lua_pushvalue(lua, 2);
    lua_call(lua, 0, 1);
    const bool holds = lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    if (holds || base::SystemClock().Now() >= end) {
      return holds;
    }
    std::this_thread::sleep_for(kExpectPeriod);
  }
}

// expect(description, function[, seconds]): the function must return true at
// last; 0 seconds asks once.
int Expect(lua_State* lua) {
  const char* description = luaL_checkstring(lua, 1);
  luaL_checktype(lua, 2, LUA_TFUNCTION);
  const double seconds = luaL_optnumber(lua, 3, kDefaultExpectSeconds);
  const int64_t begin = base::SystemClock().WallMillis();
  const bool holds = HoldsEventually(lua, seconds);
  const int64_t took = base::SystemClock().WallMillis() - begin;
  World& world = WorldOf(lua);
  ++world.expectations;
  std::cout << (holds ? "  held:   " : "  FAILED: ") << description << " ("
            << took << " ms)" << std::endl;
  if (!holds) {
    return luaL_error(lua, "expectation failed: %s", description);
  }
  return 0;
}

void RegisterVerbs(lua_State* lua, World& world) {
  for (size_t i = 0; i < Verbs().size(); ++i) {
    lua_pushlightuserdata(lua, &world);
    lua_pushinteger(lua, static_cast<lua_Integer>(i));
    lua_pushcclosure(lua, &RunVerb, 2);
    lua_setglobal(lua, std::string(Verbs()[i].name).c_str());
  }
  lua_pushlightuserdata(lua, &world);
  lua_pushcclosure(lua, &Expect, 1);
  lua_setglobal(lua, "expect");
  lua_pushinteger(lua, static_cast<lua_Integer>(world.options.seed));
  lua_setglobal(lua, "seed");
}

// Files of a scenario may `require` others of the same folder.
void SetPath(lua_State* lua, const std::string& file) {
  const size_t slash = file.rfind('/');
  const std::string folder =
      slash == std::string::npos ? "." : file.substr(0, slash);
  lua_getglobal(lua, "package");
  lua_pushstring(lua, (folder + "/?.lua").c_str());
  lua_setfield(lua, -2, "path");
  lua_pop(lua, 1);
}

bool RunScript(World& world) {
  lua_State* lua = luaL_newstate();
  luaL_openlibs(lua);
  RegisterVerbs(lua, world);
  SetPath(lua, world.options.file);
  const bool ok = luaL_dofile(lua, world.options.file.c_str()) == LUA_OK;
  if (!ok) {
    std::cout << "  FAILED: " << lua_tostring(lua, -1) << std::endl;
  }
  lua_close(lua);
  return ok;
}

bool IsEnd(const std::string& fate) {
  return fate == "finished" || fate == "failed" || fate == "cancelled" ||
         fate == "may-have-run";
}

// Asks the running entries until the task's end is told or time is up.
void AwaitEnd(World& world, const std::string& task, base::MonoTime limit) {
  do {
    for (const std::string& entry : world.cell->EntryNames()) {
      if (!world.cell->EntryAddress(entry)) {
        continue;
      }
      const nlohmann::json fate = world.callers->Fate(entry, task);
      if (IsEnd(fate.value("fate", ""))) {
        return;
      }
    }
    std::this_thread::sleep_for(kFatePeriod);
  } while (base::SystemClock().Now() < limit);
}

bool CheckHistory(World& world) {
  history::History history;
  std::vector<std::string> files = world.cell->JournalFiles();
  files.push_back(world.journal.file());
  for (const std::string& file : files) {
    std::ifstream in(file);
    const auto read = history::ReadJournal(file, in, history);
    if (!base::Ok(read)) {
      std::cout << "  FAILED: " << base::GetError(read).message << std::endl;
      return false;
    }
  }
  history::SortByTime(history);
  const auto violations = history::CheckAll(history, world.rules);
  for (const history::Violation& violation : violations) {
    std::cout << "  FAILED: " << violation.rule << ": " << violation.text
              << std::endl;
  }
  std::cout << "  history: " << history.worker_events.size()
            << " worker events, " << history.executor_events.size()
            << " executor events, " << history.task_answers.size()
            << " submissions, " << history.request_answers.size()
            << " requests, " << history.list_samples.size() << " list samples, "
            << violations.size() << " violations" << std::endl;
  return violations.empty();
}

bool Finish(World& world) {
  for (const auto& load : world.loads) {
    load->Wait(kStopLimit);
  }
  if (world.rules.expect_all_ended) {
    const base::MonoTime limit = base::SystemClock().Now() + world.end_limit;
    for (const std::string& task : world.journal.AcceptedTasks()) {
      AwaitEnd(world, task, limit);
    }
  }
  world.loads.clear();
  world.sampler.reset();
  const auto failure = world.cell->StopAll(kStopLimit);
  if (failure) {
    std::cout << "  FAILED: " << *failure << std::endl;
  }
  return CheckHistory(world) && !failure;
}

}  // namespace

bool RunScenario(const RunnerOptions& options) {
  std::cout << options.file << " --seed " << options.seed << std::endl;
  World world(options);
  const bool script = RunScript(world);
  const bool finished = world.cell != nullptr && Finish(world);
  std::cout << (script && finished ? "PASSED " : "FAILED ") << options.file
            << " (" << world.expectations << " expectations)" << std::endl;
  return script && finished;
}

}  // namespace azurespur::scenario
