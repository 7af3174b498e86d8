// The operators' tree of settings: root > tenant > service > class. A level inherits every value
// that it does not give itself. The tree is stored as one JSON document per branch: one for the
// root, one for each tenant with its services and classes.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/config/schema.h"

namespace cartsail {

// A place in the tree: "root", "TENANT", "TENANT/SERVICE" or "TENANT/SERVICE/CLASS".
struct TreePath {
  std::string tenant;  // empty: the root
  std::string service;
  std::string class_name;

  SettingLevel Level() const;
  std::string ToString() const;
  bool operator==(const TreePath&) const = default;
};

// kInvalidSetting when `text` is not a path (names are [a-z0-9._-], at most 63 characters).
absl::StatusOr<TreePath> ParseTreePath(std::string_view text);

using SettingMap = std::map<std::string, std::string, std::less<>>;

struct ServiceNode {
  SettingMap settings;
  std::map<std::string, SettingMap, std::less<>> classes;
};

// A caller's API key: only its hash is kept.
struct KeyEntry {
  std::string id;      // shown in lists and logs
  std::string sha256;  // lower-case hexadecimal
};

// One stored document: the root's (name empty) or a tenant's.
struct Branch {
  std::string tenant;
  int64_t revision = 0;  // the configuration revision that last changed this branch
  bool deleted = false;
  SettingMap settings;
  std::vector<KeyEntry> keys;
  std::map<std::string, ServiceNode, std::less<>> services;
};

// One change of one value. An unset `value` removes the override.
struct Edit {
  TreePath path;
  std::string setting;
  std::optional<std::string> value;
};

// Parses a stored document. kInvalidSetting when it is not one.
absl::StatusOr<Branch> ParseBranch(std::string_view tenant, std::string_view text);

// The stored form; ParseBranch() reads it back.
std::string SerializeBranch(const Branch& branch);

// The overrides standing at `path` in `branch`, or nullptr when the path does not exist there.
const SettingMap* FindSettings(const Branch& branch, const TreePath& path);

// Applies `edit`; creates the service or class that it names. Does not validate values.
void ApplyEdit(Branch& branch, const Edit& edit);

}  // namespace cartsail
