// Puts together what several nodes tell of drained zones, of regions and of one back end. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cartsail/base/json.h"

namespace cartsail {

// Requests: the greatest figure of any node. The node that places a service's requests knows all
// of them, the others fewer.
struct DrainedZone {
  std::string zone;
  int64_t drained_for_ms = 0;  // since the first of the nodes learnt it
  int64_t nodes = 0;           // that have the drain in force
  int64_t backends = 0;
  int64_t requests = 0;  // that still run there
};

// What is left for a service in the zones that are not drained.
struct RoomElsewhere {
  std::string service;
  int64_t backends = 0;
  int64_t cold = 0;
  int64_t slots = 0;
  int64_t requests = 0;  // those that still run in drained zones included
};

struct ResidencyRule {
  std::string kind;  // tenant or route
  std::string name;
  std::vector<std::string> regions;
  int64_t nodes = 0;  // that have it in force

  bool IsSame(const ResidencyRule& other) const {
    return kind == other.kind && name == other.name && regions == other.regions;
  }
};

// A request, or all requests with certain prompt parts, sent to no back end since back ends ended
// under it.
struct QuarantinedOnNodes {
  std::string fingerprint;
  std::string parts;    // fingerprints, joined by commas; empty: a single request
  int64_t left_ms = 0;  // the longest of any node
  int64_t nodes = 0;    // that keep it from back ends
};

struct FleetView {
  int64_t nodes = 0;  // that answered
  std::vector<DrainedZone> drained;
  std::vector<RoomElsewhere> rooms;
  std::map<std::string, std::set<std::string>> zones_by_region;
  std::vector<ResidencyRule> residency;
  std::vector<QuarantinedOnNodes> quarantined;
  int64_t omitted = 0;  // rows that nodes left out of their answers

  // All nodes that answered have the same drains in force.
  bool IsAgreed() const;
};

// `answers`: the status of each node that answered.
FleetView MakeFleetView(const std::vector<json::object>& answers);

}  // namespace cartsail
