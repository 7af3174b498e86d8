#include "scenario.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <thread>

#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"
#include "lua_json.h"
#include "world.h"

namespace cartsail::emulator {
namespace {

constexpr Duration kPoll = milliseconds(10);
constexpr double kDefaultWaitSeconds = 20;

// The script's surroundings, reachable from the bindings.
struct Script {
  World* world = nullptr;
  bool verbose = false;
  int checks = 0;
  std::vector<std::string> failures;
  TimePoint start = Now();
};

Script& ScriptOf(lua_State* lua) { return **static_cast<Script**>(lua_getextraspace(lua)); }

json::object Argument(lua_State* lua, int index) {
  json::value value = ToJson(lua, index);
  return value.is_object() ? std::move(value.as_object()) : json::object();
}

// Raises a Lua error for a failed status. lua_error does not return, so that what the caller still
// holds is leaked; the script ends there.
int Finish(lua_State* lua, absl::Status status) {
  if (status.ok()) return 0;
  lua_pushlstring(lua, status.message().data(), status.message().size());
  status = absl::OkStatus();
  return lua_error(lua);
}

int Platform(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->StartPlatform(Argument(lua, 1)));
}
int Engine(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->StartBackEnd("engine", Argument(lua, 1)));
}
int Service(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->StartBackEnd("service", Argument(lua, 1)));
}
int Node(lua_State* lua) { return Finish(lua, ScriptOf(lua).world->StartNode(Argument(lua, 1))); }
int Machine(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->SetMachine(Argument(lua, 1)));
}
int Freeze(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->Signal(luaL_checkstring(lua, 1), SIGSTOP));
}
int Thaw(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->Signal(luaL_checkstring(lua, 1), SIGCONT));
}
int Kill(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->Signal(luaL_checkstring(lua, 1), SIGKILL));
}
int Stop(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->Signal(luaL_checkstring(lua, 1), SIGTERM));
}
int Restart(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->Restart(luaL_checkstring(lua, 1)));
}
// cut(LINK) closes; cut(LINK, "silent") swallows.
int Cut(lua_State* lua) {
  const bool silent = std::string_view(luaL_optstring(lua, 2, "")) == "silent";
  return Finish(lua,
                ScriptOf(lua).world->SetLink(luaL_checkstring(lua, 1),
                                             silent ? RelayMode::kBlackHole : RelayMode::kRefuse));
}
int Heal(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->SetLink(luaL_checkstring(lua, 1), RelayMode::kPass));
}
int Delay(lua_State* lua) {
  const double millis = luaL_checknumber(lua, 2);
  return Finish(
      lua, ScriptOf(lua).world->SetLinkDelay(luaL_checkstring(lua, 1), FromSeconds(millis / 1e3)));
}
int Faults(lua_State* lua) {
  return Finish(lua, ScriptOf(lua).world->SetFaults(luaL_checkstring(lua, 1), Argument(lua, 2)));
}

int AwaitExit(lua_State* lua) {
  const absl::StatusOr<int> code = ScriptOf(lua).world->AwaitExit(
      luaL_checkstring(lua, 1), luaL_optnumber(lua, 2, kDefaultWaitSeconds));
  lua_pushinteger(lua, code.ok() ? *code : -1);
  return 1;
}

int Running(lua_State* lua) {
  lua_pushboolean(lua, ScriptOf(lua).world->IsRunning(luaL_checkstring(lua, 1)) ? 1 : 0);
  return 1;
}

int Pid(lua_State* lua) {
  lua_pushinteger(lua, ScriptOf(lua).world->PidOf(luaL_checkstring(lua, 1)));
  return 1;
}

void PushParsed(lua_State* lua, const std::string& body) {
  const absl::StatusOr<json::value> value = ParseJson(body);
  if (value.ok()) {
    PushJson(lua, *value);
  } else {
    lua_newtable(lua);
  }
}

int Stats(lua_State* lua) {
  PushParsed(lua, ScriptOf(lua).world->Get(luaL_checkstring(lua, 1), "/admin/stats"));
  return 1;
}

int Status(lua_State* lua) {
  PushParsed(lua, ScriptOf(lua).world->Get(luaL_checkstring(lua, 1), "/status"));
  return 1;
}

int Ready(lua_State* lua) {
  const std::string body = ScriptOf(lua).world->Get(luaL_checkstring(lua, 1), "/readyz");
  lua_pushboolean(lua, body == "ready\n" ? 1 : 0);
  return 1;
}

// metric(NODE, NAME): a counter's value, 0 when the node does not answer.
int Metric(lua_State* lua) {
  const std::string text = ScriptOf(lua).world->Get(luaL_checkstring(lua, 1), "/metrics");
  const std::string needle = fmt::format("\ncartsail_{} ", luaL_checkstring(lua, 2));
  const size_t position = text.find(needle);
  lua_pushinteger(
      lua, position == std::string::npos ? 0 : std::atoll(text.c_str() + position + needle.size()));
  return 1;
}

ConfigChange ParseChange(const json::object& object) {
  ConfigChange change;
  change.who = GetString(object, "who", "scenario");
  if (object.contains("if_revision")) change.expected_revision = GetInt(object, "if_revision");
  if (const json::array* edits = GetArray(object, "edits")) {
    for (const json::value& entry : *edits) {
      const json::array& edit = entry.as_array();
      const absl::StatusOr<TreePath> path = ParseTreePath(std::string(edit[0].as_string()));
      if (!path.ok()) continue;
      change.edits.push_back(
          {*path, std::string(edit[1].as_string()), std::string(edit[2].as_string())});
    }
  }
  if (const json::array* keys = GetArray(object, "keys")) {
    for (const json::value& entry : *keys) {
      const json::array& key = entry.as_array();
      change.keys.push_back(
          {std::string(key[0].as_string()),
           {std::string(key[1].as_string()), Sha256Hex(std::string(key[2].as_string()))}});
    }
  }
  return change;
}

json::object ChangeObject(const absl::StatusOr<ChangeResult>& result) {
  if (result.ok()) return {{"revision", result->revision}};
  return {{"kind", ErrorKindName(KindOf(result.status()))},
          {"message", std::string(result.status().message())}};
}

// change{edits = {{PATH, NAME, VALUE}}, keys = {{TENANT, ID, KEY}}}: {revision} or {kind, message}.
int Change(lua_State* lua) {
  PushJson(lua, ChangeObject(ScriptOf(lua).world->Change(ParseChange(Argument(lua, 1)))));
  return 1;
}

// race({CHANGE, CHANGE}): the results of changes made at the same moment.
int Race(lua_State* lua) {
  std::vector<ConfigChange> changes;
  const json::value argument = ToJson(lua, 1);
  for (const json::value& entry : argument.as_array()) {
    changes.push_back(ParseChange(entry.as_object()));
  }
  json::array results;
  for (const auto& result : ScriptOf(lua).world->Race(std::move(changes))) {
    results.push_back(ChangeObject(result));
  }
  PushJson(lua, results);
  return 1;
}

// prompt_starts(ENGINE, PROMPT)
int PromptStarts(lua_State* lua) {
  lua_pushinteger(
      lua, ScriptOf(lua).world->PromptStarts(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2)));
  return 1;
}

int Ask(lua_State* lua) {
  lua_pushinteger(lua, ScriptOf(lua).world->Ask(Argument(lua, 1)));
  return 1;
}

// result(HANDLE): the answer's result, nil while it goes on.
int Result(lua_State* lua) {
  const std::optional<json::object> result =
      ScriptOf(lua).world->AskResult(static_cast<int>(luaL_checkinteger(lua, 1)));
  if (result.has_value()) {
    PushJson(lua, *result);
  } else {
    lua_pushnil(lua);
  }
  return 1;
}

// load{to = NODES, seconds = S, workload = TABLE}: a handle.
int Load(lua_State* lua) {
  const json::object options = Argument(lua, 1);
  const json::object* workload = GetObject(options, "workload");
  absl::StatusOr<Workload> parsed =
      ParseWorkload(workload == nullptr ? "{}" : json::serialize(*workload));
  const int handle = parsed.ok() ? ScriptOf(lua).world->StartLoad(*parsed, options) : -1;
  lua_pushinteger(lua, handle);
  return 1;
}

int LoadResult(lua_State* lua) {
  const std::optional<json::object> result =
      ScriptOf(lua).world->LoadResult(static_cast<int>(luaL_checkinteger(lua, 1)));
  if (result.has_value()) {
    PushJson(lua, *result);
  } else {
    lua_pushnil(lua);
  }
  return 1;
}

int Raw(lua_State* lua) {
  size_t length = 0;
  const char* bytes = luaL_checklstring(lua, 2, &length);
  const std::string answer = ScriptOf(lua).world->SendRaw(
      luaL_checkstring(lua, 1), std::string(bytes, length), luaL_optnumber(lua, 3, 2));
  lua_pushlstring(lua, answer.data(), answer.size());
  return 1;
}

// hold(NODE, BYTES): a caller that never reads its answer.
int Hold(lua_State* lua) {
  size_t length = 0;
  const char* bytes = luaL_checklstring(lua, 2, &length);
  ScriptOf(lua).world->HoldConnection(luaL_checkstring(lua, 1), std::string(bytes, length));
  return 0;
}

int Clock(lua_State* lua) {
  lua_pushnumber(lua, ToSeconds(Now() - ScriptOf(lua).start));
  return 1;
}

int Pause(lua_State* /*lua*/) {
  std::this_thread::sleep_for(kPoll);
  return 0;
}

int Note(lua_State* lua) {
  fmt::print("  {}\n", luaL_checkstring(lua, 1));
  return 0;
}

// expect(CONDITION, TEXT)
int Expect(lua_State* lua) {
  Script& script = ScriptOf(lua);
  ++script.checks;
  if (lua_toboolean(lua, 1) != 0) return 0;
  luaL_where(lua, 1);
  script.failures.push_back(
      fmt::format("{}{}", lua_tostring(lua, -1), luaL_optstring(lua, 2, "check failed")));
  return 0;
}

constexpr luaL_Reg kVerbs[] = {
    {"platform", Platform},
    {"engine", Engine},
    {"service", Service},
    {"node", Node},
    {"machine", Machine},
    {"freeze", Freeze},
    {"thaw", Thaw},
    {"kill", Kill},
    {"stop", Stop},
    {"restart", Restart},
    {"cut", Cut},
    {"heal", Heal},
    {"delay", Delay},
    {"faults", Faults},
    {"await_exit", AwaitExit},
    {"pid", Pid},
    {"running", Running},
    {"stats", Stats},
    {"status", Status},
    {"ready", Ready},
    {"metric", Metric},
    {"change", Change},
    {"race", Race},
    {"prompt_starts", PromptStarts},
    {"ask", Ask},
    {"result", Result},
    {"load", Load},
    {"load_result", LoadResult},
    {"raw", Raw},
    {"hold", Hold},
    {"clock", Clock},
    {"pause", Pause},
    {"note", Note},
    {"expect", Expect},
};

// Verbs that are easier said in the language itself.
constexpr char kPrelude[] = R"lua(
function wait_until(condition, seconds, text)
  local limit = clock() + (seconds or 20)
  while clock() < limit do
    local value = condition()
    if value then return value end
    pause()
  end
  error("waited in vain for: " .. (text or "a condition"), 2)
end

function answer(handle, seconds)
  return wait_until(function() return result(handle) end, seconds or 60, "an answer")
end

function load_report(handle, seconds)
  return wait_until(function() return load_result(handle) end, seconds or 120, "a load report")
end

-- Starts every engine and node of the table and waits until all nodes are ready and know all.
function fleet(options)
  platform(options.platform or {flags = {["machine-lag"] = "50ms"}})
  for _, e in ipairs(options.engines or {}) do
    e.name = e.name or "model"
    engine(e)
  end
  for _, s in ipairs(options.services or {}) do service(s) end
  for _, n in ipairs(options.nodes) do node(n) end
  local made = change{edits = options.tree or {{"team/assistant/default", "tier", "2"}},
                      keys = {{"team", "k1", "test-key"}}}
  if not made.revision then error(made.kind .. ": " .. made.message) end
  local known = #(options.engines or {}) + #(options.services or {})
  for _, n in ipairs(options.nodes) do
    wait_until(function()
      local s = status(n.id)
      return ready(n.id) and s.revision == made.revision and s.engines_known == known and
             #s.members == #options.nodes - 1 and live_members(s) == #options.nodes - 1
    end, 30, n.id .. " to be ready")
  end
end

function live_members(s)
  local count = 0
  for _, member in ipairs(s.members or {}) do
    if member.state == "live" then count = count + 1 end
  end
  return count
end

function total(engines, name)
  local sum = 0
  for _, id in ipairs(engines) do sum = sum + (stats(id)[name] or 0) end
  return sum
end

function errors_of(class)
  local text = ""
  for kind, count in pairs(class.errors) do text = text .. kind .. " " .. count .. " " end
  return text
end

function in_force(nodes, revision)
  for _, id in ipairs(nodes) do
    if (status(id).revision or 0) < revision then return false end
  end
  return true
end
)lua";

int Traceback(lua_State* lua) {
  luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
  return 1;
}

absl::Status RunScript(lua_State* lua, const std::string& path) {
  luaL_openlibs(lua);
  for (const luaL_Reg& verb : kVerbs) lua_register(lua, verb.name, verb.func);
  if (luaL_dostring(lua, kPrelude) != LUA_OK) {
    return MakeError(ErrorKind::kInternal, lua_tostring(lua, -1));
  }
  lua_pushcfunction(lua, Traceback);
  if (luaL_loadfile(lua, path.c_str()) != LUA_OK) {
    return MakeError(ErrorKind::kInvalidArgument, lua_tostring(lua, -1));
  }
  if (lua_pcall(lua, 0, 0, -2) != LUA_OK) {
    return MakeError(ErrorKind::kInternal, lua_tostring(lua, -1));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status RunScenario(const ScenarioOptions& options) {
  const std::string logs = fmt::format("/tmp/cartsail-scenario.{}", getpid());
  Script script;
  absl::Status status;
  std::string process_logs;
  {
    World world(options.bin, logs);
    script.world = &world;
    lua_State* lua = luaL_newstate();
    *static_cast<Script**>(lua_getextraspace(lua)) = &script;
    status = RunScript(lua, options.path);
    lua_close(lua);
    if (!status.ok() || !script.failures.empty()) process_logs = world.Logs();
  }
  std::error_code ignored;
  std::filesystem::remove_all(logs, ignored);
  const std::string name = std::filesystem::path(options.path).stem();
  std::string text;
  for (const std::string& failure : script.failures) text += "\n  " + failure;
  if (!status.ok()) text += "\n  " + std::string(status.message());
  fmt::print("scenario {}: {} checks, {} failed, {:.1f} s\n", name, script.checks,
             script.failures.size() + (status.ok() ? 0 : 1), ToSeconds(Now() - script.start));
  if (text.empty()) return absl::OkStatus();
  return MakeError(ErrorKind::kInternal, text + "\n" + process_logs);
}

}  // namespace cartsail::emulator
