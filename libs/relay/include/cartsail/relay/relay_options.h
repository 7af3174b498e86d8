// Settings of a relay node.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/grant_allowances.h"
#include "cartsail/dispatch/placement_policy.h"
#include "cartsail/net/http_types.h"
#include "cartsail/relay/duty_options.h"
#include "cartsail/retries/retry_budget.h"

namespace cartsail {

struct RelayOptions {
  std::string node_id;
  std::string zone;
  std::string region;                               // of `zone`; empty: unknown
  std::map<std::string, std::string> zone_regions;  // region by zone
  double capacity = 1;                              // CPU cores that this node may use
  int64_t memory_bytes = int64_t{256} << 20;        // memory that this process may use
  Endpoint listen;                                  // for callers
  Endpoint ready;    // for the balancer's readiness checks, and metrics
  Endpoint metrics;  // for metrics; port 0: at `ready` only
  // For other nodes: datagrams, and documents over HTTP. The next port is for bridges to back ends.
  Endpoint peer;
  std::vector<std::string> seeds;  // hosts of other nodes, possibly down; same port as `peer`
  bool first_start = false;        // the whole system starts: all nodes start at about this time
  Duration digest_interval = milliseconds(100);  // between digests sent to coordinators
  double digest_bytes_per_s = 9000;              // upper bound of the bytes sent in digests
  Duration connect_timeout = milliseconds(400);  // for connecting to a back end
  Duration grace = seconds(8);                   // from the stop signal to the end of the process
  Duration balancer_delay = seconds(3);  // until the balancer has noticed that a node is not ready
  // Time from the store's acknowledgement until a document must be in force at every node.
  Duration document_deadline = seconds(2);
  // Time from the store's acknowledgement of a zone's drain until no request may reach the zone's
  // back ends.
  Duration zone_drain_deadline = seconds(5);
  // Time from the store's acknowledgement that a back end leaves until no request may reach it.
  Duration backend_drain_deadline = seconds(2);
  ColdBound cold_bound;
  RetryBudgetOptions retry_budget;
  PlacementPolicy placement;
  DutyOptions duties;

  uint16_t BridgePort() const { return static_cast<uint16_t>(peer.port + 1); }
};

}  // namespace cartsail
