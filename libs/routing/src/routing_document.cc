#include "cartsail/routing/routing_document.h"

#include <fmt/format.h>

#include <set>

#include "cartsail/base/status.h"

namespace cartsail {
namespace {

absl::Status InvalidDocument(const std::string& message) {
  return MakeError(ErrorKind::kInvalidSetting, message);
}

bool IsPathPrefix(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

absl::Status ValidateRoute(const RouteRule& route, const std::set<std::string>& services) {
  if (!IsPathPrefix(route.path_prefix)) {
    return InvalidDocument(fmt::format("route {}: path prefix '{}' must begin and end with '/'",
                                       route.name, route.path_prefix));
  }
  if (route.host.empty()) return InvalidDocument(fmt::format("route {}: no host", route.name));
  if (route.shares.empty()) {
    return InvalidDocument(fmt::format("route {}: no services", route.name));
  }
  for (const ServiceShare& share : route.shares) {
    if (services.count(share.service) != 0) continue;
    return InvalidDocument(fmt::format("route {}: unknown service {}", route.name, share.service));
  }
  if (route.max_attempts < 1) {
    return InvalidDocument(fmt::format("route {}: max_attempts is {}, must be at least 1",
                                       route.name, route.max_attempts));
  }
  if (route.timeout <= Duration::zero()) {
    return InvalidDocument(fmt::format("route {}: timeout must be positive", route.name));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status ValidateRoutingDocument(const RoutingDocument& document) {
  std::set<std::string> services;
  for (const ServiceRule& service : document.services) services.insert(service.name);
  std::set<std::string> route_names;
  for (const RouteRule& route : document.routes) {
    if (!route_names.insert(route.name).second) {
      return InvalidDocument(fmt::format("duplicate route name {}", route.name));
    }
    const absl::Status valid = ValidateRoute(route, services);
    if (!valid.ok()) return valid;
  }
  return absl::OkStatus();
}

}  // namespace cartsail
