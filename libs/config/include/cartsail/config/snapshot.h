// A node's copy of the whole tree at one revision. Immutable, shared between threads; the next
// revision shares all unchanged shards with the one before.
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

// A branch in its stored form, as it travels between nodes.
struct BranchDocument {
  std::string tenant;  // empty: the root
  std::string text;
  int64_t revision = 0;
};

// A set of branches that brings a node from any revision >= `since` to `revision`.
struct ConfigDelta {
  int64_t since = 0;
  int64_t revision = 0;
  std::string change_id;  // of the last change
  std::vector<BranchDocument> branches;
};

class ConfigSnapshot;
using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

class ConfigSnapshot {
 public:
  // The snapshot that has nothing: revision 0.
  static ConfigSnapshotPtr Empty();

  // The next snapshot. kStaleRevision when `delta` is not newer or leaves a gap (its `since` is
  // beyond this revision); kInvalidSetting when a document does not parse.
  absl::StatusOr<ConfigSnapshotPtr> Apply(const ConfigDelta& delta) const;

  // The branches changed after `since`.
  ConfigDelta DeltaSince(int64_t since) const;

  int64_t Revision() const { return revision_; }
  const std::string& ChangeId() const { return change_id_; }
  const FleetPolicy& Fleet() const { return fleet_; }
  size_t TenantCount() const;

  // The tenant whose key hashes to `sha256`, or empty. Compares the full hash in constant time.
  std::string TenantOfKey(std::string_view sha256) const;

  // kUnknownService or kUnknownClass when absent.
  absl::StatusOr<ClassPolicy> Resolve(std::string_view tenant, std::string_view service,
                                      std::string_view class_name) const;

  // Bytes held by documents and indexes, for capacity figures.
  size_t ApproximateBytes() const;

 private:
  static constexpr size_t kShardCount = 256;

  struct StoredBranch {
    std::string text;
    int64_t revision = 0;
  };
  struct Shard {
    absl::flat_hash_map<std::string, StoredBranch> tenants;
    // First 8 bytes of a key's hash -> tenant. The stored document decides.
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

// Keys of the platform's store that hold the configuration.
inline constexpr std::string_view kConfigPrefix = "cartsail/config/";
inline constexpr std::string_view kHeadKey = "cartsail/config/head";
inline constexpr std::string_view kBranchPrefix = "cartsail/config/branch/";
inline constexpr std::string_view kAuditPrefix = "cartsail/audit/";

// The store's key of a tenant's branch (the root's for an empty name).
std::string BranchKey(std::string_view tenant);

// The tenant named by a branch's key; false when `key` is no branch key.
bool TenantOfBranchKey(std::string_view key, std::string* tenant);

// The document under kHeadKey.
struct ConfigHead {
  int64_t revision = 0;
  std::string change_id;
};
ConfigHead ParseHead(std::string_view text);
std::string SerializeHead(const ConfigHead& head);

}  // namespace cartsail
