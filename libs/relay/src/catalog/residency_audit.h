// Looks whether the data residency that the document asks for can be kept: what cannot is logged
// once, so that operators see a fault before its requests are refused.
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
  std::string field;    // of the document or the settings
  std::string value;    // of it
  std::string why;      // unknown_region, no_backend, zone_without_region
  std::string service;  // that has no back end there; empty: not of one

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
  // The faults that were not told before, when it is time to look again. To be called often.
  std::vector<ResidencyFault> Check(const RoutingDocument& document,
                                    const BackendRegistry& registry, TimePoint now);

  static constexpr Duration kInterval = seconds(5);  // one look passes over all back ends
  static constexpr size_t kMaxReported = 64;         // faults in a process's life

 private:
  std::optional<TimePoint> last_;
  int64_t version_ = 0;
  int64_t registry_changes_ = -1;
  std::set<ResidencyFault> reported_;
};

}  // namespace cartsail
