// Conversion between Lua values and JSON.

#ifndef SCENARIO_LUA_JSON_H_
#define SCENARIO_LUA_JSON_H_

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace azurespur::scenario {

// The value at `index`. A table with an element 1 is an array, others are
// objects; functions and the like become null.
nlohmann::json ToJson(lua_State* lua, int index);

void PushJson(lua_State* lua, const nlohmann::json& json);

}  // namespace azurespur::scenario

#endif  // SCENARIO_LUA_JSON_H_
