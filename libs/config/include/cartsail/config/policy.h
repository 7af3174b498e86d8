// What the tree says for one class of one tenant, with inheritance worked out.
#pragma once

#include <absl/status/statusor.h>

#include <array>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/config/tree.h"

namespace cartsail {

// The values in force for a request. Plain data.
struct ClassPolicy {
  std::string tenant;
  std::string service;
  std::string class_name;
  int tier = 0;
  Duration ttft_target{};
  Duration token_interval_target{};
  Duration max_wait{};
  Duration deadline{};
  bool repeatable = true;
  bool preemptible = true;
  Duration resume_grace{};
  double retry_budget = 0;
  int64_t rate_limit = 0;     // requests per second of the tenant over the fleet
  int64_t max_in_flight = 0;  // requests of the tenant over the fleet
  std::string backend;        // plain services: the back-end group; empty for model traffic
};

// Values that hold for the whole fleet.
struct FleetPolicy {
  std::array<double, kTierCount> tier_shares{};  // guaranteed share of starts per tier
  double headroom_limit = 0;                     // largest share of a window kept free
  int64_t queue_limit = 0;                       // waiting requests per engine
  Duration claim_retention{};                    // how long an idempotency key is remembered
};

// Where a value in force comes from.
struct SettingOrigin {
  std::string setting;
  std::string value;
  std::string level;  // "default", "root", "tenant", "service" or "class"
};

// Works out the policy of (service, class) in `tenant` under `root`. kUnknownService or
// kUnknownClass when the tenant's branch has no such node.
absl::StatusOr<ClassPolicy> ResolveClass(const Branch& root, const Branch& tenant,
                                         std::string_view service, std::string_view class_name);

FleetPolicy ResolveFleet(const Branch& root);

// Every setting in force at `path` and the level that gives it. `tenant` may be null for the root.
std::vector<SettingOrigin> ExplainPath(const Branch& root, const Branch* tenant,
                                       const TreePath& path);

// All faults of a branch at once, each "PATH: reason"; empty when valid. `root` is the root's
// branch as it will be.
std::vector<std::string> ValidateBranch(const Branch& root, const Branch& branch);

}  // namespace cartsail
