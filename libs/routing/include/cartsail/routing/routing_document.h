// The routing document: which requests go to which services, who may send them and under which
// bounds. One document is one version; it is applied whole or not at all. Pure.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// What may be done with a request whose first attempt may have run.
enum class RequestKind {
  kRepeatable,  // may run any number of times
  kOnce,        // may run at most once
  kStream,      // an event stream; may run once, unless the route is resumable
};

// One of the services among which a route's requests are divided.
struct ServiceShare {
  std::string service;
  int64_t weight = 1;
};

// Requests of one host whose path starts with `path_prefix`.
struct RouteRule {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with '/'
  RequestKind kind = RequestKind::kOnce;
  Duration timeout = seconds(60);           // longest that a request may be held
  Duration first_output_goal = seconds(1);  // full answer, or first event of a stream
  std::optional<Duration> longest_pause;    // between two events of a stream
  int64_t tier = 0;                         // 0 is served first
  std::vector<ServiceShare> shares;         // at least one
  int64_t max_attempts = 1;                 // back ends that one request may run on
  bool is_public = false;                   // needs no API key
  bool resumable = false;                   // a stream may go on at another back end
  bool prefers_cached_prefix = false;       // requests name the parts of their prompt
  // Data residency: regions in which requests may be served; nothing: in all.
  std::optional<std::vector<std::string>> residency;
};

// Figures of a model engine that placement uses.
struct EngineProfile {
  int64_t slots = 0;            // requests that run at once
  int64_t memory_tokens = 0;    // tokens that its memory holds
  int64_t bytes_per_token = 0;  // of prompt memory, when it is moved
  double link_mbps = 0;         // for moves of prompt memory
  int64_t tokens_per_event = 1;
};

// What an engine in this zone costs, beside others.
struct ZonePrice {
  std::string zone;
  double price = 1;
};

// Engines that the platform starts and stops on order.
struct EngineScaling {
  int64_t least = 0;             // engines in each zone, of both kinds together
  int64_t most = 0;              // the same
  Duration boot{};               // from an order until the engines serve
  double reclaimable_price = 0;  // of an engine that may be taken away, as a share; 0: none
  std::vector<ZonePrice> zones;  // in which engines may be ordered
};

// Back ends that have just started are slow for a while and bear few requests.
struct WarmUp {
  Duration length{};          // from the start of a back end
  double requests_per_s = 0;  // that it bears meanwhile
};

struct ServiceRule {
  std::string name;
  int64_t max_connections = 0;           // a back end's limit for all callers; 0: none
  std::optional<EngineProfile> engine;   // absent: a plain service
  std::optional<EngineScaling> scaling;  // absent: the number of back ends is not ordered
  std::optional<WarmUp> warm_up;         // absent: back ends serve at full rate from their start
  std::string health_path;               // at its back ends; empty: they answer no such question
};

struct TenantRule {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int64_t> tier;  // takes precedence over the route's
  // Data residency, as of a route; where both tell regions, both bind.
  std::optional<std::vector<std::string>> residency;
};

// Bounds of what a caller may send.
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
  std::vector<TenantRule> tenants;  // empty: no key is asked for
};

// kInvalidSetting names the first fault: an unknown service, a malformed prefix, a repeated name.
absl::Status ValidateRoutingDocument(const RoutingDocument& document);

}  // namespace cartsail
