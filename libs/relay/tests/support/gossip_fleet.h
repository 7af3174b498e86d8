// Many nodes that only gossip, in virtual time: messages take a trip, some are lost, nodes die,
// are cut off and return.
#pragma once

#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/peer_gossip.h"

namespace cartsail::testing {

class GossipFleet {
 public:
  // Nodes in `zones` zones, each of which knows the first three as seeds and starts within 0.3 s.
  GossipFleet(int nodes, int zones, double lost, uint64_t seed);

  // Lets time pass.
  void Run(Duration duration);

  // Lets time pass until all nodes that run believe exactly each other to be live; how long that
  // took, or `limit`.
  Duration RunUntilTrue(Duration limit);

  void Kill(int node);
  // As a new process at the same host, whose clock may have been put back.
  void Restart(int node, uint32_t incarnation);
  // Nothing goes to or from these nodes.
  void Cut(const std::set<int>& nodes) { cut_ = nodes; }
  // The process doesn't run until it is thawed; what comes meanwhile waits.
  void Freeze(int node) { At(node).frozen = true; }
  void Thaw(int node);

  // Of all nodes that run, those that believe `node` to be live.
  int NodesThatBelieve(int node) const;

  bool Believes(int node, int other) const;
  const PeerTable& Peers(int node) const { return *nodes_[static_cast<size_t>(node)]->peers; }
  PeerTable& Peers(int node) { return *At(node).peers; }
  TimePoint Time() const { return now_; }

  // From now on messages are encoded and their bytes counted, headers included.
  void CountBytes();
  // What the nodes sent in a second since then: in the mean, and the busiest one.
  struct Traffic {
    double mean = 0;
    double most = 0;
  };
  Traffic BytesPerSecond() const;

  static std::string HostOf(int node);

 private:
  struct Node {
    std::unique_ptr<PeerTable> peers;
    std::unique_ptr<PeerGossip> gossip;
    bool running = false;
    bool frozen = false;
    double sent_bytes = 0;
    std::vector<std::pair<int, GossipMessage>> waiting;  // while frozen: sender and message
  };

  enum class Kind { kTick, kArrival };

  struct Event {
    TimePoint at;
    uint64_t order;
    Kind kind;
    int from;
    int to;
    std::shared_ptr<const GossipMessage> message;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  Node& At(int node) { return *nodes_[static_cast<size_t>(node)]; }
  void Start(int node, uint32_t incarnation);
  void Send(int from, const std::vector<AddressedGossip>& messages);
  void Arrive(int from, int to, const GossipMessage& message);
  void Handle(const Event& event);
  bool AllTrue() const;

  int zones_;
  double lost_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<int> cut_;
  std::priority_queue<Event> events_;
  uint64_t next_order_ = 0;
  TimePoint now_ = TimePoint(seconds(1000));
  std::optional<TimePoint> counting_since_;
};

}  // namespace cartsail::testing
