// The routing document in force at this node, the age of the node's view of the store, and what the
// node knows of newer versions that it lacks. The version never decreases. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
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

  // Records that `version` of the document exists: a peer has it in force.
  void NoteVersionElsewhere(int64_t version, TimePoint now);

  // Records that `version` was the newest one of the store when the store was asked at `asked`.
  // Later versions that the node had heard of by then do not exist. Returns true if there were any.
  bool NoteNewestInStore(int64_t version, TimePoint asked);

  // Since when this node has lacked a version that it knows to exist; nullopt: it lacks none.
  std::optional<TimePoint> BehindSince() const;
  bool IsBehind() const { return lacked_.version > Version(); }

  // The newest version that is known to exist.
  int64_t NewestKnownVersion() const { return std::max(Version(), newest_lacked_.version); }

  // True if routes and keys that the document lacks may be refused for good: it was confirmed
  // within `limit`, and no newer version is known.
  bool MayRefuseUnknown(TimePoint now, Duration limit) const {
    return IsFresh(now, limit) && !IsBehind();
  }

  // True if the document was confirmed within `limit`, by the store or through a peer.
  bool IsFresh(TimePoint now, Duration limit) const {
    return table_ != nullptr && now - confirmed_ <= limit;
  }

  TimePoint Confirmed() const { return confirmed_; }

 private:
  // A version that was heard of before this node had it or a later one in force.
  struct LackedVersion {
    int64_t version = 0;  // 0: none
    TimePoint heard{};
  };

  // Forgets lacked versions up to the one in force.
  void DropLacked();

  // The versions that lie between the two are not kept: while changes follow each other, a node
  // that always lacks some counts as behind since the first of them.
  LackedVersion lacked_;
  LackedVersion newest_lacked_;
  std::shared_ptr<const RouteTable> table_;
  std::string encoded_;
  TimePoint known_since_{};
  TimePoint confirmed_{};
};

}  // namespace cartsail
