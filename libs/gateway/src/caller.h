// Who asks, and what the tree says about it.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <unordered_map>

#include "cartsail/gateway/control_plane.h"
#include "cartsail/net/http_types.h"

namespace cartsail {

struct Caller {
  std::string tenant;
  std::string key_hash;  // SHA-256 of the API key
  ClassPolicyPtr policy;
  std::string idempotency_key;

  // Identifies the caller to a back end without naming it; a stream is resumed only by its owner.
  std::string OwnerTag() const;
};

// Finds callers and their policies; remembers both for the configuration revision in force.
// Belongs to one traffic thread.
class CallerResolver {
 public:
  explicit CallerResolver(ControlPlane& control) : control_(control) {}

  // Checks the API key only. kUnknownKey, kNotReady.
  absl::StatusOr<Caller> Authenticate(const HttpRequest& request);

  // Also finds the class named by the headers (`service` overrides X-Service). kUnknownService,
  // kUnknownClass, kIdempotencyKeyRequired.
  absl::StatusOr<Caller> Resolve(const HttpRequest& request, std::string service = {});

 private:
  void RefreshCache(const ConfigSnapshotPtr& config);
  absl::StatusOr<ClassPolicyPtr> FindPolicy(const ConfigSnapshot& config, const std::string& tenant,
                                            const std::string& service,
                                            const std::string& class_name);

  ControlPlane& control_;
  int64_t revision_ = -1;
  std::unordered_map<std::string, std::string> tenants_;      // key hash -> tenant
  std::unordered_map<std::string, ClassPolicyPtr> policies_;  // "tenant/service/class"
};

}  // namespace cartsail
