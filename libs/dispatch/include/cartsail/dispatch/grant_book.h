// The outstanding placements that a coordinator made for other nodes, by node and by the id that
// the node gave its query. Tolerates lost and duplicated messages. Performs no I/O.
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
  // The outstanding grant for a query, or nullptr. A duplicated query gets the same grant.
  const OutstandingGrant* Find(const std::string& node, PlacementQueryId query) const;

  void Add(const std::string& node, PlacementQueryId query, const OutstandingGrant& grant);

  // Removes the grant of a request that has ended; nothing when there is none.
  std::optional<PlacementTicket> Take(const std::string& node, PlacementQueryId query);

  // Compares the grants with `live`, all queries of `node` whose requests have not ended. Removes
  // and returns the others: their requests ended, but the message was lost. Grants younger than
  // `kGraceForNew` are kept, because they may have crossed the list in transit.
  std::vector<PlacementTicket> Reconcile(const std::string& node,
                                         const std::vector<PlacementQueryId>& live, TimePoint now);

  // Records that a message from `node` arrived.
  void Heard(const std::string& node, TimePoint now);

  // Removes and returns all grants of nodes that have not been heard from for `kSilence`.
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
