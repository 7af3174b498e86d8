// The operators' settings tree: root > tenant > service > class. A level inherits every value that
// it does not set itself. The tree is stored as one JSON document per branch: one for the root, and
// one for each tenant with its services and classes.
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

// A node of the tree: "root", "TENANT", "TENANT/SERVICE" or "TENANT/SERVICE/CLASS".
struct TreePath {
  std::string tenant;  // empty: the root
  std::string service;
  std::string class_name;

  SettingLevel Level() const;
  std::string ToString() const;
  bool operator==(const TreePath&) const = default;
};

// Parses a path. Returns kInvalidSetting if `text` is not one. Names consist of 1 to 63 characters
// of [a-z0-9._-]; "root" is reserved.
absl::StatusOr<TreePath> ParseTreePath(std::string_view text);

// Values by the name of the setting.
using SettingMap = std::map<std::string, std::string, std::less<>>;

struct ServiceNode {
  SettingMap settings;
  std::map<std::string, SettingMap, std::less<>> classes;
};

// A caller's API key, of which only the hash is stored.
struct KeyEntry {
  std::string id;      // shown in lists and logs
  std::string sha256;  // lower-case hexadecimal
};

// The content of one stored document: that of the root or of a tenant.
struct Branch {
  std::string tenant;    // empty: the root
  int64_t revision = 0;  // the configuration revision that last changed this branch
  bool deleted = false;
  SettingMap settings;
  std::vector<KeyEntry> keys;
  std::map<std::string, ServiceNode, std::less<>> services;
};

// A change of one setting at one node. An empty `value` removes the override.
struct Edit {
  TreePath path;
  std::string setting;
  std::optional<std::string> value;
};

// Parses a stored document. Returns kInvalidSetting if it is malformed.
absl::StatusOr<Branch> ParseBranch(std::string_view tenant, std::string_view text);

// Returns the stored form of a branch, which ParseBranch() reads back.
std::string SerializeBranch(const Branch& branch);

// Returns the overrides at `path` in `branch`, or nullptr if the branch has no such path.
const SettingMap* FindSettings(const Branch& branch, const TreePath& path);

// Applies `edit` and creates the service and class of its path if needed. Does not validate values.
void ApplyEdit(Branch& branch, const Edit& edit);

}  // namespace cartsail
