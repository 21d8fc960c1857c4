#include "lua_json.h"

#include <string>

namespace azurespur::scenario {

namespace {

nlohmann::json TableToJson(lua_State* lua, int index) {
  const lua_Integer size = luaL_len(lua, index);
  nlohmann::json json = nlohmann::json::object();
  if (size > 0) {
    json = nlohmann::json::array();
    for (lua_Integer i = 1; i <= size; ++i) {
      lua_geti(lua, index, i);
      json.push_back(ToJson(lua, -1));
      lua_pop(lua, 1);
    }
    return json;
  }
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    // A copy, since lua_tostring() would change the key in place.
    lua_pushvalue(lua, -2);
    const std::string key = lua_tostring(lua, -1);
    lua_pop(lua, 1);
    json[key] = ToJson(lua, -1);
    lua_pop(lua, 1);
  }
  return json;
}

}  // namespace

nlohmann::json ToJson(lua_State* lua, int index) {
  index = lua_absindex(lua, index);
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index) != 0) {
        return static_cast<int64_t>(lua_tointeger(lua, index));
      }
      return lua_tonumber(lua, index);
    case LUA_TSTRING:
      return std::string(lua_tostring(lua, index));
    case LUA_TTABLE:
      return TableToJson(lua, index);
    default:
      return nullptr;
  }
}

void PushJson(lua_State* lua, const nlohmann::json& json) {
  if (json.is_boolean()) {
    lua_pushboolean(lua, json.get<bool>() ? 1 : 0);
  } else if (json.is_number_integer()) {
    lua_pushinteger(lua, json.get<int64_t>());
  } else if (json.is_number()) {
    lua_pushnumber(lua, json.get<double>());
  } else if (json.is_string()) {
    lua_pushstring(lua, json.get_ref<const std::string&>().c_str());
  } else if (json.is_array()) {
    lua_createtable(lua, static_cast<int>(json.size()), 0);
    lua_Integer index = 1;
    for (const auto& item : json) {
      PushJson(lua, item);
      lua_seti(lua, -2, index++);
    }
  } else if (json.is_object()) {
    lua_newtable(lua);
    for (const auto& [name, value] : json.items()) {
      PushJson(lua, value);
      lua_setfield(lua, -2, name.c_str());
    }
  } else {
    lua_pushnil(lua);
  }
}

}  // namespace azurespur::scenario
