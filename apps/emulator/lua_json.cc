#include "lua_json.h"

namespace cartsail::emulator {
namespace {

json::value TableToJson(lua_State* lua, int index) {
  const lua_Unsigned length = lua_rawlen(lua, index);
  if (length > 0) {
    json::array array;
    for (lua_Unsigned i = 1; i <= length; ++i) {
      lua_rawgeti(lua, index, static_cast<lua_Integer>(i));
      array.push_back(ToJson(lua, -1));
      lua_pop(lua, 1);
    }
    return array;
  }
  json::object object;
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    // A copy: converting a number key in place would confuse lua_next.
    lua_pushvalue(lua, -2);
    const char* key = lua_tostring(lua, -1);
    lua_pop(lua, 1);
    object[key] = ToJson(lua, -1);
    lua_pop(lua, 1);
  }
  return object;
}

}  // namespace

json::value ToJson(lua_State* lua, int index) {
  index = lua_absindex(lua, index);
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index)) return static_cast<int64_t>(lua_tointeger(lua, index));
      return lua_tonumber(lua, index);
    case LUA_TSTRING: {
      size_t length = 0;
      const char* text = lua_tolstring(lua, index, &length);
      return json::string(text, length);
    }
    case LUA_TTABLE:
      return TableToJson(lua, index);
    default:
      return nullptr;
  }
}

void PushJson(lua_State* lua, const json::value& value) {
  switch (value.kind()) {
    case json::kind::bool_:
      lua_pushboolean(lua, value.as_bool() ? 1 : 0);
      break;
    case json::kind::int64:
      lua_pushinteger(lua, value.as_int64());
      break;
    case json::kind::uint64:
      lua_pushinteger(lua, static_cast<lua_Integer>(value.as_uint64()));
      break;
    case json::kind::double_:
      lua_pushnumber(lua, value.as_double());
      break;
    case json::kind::string:
      lua_pushlstring(lua, value.as_string().data(), value.as_string().size());
      break;
    case json::kind::array: {
      lua_newtable(lua);
      lua_Integer index = 1;
      for (const json::value& element : value.as_array()) {
        PushJson(lua, element);
        lua_rawseti(lua, -2, index++);
      }
      break;
    }
    case json::kind::object:
      lua_newtable(lua);
      for (const auto& member : value.as_object()) {
        lua_pushlstring(lua, member.key().data(), member.key().size());
        PushJson(lua, member.value());
        lua_rawset(lua, -3);
      }
      break;
    case json::kind::null:
      lua_pushnil(lua);
      break;
  }
}

}  // namespace cartsail::emulator
