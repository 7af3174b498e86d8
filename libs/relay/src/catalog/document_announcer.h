// Whom a node tells of a new version of the routing document, and how often. Every node that gets
// a new version tells a few others at once, so that a version reaches n nodes in about
// log(n) / log(kPeersPerRound) trips and no node hands it to more than kPeersPerRound others at a
// time. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/hash.h"
#include "fleet/peer_table.h"

namespace cartsail {

class DocumentAnnouncer {
 public:
  // Peers that are told in one round.
  static constexpr size_t kPeersPerRound = 4;
  // Rounds of one version. With 15 of 100 datagrams lost, 480 nodes and 8 readers, every node is
  // told within 0.2 s in each of 20 seeds (document_announcer_test).
  static constexpr int kRounds = 8;
  // Between two rounds: longer than a notice and its answer take between zones (1 to 3 ms), so that
  // peers that have the version are not told again.
  static constexpr Duration kRoundInterval = milliseconds(50);

  // `node`: this node's name; nodes tell others in different orders.
  explicit DocumentAnnouncer(std::string_view node) : seed_(Hash64(node)) {}

  // Hosts to tell now that `version` is in force here, of those that are not known to have it;
  // none when it has been told enough. One is of another zone than `zone`, the others of this one
  // as long as there are some: who is told fetches from who told it, and bytes between zones cost.
  std::vector<std::string> NextRound(int64_t version, const std::vector<LivePeer>& behind,
                                     const std::string& zone);

 private:
  uint64_t seed_;
  int64_t version_ = 0;
  int rounds_ = 0;
  std::map<std::string, int> notices_sent_;  // times, by host
};

}  // namespace cartsail
