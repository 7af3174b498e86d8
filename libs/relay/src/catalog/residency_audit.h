// Checks whether the data residency rules of the routing document can be met. Each fault is
// reported once, so that operators see it before requests are refused.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

struct ResidencyFault {
  std::string field;    // path in the document, or `zones` for the zone setting
  std::string value;    // value of `field`
  std::string why;      // unknown_region, no_backend, zone_without_region
  std::string service;  // without a backend in the allowed regions; empty for other faults

  bool operator==(const ResidencyFault&) const = default;
  bool operator<(const ResidencyFault& other) const {
    return std::tie(field, value, why, service) <
           std::tie(other.field, other.value, other.why, other.service);
  }
};

// Pure.
std::vector<ResidencyFault> FindResidencyFaults(const RoutingDocument& document,
                                                const BackendRegistry& registry);

class ResidencyAudit {
 public:
  // Returns the faults not reported before. Empty until kInterval has passed since the first call
  // or the last check, and while neither the document nor the registry has changed. Meant to be
  // called often.
  std::vector<ResidencyFault> Check(const RoutingDocument& document,
                                    const BackendRegistry& registry, TimePoint now);

  static constexpr Duration kInterval = seconds(5);  // each check visits all backends
  static constexpr size_t kMaxReported = 64;         // faults per process

 private:
  std::optional<TimePoint> last_;
  int64_t version_ = 0;
  int64_t registry_changes_ = -1;
  std::set<ResidencyFault> reported_;
};

}  // namespace cartsail
