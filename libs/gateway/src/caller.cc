#include "caller.h"

#include <fmt/format.h>

#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kDefaultName = "default";
constexpr size_t kCacheLimit = 4096;
constexpr size_t kLongestIdempotencyKey = 256;

}  // namespace

std::string Caller::OwnerTag() const {
  return fmt::format("{:016x}", Hash64(key_hash, Hash64(tenant)));
}

void CallerResolver::RefreshCache(const ConfigSnapshotPtr& config) {
  const bool full = tenants_.size() > kCacheLimit || policies_.size() > kCacheLimit;
  if (config->Revision() == revision_ && !full) return;
  revision_ = config->Revision();
  tenants_.clear();
  policies_.clear();
}

absl::StatusOr<Caller> CallerResolver::Authenticate(const HttpRequest& request) {
  if (!control_.HasConfig()) {
    return MakeError(ErrorKind::kNotReady, "this node has no configuration yet");
  }
  const ConfigSnapshotPtr config = control_.Config();
  RefreshCache(config);
  std::string_view authorization = request.Header("Authorization");
  if (!authorization.starts_with(kBearer)) {
    return MakeError(ErrorKind::kUnknownKey, "no API key: send Authorization: Bearer KEY");
  }
  authorization.remove_prefix(kBearer.size());
  Caller caller;
  caller.key_hash = Sha256Hex(authorization);
  const auto known = tenants_.find(caller.key_hash);
  if (known != tenants_.end()) {
    caller.tenant = known->second;
    return caller;
  }
  caller.tenant = config->TenantOfKey(caller.key_hash);
  if (caller.tenant.empty()) return MakeError(ErrorKind::kUnknownKey, "unknown API key");
  tenants_[caller.key_hash] = caller.tenant;
  return caller;
}

absl::StatusOr<Caller> CallerResolver::Resolve(const HttpRequest& request, std::string service) {
  absl::StatusOr<Caller> caller = Authenticate(request);
  if (!caller.ok()) return caller;
  if (service.empty()) service = request.Header("X-Service");
  if (service.empty()) service = kDefaultName;
  std::string class_name(request.Header("X-Class"));
  if (class_name.empty()) class_name = kDefaultName;
  absl::StatusOr<ClassPolicyPtr> policy =
      FindPolicy(*control_.Config(), caller->tenant, service, class_name);
  if (!policy.ok()) return policy.status();
  caller->policy = std::move(*policy);
  caller->idempotency_key = request.Header("Idempotency-Key");
  if (!caller->policy->repeatable && caller->idempotency_key.empty()) {
    return MakeError(ErrorKind::kIdempotencyKeyRequired,
                     "this class may not run twice: send an Idempotency-Key");
  }
  if (caller->idempotency_key.size() > kLongestIdempotencyKey) {
    return MakeError(ErrorKind::kMalformedRequest, "the Idempotency-Key is too long");
  }
  return caller;
}

absl::StatusOr<ClassPolicyPtr> CallerResolver::FindPolicy(const ConfigSnapshot& config,
                                                          const std::string& tenant,
                                                          const std::string& service,
                                                          const std::string& class_name) {
  const std::string path = fmt::format("{}/{}/{}", tenant, service, class_name);
  const auto known = policies_.find(path);
  if (known != policies_.end()) return known->second;
  absl::StatusOr<ClassPolicy> policy = config.Resolve(tenant, service, class_name);
  if (!policy.ok()) return policy.status();
  auto shared = std::make_shared<const ClassPolicy>(std::move(*policy));
  policies_[path] = shared;
  return ClassPolicyPtr(shared);
}

}  // namespace cartsail
