#include "cartsail/routing/route_table.h"

#include <algorithm>
#include <cctype>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

std::string HostName(std::string_view host) {
  const size_t colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  std::string name(host);
  for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return name;
}

bool LongerPrefix(const RouteRule* left, const RouteRule* right) {
  return left->path_prefix.size() > right->path_prefix.size();
}

}  // namespace

absl::StatusOr<std::shared_ptr<const RouteTable>> RouteTable::Build(RoutingDocument document) {
  const absl::Status valid = ValidateRoutingDocument(document);
  if (!valid.ok()) return valid;
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(document)));
}

RouteTable::RouteTable(RoutingDocument document) : document_(std::move(document)) {
  for (const RouteRule& route : document_.routes) routes_[HostName(route.host)].push_back(&route);
  for (auto& [host, rules] : routes_) std::stable_sort(rules.begin(), rules.end(), LongerPrefix);
  for (const TenantRule& tenant : document_.tenants) {
    for (const std::string& key : tenant.api_keys) tenants_by_key_[key] = &tenant;
  }
  for (const ServiceRule& service : document_.services) services_[service.name] = &service;
}

const RouteRule* RouteTable::FindRoute(std::string_view host, std::string_view path) const {
  const auto rules = routes_.find(HostName(host));
  if (rules == routes_.end()) return nullptr;
  for (const RouteRule* rule : rules->second) {
    if (path.substr(0, rule->path_prefix.size()) == rule->path_prefix) return rule;
  }
  return nullptr;
}

const TenantRule* RouteTable::FindTenant(std::string_view api_key) const {
  const auto tenant = tenants_by_key_.find(std::string(api_key));
  return tenant == tenants_by_key_.end() ? nullptr : tenant->second;
}

const ServiceRule* RouteTable::FindService(std::string_view name) const {
  const auto service = services_.find(std::string(name));
  return service == services_.end() ? nullptr : service->second;
}

std::vector<std::string> RouteTable::EngineServices() const {
  std::vector<std::string> names;
  for (const ServiceRule& service : document_.services) {
    if (service.engine.has_value()) names.push_back(service.name);
  }
  return names;
}

const std::string& PickService(const RouteRule& route, std::string_view request_id) {
  int64_t total = 0;
  for (const ServiceShare& share : route.shares) total += std::max<int64_t>(share.weight, 0);
  if (total <= 0) return route.shares.front().service;
  auto point = static_cast<int64_t>(Hash64(request_id) % static_cast<uint64_t>(total));
  for (const ServiceShare& share : route.shares) {
    point -= std::max<int64_t>(share.weight, 0);
    if (point < 0) return share.service;
  }
  return route.shares.back().service;
}

}  // namespace cartsail
