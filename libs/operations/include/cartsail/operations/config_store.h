// The operators' side of the configuration: reading the tree from the platform and changing it in
// one transaction per change, so that a change takes effect whole, once, or not at all.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/config/snapshot.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

// What a change does. All parts take effect together.
struct ConfigChange {
  std::vector<Edit> edits;
  std::vector<TreePath> added;    // nodes to create without overrides
  std::vector<TreePath> removed;  // a tenant, service or class with all below it
  struct KeyEdit {
    std::string tenant;
    KeyEntry key;  // an empty hash removes the key with this id
  };
  std::vector<KeyEdit> keys;
  std::string who;
  std::string when;  // ISO 8601, for the audit record only
  // The revision that the operator has seen; a change on top of another one is refused.
  std::optional<int64_t> expected_revision;
};

// One line of the audit trail: a value before and after.
struct AuditEdit {
  std::string path;
  std::string setting;  // "key:ID" for API keys, empty for a node
  std::string from;
  std::string to;
};

struct AuditRecord {
  int64_t revision = 0;
  std::string change_id;
  std::string who;
  std::string when;
  std::vector<AuditEdit> edits;
};

// The tree as read at one moment, with what a transaction needs to compare.
struct ConfigState {
  ConfigHead head;
  int64_t head_mod_revision = 0;  // 0: nothing was ever written
  Branch root;
  std::map<std::string, Branch> tenants;
};

struct ChangeResult {
  int64_t revision = 0;
  std::string change_id;
};

class ConfigStore {
 public:
  explicit ConfigStore(KeyValueStore& store) : store_(store) {}

  // Reads head, root and the named tenants (all when `tenants` is unset).
  boost::asio::awaitable<absl::StatusOr<ConfigState>> Read(
      std::optional<std::vector<std::string>> tenants);

  // Applies `change`. Errors: kInvalidSetting lists all faults and nothing is written; kConflict
  // tells what another operator changed meanwhile; kPlatformUnavailable only if it is not known
  // to have taken effect after several tries.
  boost::asio::awaitable<absl::StatusOr<ChangeResult>> Apply(ConfigChange change);

  // The audit records with from <= revision <= to, oldest first.
  boost::asio::awaitable<absl::StatusOr<std::vector<AuditRecord>>> History(int64_t from,
                                                                           int64_t to);

 private:
  boost::asio::awaitable<absl::StatusOr<ChangeResult>> Commit(const ConfigChange& change,
                                                              const ConfigState& before,
                                                              const ConfigState& after,
                                                              const AuditRecord& audit);
  boost::asio::awaitable<absl::StatusOr<bool>> HasTakenEffect(int64_t revision,
                                                              const std::string& change_id);
  boost::asio::awaitable<absl::Status> Conflict(int64_t from);

  KeyValueStore& store_;
};

// Applies `change` to `state`; returns the audit lines. Faults are appended to `faults`.
std::vector<AuditEdit> ApplyChange(const ConfigChange& change, ConfigState* state,
                                   std::vector<std::string>* faults);

std::string SerializeAudit(const AuditRecord& record);
absl::StatusOr<AuditRecord> ParseAudit(std::string_view text);

// The store's key of the audit record of `revision`.
std::string AuditKey(int64_t revision);

}  // namespace cartsail
