// Lookups in one routing document. Immutable once built. Performs no I/O.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/routing/routing_document.h"

namespace cartsail {

class RouteTable {
 public:
  // Returns kInvalidSetting if the document is invalid.
  static absl::StatusOr<std::shared_ptr<const RouteTable>> Build(RoutingDocument document);

  // The rule of `host` (its port is ignored) with the longest prefix that matches `path`; nullptr
  // if there is none.
  const RouteRule* FindRoute(std::string_view host, std::string_view path) const;

  // The tenant that holds `api_key`; nullptr if there is none.
  const TenantRule* FindTenant(std::string_view api_key) const;

  // Returns nullptr if the document has no such service.
  const ServiceRule* FindService(std::string_view name) const;

  // Names of the services that are model engines.
  std::vector<std::string> EngineServices() const;

  bool NeedsKeys() const { return !document_.tenants.empty(); }
  int64_t Version() const { return document_.version; }
  const RequestLimits& Limits() const { return document_.limits; }
  const RoutingDocument& Document() const { return document_; }

 private:
  explicit RouteTable(RoutingDocument document);

  RoutingDocument document_;
  // By lower-case host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> routes_;
  std::unordered_map<std::string, const TenantRule*> tenants_by_key_;
  std::unordered_map<std::string, const ServiceRule*> services_;
};

// Selects the service of `route` for a request. Requests are divided by the weights of the shares,
// and the same request id always gets the same service. The first service if no weight is positive.
const std::string& PickService(const RouteRule& route, std::string_view request_id);

}  // namespace cartsail
