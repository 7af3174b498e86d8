// The routing document in force at this node, and how fresh the node's view of the store is.
// Versions only rise. Pure.
#pragma once

#include <algorithm>
#include <memory>
#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/routing/route_table.h"

namespace cartsail {

class RoutingState {
 public:
  // The table in force; nullptr before the first one.
  const std::shared_ptr<const RouteTable>& Table() const { return table_; }

  // Puts a newer table in force; false when it is not newer. `encoded` is the document as it is
  // handed on to peers; `known_since`: when the first node on its way put it in force.
  bool Apply(std::shared_ptr<const RouteTable> table, std::string encoded,
             TimePoint known_since = {});

  const std::string& Encoded() const { return encoded_; }
  TimePoint KnownSince() const { return known_since_; }
  int64_t Version() const { return table_ == nullptr ? 0 : table_->Version(); }

  // The store has answered at `now`: what is in force was the newest then.
  void Confirm(TimePoint now) { confirmed_ = now; }

  // A peer with the same document had the store's word at `then`.
  void ConfirmFromPeer(TimePoint then) { confirmed_ = std::max(confirmed_, then); }

  // The store, or a peer that hears it, has answered within `limit`: refusing what the document
  // doesn't know is then justified.
  bool IsFresh(TimePoint now, Duration limit) const {
    return table_ != nullptr && now - confirmed_ <= limit;
  }

  TimePoint Confirmed() const { return confirmed_; }

 private:
  std::shared_ptr<const RouteTable> table_;
  std::string encoded_;
  TimePoint known_since_{};
  TimePoint confirmed_{};
};

}  // namespace cartsail
