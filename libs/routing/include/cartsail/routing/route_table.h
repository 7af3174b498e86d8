// Look-ups in one routing document. Immutable after it was built. Pure.
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
  // kInvalidSetting when the document is not valid.
  static absl::StatusOr<std::shared_ptr<const RouteTable>> Build(RoutingDocument document);

  // The rule of `host` (a port is ignored) with the longest prefix of `path`, or nullptr.
  const RouteRule* FindRoute(std::string_view host, std::string_view path) const;

  // The tenant that holds `api_key`, or nullptr.
  const TenantRule* FindTenant(std::string_view api_key) const;

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
  // Per host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> routes_;
  std::unordered_map<std::string, const TenantRule*> tenants_by_key_;
  std::unordered_map<std::string, const ServiceRule*> services_;
};

// The service of `route` for a request: shares are honoured by weight, and one request id always
// gets the same service.
const std::string& PickService(const RouteRule& route, std::string_view request_id);

}  // namespace cartsail
