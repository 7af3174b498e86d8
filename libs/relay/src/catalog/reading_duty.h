// Decides which nodes read the store, and how long a starting node waits for its peers. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cartsail/base/clock.h"
#include "cartsail/relay/document_limits.h"

namespace cartsail {

// Number of nodes that normally read the store: the first in an order on which all nodes agree.
// With three, a change is still received at once when two are cut off from the store. Each makes
// one call in about 1.9 s.
inline constexpr size_t kStoreReaders = 3;
// Limit of that number. While no reader gets an answer, more and more nodes try, since the store
// may be refusing only the current readers. Beyond the limit, a slightly smaller group of other
// nodes reads in turns, so that an outage costs a few calls per second whatever the size of the
// fleet.
inline constexpr size_t kMaxStoreReaders = 24;

// Number of nodes that read. `unconfirmed`: time since the store last answered this node or one of
// its peers. The number doubles once this exceeds two thirds of the deadline for new documents, and
// again with each further third.
inline size_t ReadersNeeded(Duration unconfirmed, const DocumentLimits& limits) {
  size_t readers = kStoreReaders;
  Duration limit = limits.direct_read_when_unconfirmed;
  while (unconfirmed > limit && readers < kMaxStoreReaders) {
    readers *= 2;
    limit += limits.direct_read_when_unconfirmed / 2;
  }
  return std::min(readers, kMaxStoreReaders);
}

// True when the node with this `rank` (from 0) among `nodes` reads the store. The first
// ReadersNeeded() nodes always do. One turn after their number has reached its limit, groups of
// the other nodes read as well, each for one turn of equal length.
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

// Time for which a node that is not among the first kStoreReaders keeps reading after it got an
// answer, since the nodes before it may be cut off for some time.
inline constexpr Duration kReaderHoldTime = seconds(5);

// A node that has received nothing from any peer for this long counts as isolated, and reads the
// store itself when its document stays unconfirmed. Longer than a few probes of each node.
inline constexpr Duration kIsolatedAfter = milliseconds(1500);

// Time from a node's start until it may read the store. On the first start of a fleet
// (kFirstStartWait), nodes find each other first. Later, a peer hands over its catalog within a few
// milliseconds, unless all nodes, or all that the node knows of, were lost; then the node lists the
// store with a cheap stale read, jittered so that nodes do not all list at the same time.
inline constexpr Duration kFirstStartWait = milliseconds(900);
inline constexpr Duration kPeerWait = milliseconds(40);
inline constexpr Duration kPeerWaitJitter = milliseconds(40);
// A starting node without a live peer lists the store at a random time between these two. Of a
// thousand nodes that start together, many have no live peer for some tenths of a second, since all
// of them ask the same seeds.
inline constexpr Duration kMinIsolatedWait = milliseconds(300);
inline constexpr Duration kMaxIsolatedWait = seconds(1);
// The number of nodes that may list doubles at this interval until a catalog is handed over.
inline constexpr Duration kListingInterval = seconds(1);
// A node's rank counts only after no further node was discovered for this long: of a thousand nodes
// that start together, each knows only a few at first and may rank first among them.
inline constexpr Duration kMembersSettled = milliseconds(200);

// State of a node that has started and has no catalog yet.
struct StartingNode {
  bool is_seed = false;     // listed in the seeds, which starting nodes ask first
  size_t live_peers = 0;    // known live peers
  size_t rank = 0;          // from 0, among the known live peers and itself
  Duration since_growth{};  // since the highest number of live peers rose
  Duration since_start{};
  double share = 0;  // position in the isolated wait, from 0 to 1, random per node
};

// True when the node may list the store, which costs one store call per page; a page of the
// platform's store holds 200 back ends. Seeds may list at once, and the other nodes get the list
// from them. For fleets without live seeds, the first nodes of the order may list too, twice as
// many after each interval.
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
