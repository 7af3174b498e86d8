// All ways in which five nodes may be cut off from each other, and the fleet as each then sees it.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/peer_table.h"

namespace cartsail {

inline constexpr int kPartitionedNodes = 5;
inline const TimePoint kPartitionedAt = TimePoint(seconds(1000));

using Partition = std::vector<int>;  // the part of each node

inline std::string HostOf(int number) { return "10.0.0." + std::to_string(number); }

inline NodeState StateOf(int number) {
  NodeState state;
  state.node = "n" + std::to_string(number);
  state.zone = "z1";
  state.capacity = 0.25;
  state.uptime = seconds(10);
  return state;
}

inline void AddPartitions(Partition* sofar, int parts, std::vector<Partition>* all) {
  if (sofar->size() == kPartitionedNodes) {
    all->push_back(*sofar);
    return;
  }
  for (int part = 0; part <= parts; ++part) {
    sofar->push_back(part);
    AddPartitions(sofar, std::max(parts, part + 1), all);
    sofar->pop_back();
  }
}

inline std::vector<Partition> AllPartitions() {
  std::vector<Partition> all;
  Partition none;
  AddPartitions(&none, 0, &all);
  return all;
}

inline PeerTable ViewOf(int self, const Partition& partition) {
  PeerTable peers(StateOf(self), kPartitionedAt - seconds(10));
  for (int i = 0; i < kPartitionedNodes; ++i) {
    if (i == self) continue;
    peers.Heard(HostOf(i), StateOf(i), kPartitionedAt);
    if (partition[static_cast<size_t>(i)] != partition[static_cast<size_t>(self)]) {
      peers.SetStatus(HostOf(i), PeerStatus::kGone, kPartitionedAt);
    }
  }
  return peers;
}

}  // namespace cartsail
