#include "status/node_status.h"

#include <algorithm>
#include <set>

#include "status/service_capacity.h"

namespace cartsail {
namespace {

int64_t MillisUntil(TimePoint time, TimePoint now) {
  return std::max<int64_t>(static_cast<int64_t>(ToMillis(time - now)), 0);
}

std::string RegionOf(const NodeView& view, const std::string& zone) {
  const auto found = view.zone_regions.find(zone);
  return found == view.zone_regions.end() ? std::string() : found->second;
}

// JSON array of at most kMaxStatusRows rows; further rows are only counted.
class RowList {
 public:
  void Add(json::object row) {
    if (rows_.size() < kMaxStatusRows) {
      rows_.push_back(std::move(row));
    } else {
      ++omitted_;
    }
  }
  json::array Take() { return std::move(rows_); }
  int64_t Omitted() const { return omitted_; }

 private:
  json::array rows_;
  int64_t omitted_ = 0;
};

struct ZoneLoad {
  int64_t backends = 0;
  int64_t requests = 0;
};

std::map<std::string, ZoneLoad> LoadByZone(const NodeView& view) {
  std::map<std::string, ZoneLoad> zones;
  for (const auto& [zone, region] : view.zone_regions) zones[zone];
  for (const std::string& zone : view.dispatcher.Registry().Drains().Zones()) zones[zone];
  for (const Backend& backend : view.dispatcher.Registry().All()) {
    ZoneLoad& load = zones[backend.zone];
    ++load.backends;
    load.requests += view.dispatcher.RequestsAt(backend.key);
  }
  return zones;
}

json::object ZoneRow(const NodeView& view, const std::string& zone, const ZoneLoad& load,
                     TimePoint now) {
  const ZoneDrains& drains = view.dispatcher.Registry().Drains();
  json::object row{{"zone", zone},
                   {"region", RegionOf(view, zone)},
                   {"backends", load.backends},
                   {"requests", load.requests}};
  const std::optional<TimePoint> since = drains.DrainedSince(zone);
  row["drained"] = since.has_value();
  if (since.has_value()) row["drained_for_ms"] = MillisUntil(now, *since);
  const std::optional<TimePoint> restored = drains.RestoredAt(zone);
  if (restored.has_value()) row["restored_for_ms"] = MillisUntil(now, *restored);
  return row;
}

json::object ServiceRow(const ServiceCapacity& capacity) {
  return {{"service", capacity.service},
          {"backends", capacity.backends},
          {"cold", capacity.cold},
          {"slots", capacity.slots},
          {"requests", capacity.requests},
          {"drained_backends", capacity.drained_backends},
          {"drained_requests", capacity.drained_requests}};
}

json::object ResidencyRow(std::string_view kind, const std::string& name,
                          const std::vector<std::string>& regions) {
  json::array list;
  const size_t count = std::min(regions.size(), kMaxStatusRows);
  for (size_t i = 0; i < count; ++i) list.emplace_back(regions[i]);
  return {{"kind", kind}, {"name", name}, {"regions", std::move(list)}};
}

RowList QuarantinedRows(const QuarantineList& quarantined, TimePoint now) {
  RowList rows;
  for (const QuarantinedRequest& entry : quarantined.Newest(quarantined.Size(), now)) {
    rows.Add({{"fingerprint", FingerprintText(entry.request)},
              {"parts", PartsText(entry.parts)},
              {"left_ms", MillisUntil(entry.until, now)}});
  }
  return rows;
}

void AddResidency(const RoutingDocument& document, RowList* rows) {
  for (const TenantRule& tenant : document.tenants) {
    if (tenant.residency.has_value()) {
      rows->Add(ResidencyRow("tenant", tenant.name, *tenant.residency));
    }
  }
  for (const RouteRule& route : document.routes) {
    if (route.residency.has_value()) rows->Add(ResidencyRow("route", route.name, *route.residency));
  }
}

bool IsReplacedAtItsAddress(const Backend& backend, const BackendRegistry& registry) {
  for (const Backend& other : registry.All()) {
    const bool is_newer = other.created_revision > backend.created_revision;
    if (other.address == backend.address && is_newer) return true;
  }
  return false;
}

// In the order in which they are checked for a request. Empty when the backend is eligible.
json::array ReasonsNotChosen(const Backend& backend, const Dispatcher& dispatcher, TimePoint now) {
  json::array reasons;
  if (backend.state == BackendState::kLeaving) reasons.emplace_back("leaving");
  if (dispatcher.Registry().Drains().IsDrained(backend.zone)) reasons.emplace_back("zone_drained");
  if (dispatcher.Registry().BackoffLeft(backend.key, now).has_value())
    reasons.emplace_back("backoff");
  if (IsReplacedAtItsAddress(backend, dispatcher.Registry())) {
    reasons.emplace_back("newer_entry_at_its_address");
  }
  if (dispatcher.IsSuspended(backend.key, now)) reasons.emplace_back("failed_lately");
  if (backend.cold_until.has_value() && now < *backend.cold_until) reasons.emplace_back("cold");
  if (dispatcher.Registry().Limits().Of(backend.key).has_value())
    reasons.emplace_back("rate_limit");
  if (dispatcher.RequestsAt(backend.key) >= backend.slots) {
    reasons.emplace_back("all_slots_taken");
  }
  return reasons;
}

}  // namespace

json::object DescribeNode(const NodeView& view, TimePoint now) {
  RowList zones;
  for (const auto& [zone, load] : LoadByZone(view)) zones.Add(ZoneRow(view, zone, load, now));
  RowList services;
  for (const ServiceCapacity& capacity : CapacityOfAll(view.document, view.dispatcher, now)) {
    services.Add(ServiceRow(capacity));
  }
  RowList residency;
  AddResidency(view.document, &residency);
  RowList quarantined = QuarantinedRows(view.quarantined, now);
  const int64_t omitted =
      zones.Omitted() + services.Omitted() + residency.Omitted() + quarantined.Omitted();
  return {{"node", view.node},
          {"zone", view.zone},
          {"region", view.region},
          {"ready", view.is_ready},
          {"revision", view.document.version},
          {"zones", zones.Take()},
          {"services", services.Take()},
          {"residency", residency.Take()},
          {"quarantined", quarantined.Take()},
          {"omitted", omitted}};
}

std::optional<json::object> DescribeBackend(const NodeView& view, std::string_view id,
                                            TimePoint now) {
  const Backend* backend = view.dispatcher.Registry().Find(id);
  if (backend == nullptr) return std::nullopt;
  const bool is_ready = backend->state == BackendState::kReady;
  const TimePoint cold_until = backend->cold_until.value_or(now);
  const TimePoint missing_until = backend->missing_until.value_or(now);
  return json::object{
      {"node", view.node},
      {"backend", backend->id},
      {"service", backend->service},
      {"address", backend->address},
      {"zone", backend->zone},
      {"region", RegionOf(view, backend->zone)},
      {"version", backend->version},
      {"started_ms", backend->started_ms},
      {"state", is_ready ? "ready" : "leaving"},
      {"zone_drained", view.dispatcher.Registry().Drains().IsDrained(backend->zone)},
      {"cold_for_ms", MillisUntil(cold_until, now)},
      {"missing", backend->missing_until.has_value()},
      {"gone_in_ms", MillisUntil(missing_until, now)},
      {"requests", view.dispatcher.RequestsAt(backend->key)},
      {"slots", backend->slots},
      {"not_chosen", ReasonsNotChosen(*backend, view.dispatcher, now)}};
}

}  // namespace cartsail
