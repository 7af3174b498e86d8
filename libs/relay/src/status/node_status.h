// What a node tells operators of its own view: drained zones, room, regions in force, quarantined
// requests, and why a back end gets no request. Bounded in size. Pure.
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

// The path, and the parameter that names one back end.
inline constexpr std::string_view kStatusPath = "/status";
inline constexpr std::string_view kBackendParameter = "backend";

// Rows of one list that are told: some 20 KB in all. What is left out is counted in `omitted`.
inline constexpr size_t kMaxStatusRows = 64;

// What is in force at the node.
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

// Nothing when the node knows no such back end.
std::optional<json::object> DescribeBackend(const NodeView& view, std::string_view id,
                                            TimePoint now);

}  // namespace cartsail
