// The routing document: which requests go to which services, who may send them, and with which
// limits. A document is applied as a whole or not at all. Performs no I/O.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// Whether a request may be retried after an attempt that may have run.
enum class RequestKind {
  kRepeatable,  // may run any number of times
  kOnce,        // may run at most once
  kStream,      // an event stream; may run once, unless the route is resumable
};

// One of the services among which a route's requests are divided.
struct ServiceShare {
  std::string service;
  int64_t weight = 1;  // relative to the route's other shares; 0 or less: no requests
};

// Requests of one host whose path starts with `path_prefix`.
struct RouteRule {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with '/'
  RequestKind kind = RequestKind::kOnce;
  Duration timeout = seconds(60);           // longest time that a request may take
  Duration first_output_goal = seconds(1);  // target for the full answer or a stream's first event
  std::optional<Duration> longest_pause;    // target for the gap between two events; nullopt: none
  int64_t tier = 0;                         // priority; 0 is served first
  std::vector<ServiceShare> shares;         // at least one
  int64_t max_attempts = 1;                 // backends that one request may run on; at least 1
  bool is_public = false;                   // needs no API key
  bool resumable = false;                   // a stream may be resumed at another backend
  bool prefers_cached_prefix = false;       // requests name the parts of their prompt
  // Data residency: the regions in which requests may be served; nullopt: all.
  std::optional<std::vector<std::string>> residency;
};

// Characteristics of a model engine that placement uses.
struct EngineProfile {
  int64_t slots = 0;            // concurrent requests
  int64_t memory_tokens = 0;    // capacity of its prompt memory
  int64_t bytes_per_token = 0;  // size of prompt memory when it is transferred
  double link_mbps = 0;         // bandwidth for transfers of prompt memory
  int64_t tokens_per_event = 1;
};

// Price of an engine in a zone, relative to other zones.
struct ZonePrice {
  std::string zone;
  double price = 1;
};

// Bounds and prices of engines that the platform starts and stops on order.
struct EngineScaling {
  int64_t least = 0;             // minimum number of engines per zone, of both kinds together
  int64_t most = 0;              // maximum number of engines per zone, of both kinds together
  Duration boot{};               // time from an order until the engines serve
  double reclaimable_price = 0;  // of a preemptible engine, as a share of full price; 0: none
  std::vector<ZonePrice> zones;  // zones in which engines may be ordered
};

// Backends that have just started are slow for a while and can serve few requests.
struct WarmUp {
  Duration length{};          // from the start of a backend
  double requests_per_s = 0;  // that a backend can serve during the warm-up
};

struct ServiceRule {
  std::string name;
  int64_t max_connections = 0;           // limit of each backend for all its clients; 0: none
  std::optional<EngineProfile> engine;   // nullopt: not a model engine
  std::optional<EngineScaling> scaling;  // nullopt: no backends are ordered
  std::optional<WarmUp> warm_up;         // nullopt: backends serve at full rate from their start
  std::string health_path;               // path of the backends' health check; empty: none
};

struct TenantRule {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int64_t> tier;  // overrides the route's tier; nullopt: the route's applies
  // Data residency, as for a route; if both name regions, a region must be in both.
  std::optional<std::vector<std::string>> residency;
};

// Limits on requests from clients.
struct RequestLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 4 << 20;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct RoutingDocument {
  int64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  RequestLimits limits;
  std::vector<TenantRule> tenants;  // empty: no API keys are required
};

// Returns kInvalidSetting with the first error found, for instance an unknown service, a malformed
// path prefix or a duplicate route name.
absl::Status ValidateRoutingDocument(const RoutingDocument& document);

}  // namespace cartsail
