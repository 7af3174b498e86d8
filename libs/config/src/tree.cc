#include "cartsail/config/tree.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "cartsail/base/json.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

constexpr size_t kMaxNameLength = 63;
constexpr std::string_view kRootName = "root";

bool IsName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength || name == kRootName) return false;
  for (const char c : name) {
    const bool allowed =
        (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    if (!allowed) return false;
  }
  return true;
}

absl::Status InvalidBranch(std::string_view tenant, std::string_view reason) {
  return MakeError(ErrorKind::kInvalidSetting,
                   fmt::format("branch {}: {}", tenant.empty() ? kRootName : tenant, reason));
}

bool ReadSettings(const json::object& object, SettingMap* settings) {
  for (const auto& member : object) {
    if (!member.value().is_string()) return false;
    settings->emplace(std::string(member.key()), std::string(member.value().as_string()));
  }
  return true;
}

bool ReadService(const json::object& object, ServiceNode* service) {
  if (const json::object* settings = GetObject(object, "settings")) {
    if (!ReadSettings(*settings, &service->settings)) return false;
  }
  const json::object* classes = GetObject(object, "classes");
  if (classes == nullptr) return true;
  for (const auto& member : *classes) {
    if (!member.value().is_object()) return false;
    SettingMap settings;
    if (!ReadSettings(member.value().as_object(), &settings)) return false;
    service->classes.emplace(std::string(member.key()), std::move(settings));
  }
  return true;
}

json::object WriteSettings(const SettingMap& settings) {
  json::object object;
  for (const auto& [name, value] : settings) object[name] = value;
  return object;
}

json::object WriteService(const ServiceNode& service) {
  json::object object;
  if (!service.settings.empty()) object["settings"] = WriteSettings(service.settings);
  json::object classes;
  for (const auto& [name, settings] : service.classes) classes[name] = WriteSettings(settings);
  if (!classes.empty()) object["classes"] = std::move(classes);
  return object;
}

SettingMap& MutableSettings(Branch& branch, const TreePath& path) {
  if (path.service.empty()) return branch.settings;
  ServiceNode& service = branch.services[path.service];
  if (path.class_name.empty()) return service.settings;
  return service.classes[path.class_name];
}

}  // namespace

SettingLevel TreePath::Level() const {
  if (tenant.empty()) return kRootLevel;
  if (service.empty()) return kTenantLevel;
  return class_name.empty() ? kServiceLevel : kClassLevel;
}

std::string TreePath::ToString() const {
  if (tenant.empty()) return std::string(kRootName);
  std::string text = tenant;
  if (!service.empty()) text += "/" + service;
  if (!class_name.empty()) text += "/" + class_name;
  return text;
}

absl::StatusOr<TreePath> ParseTreePath(std::string_view text) {
  TreePath path;
  if (text == kRootName) return path;
  const std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '/');
  if (parts.size() > 3) {
    return MakeError(ErrorKind::kInvalidSetting,
                     fmt::format("{}: a path is root, TENANT, TENANT/SERVICE or "
                                 "TENANT/SERVICE/CLASS",
                                 text));
  }
  for (const std::string& part : parts) {
    if (IsName(part)) continue;
    return MakeError(ErrorKind::kInvalidSetting,
                     fmt::format("{}: '{}' is not a name of 1 to {} characters of [a-z0-9._-]",
                                 text, part, kMaxNameLength));
  }
  path.tenant = parts[0];
  if (parts.size() > 1) path.service = parts[1];
  if (parts.size() > 2) path.class_name = parts[2];
  return path;
}

absl::StatusOr<Branch> ParseBranch(std::string_view tenant, std::string_view text) {
  absl::StatusOr<json::object> object = ParseJsonObject(text);
  if (!object.ok()) return InvalidBranch(tenant, object.status().message().data());
  Branch branch;
  branch.tenant = tenant;
  branch.revision = GetInt(*object, "revision");
  branch.deleted = GetBool(*object, "deleted");
  if (const json::object* settings = GetObject(*object, "settings")) {
    if (!ReadSettings(*settings, &branch.settings))
      return InvalidBranch(tenant, "each setting must be a string");
  }
  if (const json::array* keys = GetArray(*object, "keys")) {
    for (const json::value& entry : *keys) {
      if (!entry.is_object()) return InvalidBranch(tenant, "each key must be an object");
      branch.keys.push_back(
          {GetString(entry.as_object(), "id"), GetString(entry.as_object(), "sha256")});
    }
  }
  if (const json::object* services = GetObject(*object, "services")) {
    for (const auto& member : *services) {
      ServiceNode service;
      if (!member.value().is_object() || !ReadService(member.value().as_object(), &service)) {
        return InvalidBranch(tenant, "each service must be an object with settings and classes");
      }
      branch.services.emplace(std::string(member.key()), std::move(service));
    }
  }
  return branch;
}

std::string SerializeBranch(const Branch& branch) {
  json::object object{{"revision", branch.revision}};
  if (branch.deleted) object["deleted"] = true;
  if (!branch.settings.empty()) object["settings"] = WriteSettings(branch.settings);
  json::array keys;
  for (const KeyEntry& key : branch.keys) {
    keys.push_back(json::object{{"id", key.id}, {"sha256", key.sha256}});
  }
  if (!keys.empty()) object["keys"] = std::move(keys);
  json::object services;
  for (const auto& [name, service] : branch.services) services[name] = WriteService(service);
  if (!services.empty()) object["services"] = std::move(services);
  return json::serialize(object);
}

const SettingMap* FindSettings(const Branch& branch, const TreePath& path) {
  if (path.service.empty()) return &branch.settings;
  const auto service = branch.services.find(path.service);
  if (service == branch.services.end()) return nullptr;
  if (path.class_name.empty()) return &service->second.settings;
  const auto found = service->second.classes.find(path.class_name);
  return found == service->second.classes.end() ? nullptr : &found->second;
}

void ApplyEdit(Branch& branch, const Edit& edit) {
  SettingMap& settings = MutableSettings(branch, edit.path);
  if (edit.value.has_value()) {
    settings[edit.setting] = *edit.value;
  } else {
    settings.erase(edit.setting);
  }
}

}  // namespace cartsail
