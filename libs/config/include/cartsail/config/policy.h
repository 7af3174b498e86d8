// Resolves the settings in force for a tenant's class and for the fleet, with inheritance applied.
#pragma once

#include <absl/status/statusor.h>

#include <array>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/config/tree.h"

namespace cartsail {

// The settings in force for the requests of one class.
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
  int64_t rate_limit = 0;     // requests per second of the tenant, fleet-wide
  int64_t max_in_flight = 0;  // concurrent requests of the tenant, fleet-wide
  std::string backend;        // back-end group of a plain service; empty for model traffic
};

// Settings in force for the whole fleet.
struct FleetPolicy {
  std::array<double, kTierCount> tier_shares{};  // guaranteed share of request starts per tier
  double headroom_limit = 0;   // largest share of an engine's window kept free for higher tiers
  int64_t queue_limit = 0;     // waiting requests per engine
  Duration claim_retention{};  // how long an idempotency key is remembered
};

// The value in force of a setting and the level that sets it.
struct SettingOrigin {
  std::string setting;
  std::string value;
  std::string level;  // "default", "root", "tenant", "service" or "class"
};

// Resolves the policy of a service's class in `tenant` under `root`. Returns kUnknownService or
// kUnknownClass if the tenant's branch has no such service or class.
absl::StatusOr<ClassPolicy> ResolveClass(const Branch& root, const Branch& tenant,
                                         std::string_view service, std::string_view class_name);

// Resolves the fleet-wide settings from the root's branch.
FleetPolicy ResolveFleet(const Branch& root);

// Lists every setting with its value in force at `path` and the level that sets it. `tenant` may be
// null for the root.
std::vector<SettingOrigin> ExplainPath(const Branch& root, const Branch* tenant,
                                       const TreePath& path);

// Returns all faults of a branch, each as "PATH: reason"; empty if it is valid. `root` is the
// root's branch after the change under validation. Conflicts between settings are only checked if
// each setting is valid by itself.
std::vector<std::string> ValidateBranch(const Branch& root, const Branch& branch);

}  // namespace cartsail
