#include "catalog/residency_audit.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>

namespace cartsail {
namespace {

// Collects the residency faults of one document against one state of the registry.
class FaultFinder {
 public:
  FaultFinder(const RoutingDocument& document, const BackendRegistry& registry)
      : document_(document), registry_(registry) {}

  std::vector<ResidencyFault> Find() {
    for (const RouteRule& route : document_.routes) FindInRoute(route);
    for (const TenantRule& tenant : document_.tenants) {
      FindUnknown("tenants." + tenant.name + ".residency", tenant.residency);
    }
    FindZones();
    return std::move(faults_);
  }

 private:
  void FindInRoute(const RouteRule& route) {
    if (!route.residency.has_value()) return;
    const std::string field = "routes." + route.name + ".residency";
    FindUnknown(field, route.residency);
    RequestProfile profile;
    profile.residency = route.residency;
    const RegionSet allowed = registry_.Regions().AllowedFor(profile);
    for (const ServiceShare& share : route.shares) {
      const std::vector<const Backend*>& ready = ReadyOf(share.service);
      const auto is_allowed = [&allowed](const Backend* backend) {
        return allowed.Allows(backend->region);
      };
      if (std::any_of(ready.begin(), ready.end(), is_allowed)) continue;
      faults_.push_back({field, absl::StrJoin(*route.residency, ","), "no_backend", share.service});
    }
  }

  void FindUnknown(const std::string& field, const Residency& residency) {
    if (!residency.has_value()) return;
    for (const std::string& region : *residency) {
      if (registry_.Regions().IndexOfName(region) != kUnknownRegion) continue;
      faults_.push_back({field, region, "unknown_region", ""});
    }
  }

  // Backends in zones without a region serve no request with a residency rule.
  void FindZones() {
    if (registry_.Regions().Count() == 0) return;
    std::set<std::string> zones;
    for (const ServiceRule& service : document_.services) {
      for (const Backend* backend : ReadyOf(service.name)) {
        if (backend->region == kUnknownRegion) zones.insert(backend->zone);
      }
    }
    for (const std::string& zone : zones) {
      faults_.push_back({"zones", zone, "zone_without_region", ""});
    }
  }

  const std::vector<const Backend*>& ReadyOf(const std::string& service) {
    const auto entry = ready_.find(service);
    if (entry != ready_.end()) return entry->second;
    return ready_.emplace(service, registry_.ReadyOf(service)).first->second;
  }

  const RoutingDocument& document_;
  const BackendRegistry& registry_;
  std::map<std::string, std::vector<const Backend*>> ready_;  // by service
  std::vector<ResidencyFault> faults_;
};

}  // namespace

std::vector<ResidencyFault> FindResidencyFaults(const RoutingDocument& document,
                                                const BackendRegistry& registry) {
  return FaultFinder(document, registry).Find();
}

std::vector<ResidencyFault> ResidencyAudit::Check(const RoutingDocument& document,
                                                  const BackendRegistry& registry, TimePoint now) {
  if (!last_.has_value()) last_ = now;  // the backend list may still be incomplete
  if (now - *last_ < kInterval) return {};
  if (document.version == version_ && registry.Changes() == registry_changes_) return {};
  last_ = now;
  version_ = document.version;
  registry_changes_ = registry.Changes();
  std::vector<ResidencyFault> unreported;
  for (ResidencyFault& fault : FindResidencyFaults(document, registry)) {
    if (reported_.size() >= kMaxReported) break;
    if (reported_.insert(fault).second) unreported.push_back(std::move(fault));
  }
  return unreported;
}

}  // namespace cartsail
