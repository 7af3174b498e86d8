// cartsailctl config ..., cartsailctl key ...
#include <absl/strings/numbers.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>

#include "cartsail/base/hash.h"
#include "cartsail/operations/config_store.h"
#include "cartsail/store/etcd_client.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

namespace asio = boost::asio;

using Result = asio::awaitable<absl::StatusOr<CommandResult>>;

constexpr int kKeyBytes = 24;

std::string TimeNow() {
  const auto now =
      std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", now);
}

class ConfigCommands {
 public:
  ConfigCommands(asio::io_context& context, const CommandOptions& options)
      : context_(context),
        options_(options),
        store_(MakeEtcdClient(context.get_executor(), {.endpoint = options.platform})),
        config_(*store_) {}

  Result Get(Words words) {
    if (words.empty() || words.size() > 2) co_return Usage("config get PATH [SETTING]");
    const absl::StatusOr<TreePath> path = ParseTreePath(words[0]);
    if (!path.ok()) co_return path.status();
    const absl::StatusOr<ConfigState> state = co_await ReadFor(*path);
    if (!state.ok()) co_return state.status();
    const SettingMap* settings = Overrides(*state, *path);
    if (settings == nullptr) co_return Missing(*path);
    json::object object;
    CommandResult result;
    for (const auto& [name, value] : *settings) {
      if (words.size() == 2 && words[1] != name) continue;
      object[name] = value;
      result.text += fmt::format("{}={}\n", name, value);
    }
    result.object = json::object{{"path", path->ToString()},
                                 {"revision", state->head.revision},
                                 {"settings", std::move(object)},
                                 {"children", Children(*state, *path)}};
    for (const json::value& child : result.object.at("children").as_array()) {
      result.text += fmt::format("{}/\n", std::string(child.as_string()));
    }
    co_return result;
  }

  Result Set(Words words) {
    if (words.size() < 2) co_return Usage("config set PATH NAME=VALUE...");
    const absl::StatusOr<TreePath> path = ParseTreePath(words[0]);
    if (!path.ok()) co_return path.status();
    ConfigChange change;
    for (size_t i = 1; i < words.size(); ++i) {
      const size_t equals = words[i].find('=');
      if (equals == std::string::npos) co_return Usage("config set PATH NAME=VALUE...");
      change.edits.push_back({*path, words[i].substr(0, equals), words[i].substr(equals + 1)});
    }
    co_return co_await Write(std::move(change));
  }

  Result Unset(Words words) {
    if (words.size() < 2) co_return Usage("config unset PATH NAME...");
    const absl::StatusOr<TreePath> path = ParseTreePath(words[0]);
    if (!path.ok()) co_return path.status();
    ConfigChange change;
    for (size_t i = 1; i < words.size(); ++i) {
      change.edits.push_back({*path, words[i], std::nullopt});
    }
    co_return co_await Write(std::move(change));
  }

  Result AddOrRemove(Words words, bool add) {
    if (words.size() != 1) co_return Usage("config add PATH, config remove PATH");
    const absl::StatusOr<TreePath> path = ParseTreePath(words[0]);
    if (!path.ok()) co_return path.status();
    ConfigChange change;
    (add ? change.added : change.removed).push_back(*path);
    co_return co_await Write(std::move(change));
  }

  Result Import(Words words) {
    if (words.size() != 1) co_return Usage("config import FILE");
    absl::StatusOr<ConfigChange> change = ReadChangeFile(words[0]);
    if (!change.ok()) co_return change.status();
    co_return co_await Write(std::move(*change));
  }

  // Checks a change without writing it.
  Result Validate(Words words) {
    if (words.size() != 1) co_return Usage("config validate FILE");
    const absl::StatusOr<ConfigChange> change = ReadChangeFile(words[0]);
    if (!change.ok()) co_return change.status();
    absl::StatusOr<ConfigState> state = co_await config_.Read(std::nullopt);
    if (!state.ok()) co_return state.status();
    std::vector<std::string> faults;
    ApplyChange(*change, &*state, &faults);
    for (const std::string& fault : ValidateBranch(state->root, state->root)) {
      faults.push_back(fault);
    }
    for (const auto& [tenant, branch] : state->tenants) {
      for (const std::string& fault : ValidateBranch(state->root, branch)) {
        faults.push_back(fault);
      }
    }
    CommandResult result;
    json::array array;
    for (const std::string& fault : faults) {
      result.text += fault + "\n";
      array.emplace_back(fault);
    }
    if (faults.empty()) result.text = "valid\n";
    result.object = json::object{{"valid", faults.empty()}, {"faults", std::move(array)}};
    result.exit_code = faults.empty() ? kExitOk : kExitInvalid;
    co_return result;
  }

  Result Explain(Words words) {
    if (words.size() != 1) co_return Usage("config explain PATH");
    const absl::StatusOr<TreePath> path = ParseTreePath(words[0]);
    if (!path.ok()) co_return path.status();
    const absl::StatusOr<ConfigState> state = co_await ReadFor(*path);
    if (!state.ok()) co_return state.status();
    if (Overrides(*state, *path) == nullptr) co_return Missing(*path);
    const Branch* tenant = path->tenant.empty() ? nullptr : &state->tenants.at(path->tenant);
    CommandResult result;
    json::array array;
    for (const SettingOrigin& origin : ExplainPath(state->root, tenant, *path)) {
      const SettingSpec* spec = FindSetting(origin.setting);
      result.text += fmt::format("{:<24}{:<16}{:<9}{}\n", origin.setting, origin.value,
                                 origin.level, spec->help);
      array.push_back(json::object{
          {"setting", origin.setting}, {"value", origin.value}, {"level", origin.level}});
    }
    result.object = json::object{{"path", path->ToString()}, {"settings", std::move(array)}};
    co_return result;
  }

  Result History(Words words) {
    if (words.size() > 1) co_return Usage("config history [COUNT]");
    int64_t count = 20;
    if (!words.empty() && (!absl::SimpleAtoi(words[0], &count) || count < 1)) {
      co_return Usage("config history [COUNT]: COUNT is a positive number");
    }
    const absl::StatusOr<ConfigState> state = co_await config_.Read(std::vector<std::string>());
    if (!state.ok()) co_return state.status();
    const int64_t head = state->head.revision;
    co_return co_await Records(std::max<int64_t>(1, head - count + 1), head);
  }

  // What was changed after FROM up to TO.
  Result Diff(Words words) {
    int64_t from = 0;
    int64_t to = 0;
    if (words.size() != 2 || !absl::SimpleAtoi(words[0], &from) ||
        !absl::SimpleAtoi(words[1], &to) || from > to) {
      co_return Usage("config diff FROM TO: two revisions, the older first");
    }
    co_return co_await Records(from + 1, to);
  }

  Result AddKey(Words words) {
    if (words.size() < 2 || words.size() > 3) co_return Usage("key add TENANT ID [KEY]");
    const std::string key = words.size() == 3 ? words[2] : "ck-" + RandomHex(kKeyBytes);
    ConfigChange change;
    change.keys.push_back({words[0], {words[1], Sha256Hex(key)}});
    absl::StatusOr<CommandResult> result = co_await Write(std::move(change));
    if (!result.ok()) co_return result;
    // Shown once; only the hash is kept.
    if (words.size() == 2) {
      result->text += key + "\n";
      result->object.as_object()["key"] = key;
    }
    co_return result;
  }

  Result RemoveKey(Words words) {
    if (words.size() != 2) co_return Usage("key remove TENANT ID");
    ConfigChange change;
    change.keys.push_back({words[0], {words[1], ""}});
    co_return co_await Write(std::move(change));
  }

 private:
  asio::awaitable<absl::StatusOr<ConfigState>> ReadFor(TreePath path) {
    std::vector<std::string> tenants;
    if (!path.tenant.empty()) tenants.push_back(path.tenant);
    // The root lists its tenants.
    if (path.tenant.empty()) co_return co_await config_.Read(std::nullopt);
    co_return co_await config_.Read(std::move(tenants));
  }

  static const SettingMap* Overrides(const ConfigState& state, const TreePath& path) {
    if (path.tenant.empty()) return &state.root.settings;
    const auto tenant = state.tenants.find(path.tenant);
    if (tenant == state.tenants.end() || tenant->second.deleted) return nullptr;
    return FindSettings(tenant->second, path);
  }

  static absl::Status Missing(const TreePath& path) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("{}: does not exist", path.ToString()));
  }

  static json::array Children(const ConfigState& state, const TreePath& path) {
    json::array children;
    if (path.tenant.empty()) {
      for (const auto& [name, branch] : state.tenants) {
        if (!branch.deleted) children.emplace_back(name);
      }
      return children;
    }
    const Branch& branch = state.tenants.at(path.tenant);
    if (path.service.empty()) {
      for (const auto& [name, service] : branch.services) children.emplace_back(name);
    } else if (path.class_name.empty()) {
      for (const auto& [name, settings] : branch.services.at(path.service).classes) {
        children.emplace_back(name);
      }
    }
    return children;
  }

  Result Write(ConfigChange change) {
    change.who = options_.who;
    change.when = TimeNow();
    if (options_.if_revision >= 0) change.expected_revision = options_.if_revision;
    const absl::StatusOr<ChangeResult> done = co_await config_.Apply(std::move(change));
    if (!done.ok()) co_return done.status();
    CommandResult result;
    result.text = fmt::format("revision {}\n", done->revision);
    json::object object{{"revision", done->revision}, {"change_id", done->change_id}};
    if (options_.wait) {
      const absl::StatusOr<Duration> took =
          co_await AwaitRevision(context_, options_, done->revision);
      if (!took.ok()) co_return took.status();
      result.text += fmt::format("in force on {} nodes after {:.0f} ms\n", options_.nodes.size(),
                                 ToMillis(*took));
      object["in_force_ms"] = ToMillis(*took);
    }
    result.object = std::move(object);
    co_return result;
  }

  Result Records(int64_t from, int64_t to) {
    const absl::StatusOr<std::vector<AuditRecord>> records = co_await config_.History(from, to);
    if (!records.ok()) co_return records.status();
    CommandResult result;
    json::array array;
    for (const AuditRecord& record : *records) {
      for (const AuditEdit& edit : record.edits) {
        result.text += fmt::format("{} {} {} {} {} '{}' -> '{}'\n", record.revision, record.when,
                                   record.who, edit.path, edit.setting, edit.from, edit.to);
      }
      const absl::StatusOr<json::object> object = ParseJsonObject(SerializeAudit(record));
      if (object.ok()) array.push_back(*object);
    }
    result.object = std::move(array);
    co_return result;
  }

  // {"edits": [{"path", "setting", "value"}], "add": [PATH], "remove": [PATH],
  //  "keys": [{"tenant", "id", "key"}]}
  static absl::StatusOr<ConfigChange> ReadChangeFile(const std::string& path) {
    const absl::StatusOr<std::string> text = ReadWholeFile(path);
    if (!text.ok()) return text.status();
    const absl::StatusOr<json::object> object = ParseJsonObject(*text);
    if (!object.ok()) return Usage(fmt::format("{}: not a JSON object", path));
    ConfigChange change;
    absl::Status status = ReadPaths(*object, "add", &change.added);
    if (status.ok()) status = ReadPaths(*object, "remove", &change.removed);
    if (status.ok()) status = ReadEdits(*object, &change.edits);
    if (!status.ok()) return status;
    if (const json::array* keys = GetArray(*object, "keys")) {
      for (const json::value& entry : *keys) {
        if (!entry.is_object()) return Usage("keys: each is an object");
        const json::object& key = entry.as_object();
        change.keys.push_back(
            {GetString(key, "tenant"), {GetString(key, "id"), Sha256Hex(GetString(key, "key"))}});
      }
    }
    return change;
  }

  static absl::Status ReadPaths(const json::object& object, std::string_view member,
                                std::vector<TreePath>* paths) {
    const json::array* array = GetArray(object, member);
    if (array == nullptr) return absl::OkStatus();
    for (const json::value& entry : *array) {
      if (!entry.is_string()) return Usage("add, remove: each is a path");
      const json::string& text = entry.as_string();
      const absl::StatusOr<TreePath> path = ParseTreePath({text.data(), text.size()});
      if (!path.ok()) return path.status();
      paths->push_back(*path);
    }
    return absl::OkStatus();
  }

  static absl::Status ReadEdits(const json::object& object, std::vector<Edit>* edits) {
    const json::array* array = GetArray(object, "edits");
    if (array == nullptr) return absl::OkStatus();
    for (const json::value& entry : *array) {
      if (!entry.is_object()) return Usage("edits: each is an object");
      const json::object& edit = entry.as_object();
      const absl::StatusOr<TreePath> path = ParseTreePath(GetString(edit, "path"));
      if (!path.ok()) return path.status();
      std::optional<std::string> value;
      if (edit.contains("value")) value = GetString(edit, "value");
      edits->push_back({*path, GetString(edit, "setting"), value});
    }
    return absl::OkStatus();
  }

  asio::io_context& context_;
  const CommandOptions& options_;
  std::unique_ptr<KeyValueStore> store_;
  ConfigStore config_;
};

constexpr std::string_view kConfigUsage =
    "config get|set|unset|add|remove|import|validate|explain|history|diff ...";

}  // namespace

asio::awaitable<absl::StatusOr<CommandResult>> RunConfigCommand(asio::io_context& context,
                                                                CommandOptions options,
                                                                Words words) {
  if (words.empty()) co_return Usage(kConfigUsage);
  ConfigCommands commands(context, options);
  const std::string verb = words.front();
  words.erase(words.begin());
  if (verb == "get") co_return co_await commands.Get(std::move(words));
  if (verb == "set") co_return co_await commands.Set(std::move(words));
  if (verb == "unset") co_return co_await commands.Unset(std::move(words));
  if (verb == "add") co_return co_await commands.AddOrRemove(std::move(words), true);
  if (verb == "remove") co_return co_await commands.AddOrRemove(std::move(words), false);
  if (verb == "import") co_return co_await commands.Import(std::move(words));
  if (verb == "validate") co_return co_await commands.Validate(std::move(words));
  if (verb == "explain") co_return co_await commands.Explain(std::move(words));
  if (verb == "history") co_return co_await commands.History(std::move(words));
  if (verb == "diff") co_return co_await commands.Diff(std::move(words));
  co_return Usage(kConfigUsage);
}

asio::awaitable<absl::StatusOr<CommandResult>> RunKeyCommand(asio::io_context& context,
                                                             CommandOptions options, Words words) {
  if (words.empty()) co_return Usage("key add|remove ...");
  ConfigCommands commands(context, options);
  const std::string verb = words.front();
  words.erase(words.begin());
  if (verb == "add") co_return co_await commands.AddKey(std::move(words));
  if (verb == "remove") co_return co_await commands.RemoveKey(std::move(words));
  co_return Usage("key add|remove ...");
}

}  // namespace cartsail::ctl
