// How many nodes read the store at a time, and how long a node that starts waits for its peers.
// Pure.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cartsail/base/clock.h"
#include "cartsail/relay/document_limits.h"

namespace cartsail {

// The first ones of an order that all nodes agree on. With three, two of which may be cut off from
// the store, a change is still heard at once; each of them makes one call in about 1.9 s.
inline constexpr size_t kStoreReaders = 3;
// While the store answers nobody, more and more nodes try: those that read may be the only ones
// that it turns away. So many of the first ones at most, and beside them some fewer of the others
// in turns, so that an outage costs some calls a second, whatever the size of the fleet.
inline constexpr size_t kMaxStoreReaders = 24;

// How many nodes read. `unconfirmed`: how long ago the store was last heard, by this node or by its
// peers. The number doubles with each third of the deadline for new documents beyond the first two.
inline size_t ReadersNeeded(Duration unconfirmed, const DocumentLimits& limits) {
  size_t readers = kStoreReaders;
  Duration limit = limits.direct_read_when_unconfirmed;
  while (unconfirmed > limit && readers < kMaxStoreReaders) {
    readers *= 2;
    limit += limits.direct_read_when_unconfirmed / 2;
  }
  return std::min(readers, kMaxStoreReaders);
}

// True when the node at place `rank` of `nodes` reads the store. Beside the first ones, who always
// do, turns of equal length go through the order once the number has reached its limit.
inline bool HasReadingTurn(size_t rank, size_t nodes, Duration unconfirmed,
                           const DocumentLimits& limits) {
  if (rank < ReadersNeeded(unconfirmed, limits)) return true;
  if (nodes <= kMaxStoreReaders) return false;
  const Duration turn = limits.direct_read_when_unconfirmed / 2;
  const Duration at_limit = 2 * limits.direct_read_when_unconfirmed;
  if (unconfirmed <= at_limit + turn) return false;
  const auto turns = static_cast<size_t>((unconfirmed - at_limit) / turn);
  const size_t others = nodes - kStoreReaders;
  const size_t in_turn = kMaxStoreReaders - kStoreReaders;
  const size_t first = turns * in_turn % others;
  return (rank - kStoreReaders + others - first) % others < in_turn;
}

// A node that was not among the first but had to read and was answered goes on for this long, since
// those before it may be cut off for some time.
inline constexpr Duration kReaderHoldTime = seconds(5);

// A node that hears no other node reads the store itself: longer than a few probes of each node.
inline constexpr Duration kIsolatedAfter = milliseconds(1500);

// From a node's start until it reads the store if it is to do so. When a fleet starts for the first
// time, nodes find each other first. Later some peer has the catalog and hands it over within some
// milliseconds, unless all nodes were lost, or those that a node knows of: then it lists the store,
// cheaply, and not at the same moment as all others.
inline constexpr Duration kFirstStartWait = milliseconds(900);
inline constexpr Duration kPeerWait = milliseconds(40);
inline constexpr Duration kPeerWaitJitter = milliseconds(40);
// A node that hears nobody lists at a moment of its own between these: of a thousand that start
// together many hear nobody for some tenths of a second, since all ask the same seeds.
inline constexpr Duration kMinIsolatedWait = milliseconds(300);
inline constexpr Duration kMaxIsolatedWait = seconds(1);
// Between two steps in which more nodes may list, while nobody hands a catalog over.
inline constexpr Duration kListingInterval = seconds(1);
// A node's place in the order tells something once it has heard of no further node for so long: of
// a thousand that start together each knows a few at first, and is the first of these.
inline constexpr Duration kMembersSettled = milliseconds(200);

// What a node that has just started and has no catalog knows.
struct StartingNode {
  bool is_seed = false;     // others are told of it when they start, and ask it first
  size_t live_peers = 0;    // that it has heard of
  size_t rank = 0;          // among these and itself
  Duration since_growth{};  // since it heard of a further one
  Duration since_start{};
  double share = 0;  // from 0 to 1, drawn by each node
};

// True when it may list the store, which costs a page for each 200 back ends. The seeds do at once,
// and the others get the list from them; where there are none, the first ones of the order, more of
// them with each step.
inline bool MayListAtStart(const StartingNode& node) {
  if (node.is_seed) return true;
  if (node.live_peers == 0) {
    const Duration spread = kMaxIsolatedWait - kMinIsolatedWait;
    return node.since_start >= kMinIsolatedWait + FromSeconds(node.share * ToSeconds(spread));
  }
  if (node.since_growth < kMembersSettled) return false;
  size_t listing = kStoreReaders;
  const int64_t steps = node.since_start / kListingInterval;
  for (int64_t i = 0; i < steps && listing < kMaxStoreReaders; ++i) listing *= 2;
  return node.rank < std::min(listing, kMaxStoreReaders);
}

}  // namespace cartsail
