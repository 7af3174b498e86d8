// Lua values to JSON and back.
#pragma once

#include <lua.hpp>

#include "cartsail/base/json.h"

namespace cartsail::emulator {

// The value at `index`. A table with element 1 (or an empty one asked for as such) is an array.
json::value ToJson(lua_State* lua, int index);

void PushJson(lua_State* lua, const json::value& value);

}  // namespace cartsail::emulator
