// The placements that a coordinator made for other nodes and that have not ended, by node and the
// number that the node gave its question. Messages may be lost or come twice. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/placement.h"

namespace cartsail {

using PlacementQueryId = uint32_t;

struct OutstandingGrant {
  PlacementTicket ticket = 0;
  PlacementGrant grant;
  TimePoint granted;
};

class GrantBook {
 public:
  // nullptr when there is none: a question that comes twice gets the same grant.
  const OutstandingGrant* Find(const std::string& node, PlacementQueryId question) const;

  void Add(const std::string& node, PlacementQueryId question, const OutstandingGrant& grant);

  // The request has ended.
  std::optional<PlacementTicket> Take(const std::string& node, PlacementQueryId question);

  // `node` tells all its requests that have not ended. Returns those that ended without its word
  // having come; grants younger than `kGraceForNew` are kept, since they may have crossed the list.
  std::vector<PlacementTicket> Reconcile(const std::string& node,
                                         const std::vector<PlacementQueryId>& live, TimePoint now);

  // Something came from `node`.
  void Heard(const std::string& node, TimePoint now);

  // Takes out all of nodes that have not been heard for `kSilence`.
  std::vector<PlacementTicket> TakeFromSilentNodes(TimePoint now);

  size_t Size() const;

  static constexpr Duration kGraceForNew = milliseconds(500);
  static constexpr Duration kSilence = seconds(6);

 private:
  struct NodeGrants {
    TimePoint heard;
    std::map<PlacementQueryId, OutstandingGrant> grants;
  };

  std::map<std::string, NodeGrants> nodes_;
};

}  // namespace cartsail
