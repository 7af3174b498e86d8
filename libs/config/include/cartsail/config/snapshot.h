// A node's copy of the whole settings tree at one revision. Immutable and shared between threads; a
// new revision shares all unchanged shards with its predecessor.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/config/policy.h"

namespace cartsail {

// A branch in its stored form, as sent between nodes.
struct BranchDocument {
  std::string tenant;  // empty: the root
  std::string text;
  int64_t revision = 0;
};

// The branches that change between `since` and `revision`. Brings a node from any revision of at
// least `since` to `revision`.
struct ConfigDelta {
  int64_t since = 0;
  int64_t revision = 0;
  std::string change_id;  // ID of the last change
  std::vector<BranchDocument> branches;
};

class ConfigSnapshot;
using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

class ConfigSnapshot {
 public:
  // The snapshot without branches, at revision 0.
  static ConfigSnapshotPtr Empty();

  // Returns the snapshot after `delta`. Returns kStaleRevision if `delta` is not newer or leaves a
  // gap (its `since` is greater than this revision), and kInvalidSetting if a document cannot be
  // parsed.
  absl::StatusOr<ConfigSnapshotPtr> Apply(const ConfigDelta& delta) const;

  // Returns the branches that changed after `since`.
  ConfigDelta DeltaSince(int64_t since) const;

  int64_t Revision() const { return revision_; }
  const std::string& ChangeId() const { return change_id_; }
  const FleetPolicy& Fleet() const { return fleet_; }
  // Number of tenants, deleted ones included.
  size_t TenantCount() const;

  // Returns the tenant with the API key whose SHA-256 hash is `sha256` (lower-case hexadecimal), or
  // an empty string if there is none. Compares the full hash in constant time.
  std::string TenantOfKey(std::string_view sha256) const;

  // Resolves the policy of a tenant's class. Returns kUnknownKey, kUnknownService or kUnknownClass
  // if the tenant, the service or the class does not exist.
  absl::StatusOr<ClassPolicy> Resolve(std::string_view tenant, std::string_view service,
                                      std::string_view class_name) const;

  // Approximate memory of the documents and indexes in bytes, for capacity planning.
  size_t ApproximateBytes() const;

 private:
  static constexpr size_t kShardCount = 256;

  struct StoredBranch {
    std::string text;
    int64_t revision = 0;
  };
  struct Shard {
    absl::flat_hash_map<std::string, StoredBranch> tenants;
    // KeyPrefix() of an API key's hash -> tenant. Different keys may share a prefix, so a lookup
    // must be verified against the stored document.
    absl::flat_hash_map<uint64_t, std::string> keys;
  };
  using ShardPtr = std::shared_ptr<const Shard>;

  static size_t ShardOf(std::string_view text);
  static uint64_t KeyPrefix(std::string_view sha256);
  const StoredBranch* FindTenant(std::string_view tenant) const;
  Shard& MutableShard(size_t index, std::array<std::shared_ptr<Shard>, kShardCount>& copies);
  absl::Status ApplyBranch(const BranchDocument& document,
                           std::array<std::shared_ptr<Shard>, kShardCount>& copies);

  int64_t revision_ = 0;
  std::string change_id_;
  Branch root_;
  std::string root_text_;
  FleetPolicy fleet_;
  std::array<ShardPtr, kShardCount> shards_{};
};

// Keys of the configuration in the platform's store.
inline constexpr std::string_view kConfigPrefix = "cartsail/config/";
inline constexpr std::string_view kHeadKey = "cartsail/config/head";
inline constexpr std::string_view kBranchPrefix = "cartsail/config/branch/";
inline constexpr std::string_view kAuditPrefix = "cartsail/audit/";

// The store key of a tenant's branch; for an empty name, that of the root's branch.
std::string BranchKey(std::string_view tenant);

// Extracts the tenant from the store key of a branch; empty for the root. Returns false if `key` is
// not the key of a branch.
bool TenantOfBranchKey(std::string_view key, std::string* tenant);

// The document under kHeadKey: the newest revision.
struct ConfigHead {
  int64_t revision = 0;
  std::string change_id;
};
// Returns revision 0 if `text` is not a JSON object.
ConfigHead ParseHead(std::string_view text);
std::string SerializeHead(const ConfigHead& head);

}  // namespace cartsail
