#include "cartsail/config/snapshot.h"

#include <fmt/format.h>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

constexpr std::string_view kRootBranch = "root";
constexpr std::string_view kTenantPrefix = "tenant/";

}  // namespace

ConfigSnapshotPtr ConfigSnapshot::Empty() {
  static const ConfigSnapshotPtr empty = [] {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    for (ShardPtr& shard : snapshot->shards_) shard = std::make_shared<const Shard>();
    snapshot->fleet_ = ResolveFleet(snapshot->root_);
    return snapshot;
  }();
  return empty;
}

size_t ConfigSnapshot::ShardOf(std::string_view text) { return Hash64(text) % kShardCount; }

uint64_t ConfigSnapshot::KeyPrefix(std::string_view sha256) { return Hash64(sha256); }

absl::StatusOr<ConfigSnapshotPtr> ConfigSnapshot::Apply(const ConfigDelta& delta) const {
  if (delta.revision <= revision_) {
    return MakeError(
        ErrorKind::kStaleRevision,
        fmt::format("revision {} is in force, received revision {}", revision_, delta.revision));
  }
  if (delta.since > revision_) {
    return MakeError(ErrorKind::kStaleRevision,
                     fmt::format("changes since revision {} leave a gap after revision {}",
                                 delta.since, revision_));
  }
  auto next = std::make_shared<ConfigSnapshot>(*this);
  std::array<std::shared_ptr<Shard>, kShardCount> copies{};
  for (const BranchDocument& document : delta.branches) {
    const absl::Status status = next->ApplyBranch(document, copies);
    if (!status.ok()) return status;
  }
  next->revision_ = delta.revision;
  next->change_id_ = delta.change_id;
  return ConfigSnapshotPtr(std::move(next));
}

ConfigSnapshot::Shard& ConfigSnapshot::MutableShard(
    size_t index, std::array<std::shared_ptr<Shard>, kShardCount>& copies) {
  if (copies[index] == nullptr) {
    copies[index] = std::make_shared<Shard>(*shards_[index]);
    shards_[index] = copies[index];
  }
  return *copies[index];
}

absl::Status ConfigSnapshot::ApplyBranch(const BranchDocument& document,
                                         std::array<std::shared_ptr<Shard>, kShardCount>& copies) {
  absl::StatusOr<Branch> branch = ParseBranch(document.tenant, document.text);
  if (!branch.ok()) return branch.status();
  if (document.tenant.empty()) {
    root_ = std::move(*branch);
    root_text_ = document.text;
    fleet_ = ResolveFleet(root_);
    return absl::OkStatus();
  }
  const StoredBranch* previous = FindTenant(document.tenant);
  if (previous != nullptr) {
    const absl::StatusOr<Branch> old = ParseBranch(document.tenant, previous->text);
    for (const KeyEntry& key : old.ok() ? old->keys : std::vector<KeyEntry>()) {
      MutableShard(ShardOf(key.sha256), copies).keys.erase(KeyPrefix(key.sha256));
    }
  }
  MutableShard(ShardOf(document.tenant), copies).tenants[document.tenant] = {document.text,
                                                                             branch->revision};
  for (const KeyEntry& key : branch->keys) {
    MutableShard(ShardOf(key.sha256), copies).keys[KeyPrefix(key.sha256)] = document.tenant;
  }
  return absl::OkStatus();
}

ConfigDelta ConfigSnapshot::DeltaSince(int64_t since) const {
  ConfigDelta delta;
  delta.since = since;
  delta.revision = revision_;
  delta.change_id = change_id_;
  if (root_.revision > since) delta.branches.push_back({"", root_text_, root_.revision});
  for (const ShardPtr& shard : shards_) {
    for (const auto& [tenant, branch] : shard->tenants) {
      if (branch.revision > since) delta.branches.push_back({tenant, branch.text, branch.revision});
    }
  }
  return delta;
}

size_t ConfigSnapshot::TenantCount() const {
  size_t count = 0;
  for (const ShardPtr& shard : shards_) count += shard->tenants.size();
  return count;
}

const ConfigSnapshot::StoredBranch* ConfigSnapshot::FindTenant(std::string_view tenant) const {
  const Shard& shard = *shards_[ShardOf(tenant)];
  const auto found = shard.tenants.find(absl::string_view(tenant.data(), tenant.size()));
  return found == shard.tenants.end() ? nullptr : &found->second;
}

std::string ConfigSnapshot::TenantOfKey(std::string_view sha256) const {
  const Shard& shard = *shards_[ShardOf(sha256)];
  const auto found = shard.keys.find(KeyPrefix(sha256));
  if (found == shard.keys.end()) return {};
  const StoredBranch* stored = FindTenant(found->second);
  if (stored == nullptr) return {};
  const absl::StatusOr<Branch> branch = ParseBranch(found->second, stored->text);
  if (!branch.ok() || branch->deleted) return {};
  for (const KeyEntry& key : branch->keys) {
    if (ConstantTimeEqual(key.sha256, sha256)) return found->second;
  }
  return {};
}

absl::StatusOr<ClassPolicy> ConfigSnapshot::Resolve(std::string_view tenant,
                                                    std::string_view service,
                                                    std::string_view class_name) const {
  const StoredBranch* stored = FindTenant(tenant);
  if (stored == nullptr) return MakeError(ErrorKind::kUnknownKey, "no such tenant");
  const absl::StatusOr<Branch> branch = ParseBranch(tenant, stored->text);
  if (!branch.ok()) return branch.status();
  return ResolveClass(root_, *branch, service, class_name);
}

size_t ConfigSnapshot::ApproximateBytes() const {
  constexpr size_t kEntryOverhead = 1 + sizeof(StoredBranch) + sizeof(std::string);
  constexpr size_t kKeyOverhead = 1 + sizeof(uint64_t) + sizeof(std::string);
  size_t bytes = sizeof(*this) + root_text_.capacity();
  for (const ShardPtr& shard : shards_) {
    bytes += sizeof(Shard) + shard->tenants.capacity() * kEntryOverhead +
             shard->keys.capacity() * kKeyOverhead;
    for (const auto& [tenant, branch] : shard->tenants) {
      bytes += branch.text.capacity();
    }
  }
  return bytes;
}

std::string BranchKey(std::string_view tenant) {
  if (tenant.empty()) return fmt::format("{}{}", kBranchPrefix, kRootBranch);
  return fmt::format("{}{}{}", kBranchPrefix, kTenantPrefix, tenant);
}

bool TenantOfBranchKey(std::string_view key, std::string* tenant) {
  if (!key.starts_with(kBranchPrefix)) return false;
  key.remove_prefix(kBranchPrefix.size());
  if (key == kRootBranch) {
    tenant->clear();
    return true;
  }
  if (!key.starts_with(kTenantPrefix)) return false;
  key.remove_prefix(kTenantPrefix.size());
  tenant->assign(key);
  return !tenant->empty();
}

ConfigHead ParseHead(std::string_view text) {
  const absl::StatusOr<json::object> object = ParseJsonObject(text);
  if (!object.ok()) return {};
  return {GetInt(*object, "revision"), GetString(*object, "change_id")};
}

std::string SerializeHead(const ConfigHead& head) {
  return json::serialize(json::object{{"revision", head.revision}, {"change_id", head.change_id}});
}

}  // namespace cartsail
