// The routing document in force at this node and the age of the node's view of the store. The
// version never decreases. No I/O, no clock.
#pragma once

#include <algorithm>
#include <memory>
#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/routing/route_table.h"

namespace cartsail {

class RoutingState {
 public:
  // The table in force; nullptr until the first Apply().
  const std::shared_ptr<const RouteTable>& Table() const { return table_; }

  // Puts a newer table in force; returns false if it is not newer. `encoded`: the document as sent
  // to peers. `known_since`: when the first node on the document's way here put it in force.
  bool Apply(std::shared_ptr<const RouteTable> table, std::string encoded,
             TimePoint known_since = {});

  const std::string& Encoded() const { return encoded_; }
  TimePoint KnownSince() const { return known_since_; }
  int64_t Version() const { return table_ == nullptr ? 0 : table_->Version(); }

  // Records that the store confirmed the document in force as the newest at `now`.
  void Confirm(TimePoint now) { confirmed_ = now; }

  // Records that the store confirmed the same document to a peer at `then`.
  void ConfirmFromPeer(TimePoint then) { confirmed_ = std::max(confirmed_, then); }

  // True if the document was confirmed within `limit`, by the store or through a peer. Routes and
  // keys that it lacks may then be refused.
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
