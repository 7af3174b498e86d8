// Status report of a node for operators, from its own view: drained zones, capacity, residency
// rules in force, quarantined requests, and why a backend receives no requests. Bounded in size.
// Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"
#include "cartsail/base/json.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/quarantine/quarantine_list.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// HTTP path of the report, and the query parameter that selects one backend by id.
inline constexpr std::string_view kStatusPath = "/status";
inline constexpr std::string_view kBackendParameter = "backend";

// Maximum rows per list, about 20 KB in all. Rows left out are counted in `omitted`.
inline constexpr size_t kMaxStatusRows = 64;

// Node state from which the report is built.
struct NodeView {
  std::string node;
  std::string zone;
  std::string region;
  bool is_ready = false;
  const std::map<std::string, std::string>& zone_regions;
  const RoutingDocument& document;
  const Dispatcher& dispatcher;
  const QuarantineList& quarantined;
};

json::object DescribeNode(const NodeView& view, TimePoint now);

// Returns nullopt when the node does not know the backend.
std::optional<json::object> DescribeBackend(const NodeView& view, std::string_view id,
                                            TimePoint now);

}  // namespace cartsail
