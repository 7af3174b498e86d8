// Table of known peers and their state, and the rankings that select store readers and placement
// coordinators. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/grant_authority.h"

namespace cartsail {

// State that a node announces about itself.
struct NodeState {
  std::string node;  // node name
  std::string zone;
  bool stopping = false;
  double capacity = 0;  // share of one core that the node may use
  Duration uptime{};
  bool bridges = false;  // relays connections to back ends for other nodes
  bool lends = false;    // lends repeats to other nodes
  // Keeps begun streams for other nodes, and continues each stream at its own version only.
  bool keeps_streams = false;
};

enum class PeerStatus : uint8_t {
  kUnheard,  // known host that has not been heard
  kAlive,
  kSuspect,  // did not answer; counts as live until the suspicion times out
  kGone,
};

struct PeerRecord {
  NodeState state;  // name is empty until heard; uptime is as of `noted`
  PeerStatus status = PeerStatus::kUnheard;
  uint32_t incarnation = 0;  // increases with each newer statement of a node about itself
  TimePoint added;
  TimePoint noted;    // time as of which `state` is valid
  TimePoint changed;  // last change of `status`
  int64_t document_version = 0;
};

// Host and zone of a live node.
struct LivePeer {
  std::string host;
  std::string zone;
};

class PeerTable {
 public:
  // `self` is the initial state of this node.
  PeerTable(NodeState self, TimePoint started) : self_(std::move(self)), started_(started) {}

  // Returns the state of this node as announced to peers.
  NodeState Self(TimePoint now) const;

  void SetStopping();

  // Sets whether this node relays back-end connections for other nodes.
  void SetBridges(bool bridges) { self_.bridges = bridges; }

  // Sets whether this node lends repeats.
  void SetLends(bool lends) { self_.lends = lends; }

  // Sets whether this node keeps begun streams for other nodes.
  void SetKeepsStreams(bool keeps) { self_.keeps_streams = keeps; }

  // Fraction of nodes that lend repeats, among this node and all nodes heard so far, live or lost.
  // The others run builds that take a share of the extra repeats for themselves.
  double LendingShare() const;

  // Live nodes that bridge and are not stopping.
  std::vector<LivePeer> Bridges() const;
  bool HasBridge() const;

  // Adds a host that may be a node.
  void AddHost(const std::string& host, TimePoint now);

  // Records the state of a live node, from itself or from a third node. Returns true when the node
  // was not live before.
  bool Heard(const std::string& host, const NodeState& state, TimePoint now);

  void SetStatus(const std::string& host, PeerStatus status, TimePoint now);

  // Returns nullptr when the host is unknown.
  const PeerRecord* Find(const std::string& host) const;
  PeerRecord* Find(const std::string& host);

  // Records that `version` of the document is in force at `host`.
  void NoteDocument(const std::string& host, int64_t version);

  // Live nodes that have not reported this or a later version of the document.
  std::vector<LivePeer> PeersBehind(int64_t version) const;

  // Removes hosts that have not been live for a long time. FleetOf() still counts them for a while.
  void ForgetSilent(TimePoint now);

  static bool IsLive(const PeerRecord& peer) {
    return peer.status == PeerStatus::kAlive || peer.status == PeerStatus::kSuspect;
  }

  // True when the peer is live, bridges and is not stopping.
  static bool IsBridge(const PeerRecord& peer);

  // True when the peer is live and lends repeats.
  static bool IsLender(const PeerRecord& peer) { return IsLive(peer) && peer.state.lends; }

  // Zero-based rank of this node among the store readers. All nodes that know the same peers
  // compute the same order. Stopping nodes rank last.
  size_t ReadingRank(TimePoint now) const;

  // Up to `count` hosts of the coordinators of `service`, in order of preference; "" is this node.
  // All nodes that hear the same peers compute the same order. Recently started nodes rank last,
  // since not all nodes know them yet; nodes with a larger share of a core rank first.
  std::vector<std::string> RankCoordinators(const std::string& service, size_t count,
                                            TimePoint now) const;

  // As RankCoordinators(), among the nodes that lend repeats.
  std::vector<std::string> RankLenders(const std::string& purpose, size_t count,
                                       TimePoint now) const;

  // As RankCoordinators(), among the nodes that keep begun streams.
  std::vector<std::string> RankStreamKeepers(const std::string& purpose, size_t count,
                                             TimePoint now) const;

  // This node's view of the fleet, for tasks that only one node may perform for `service`.
  FleetView FleetOf(const std::string& service, TimePoint now) const;

  // Zone of the node at `host`; empty when the node has not been heard.
  std::string ZoneOf(const std::string& host) const;

  std::vector<LivePeer> LivePeers() const;

  // Number of live nodes, without this one.
  size_t LiveCount() const;

  // Number of nodes, including this one, among which fleet-wide limits are divided: every known
  // host, heard or not, except nodes that announced their stop and are gone. Partitions of a fleet
  // count each other's nodes, so that their shares add up to at most one. A node started within a
  // partition counts the nodes that it was told of.
  int64_t NodesNotEnded() const;

  const std::map<std::string, PeerRecord>& Peers() const { return peers_; }

 private:
  struct Ranking {
    uint64_t epoch = 0;
    TimePoint made;
    size_t count = 0;
    std::vector<std::string> hosts;
  };

  std::vector<std::string> Rank(const std::string& purpose, size_t count, TimePoint now) const;
  // Ranks the nodes whose `flag` is true.
  std::vector<std::string> RankWhere(bool NodeState::*flag, const std::string& purpose,
                                     size_t count, TimePoint now) const;

  NodeState self_;
  const std::string self_host_;  // always empty: denotes this node in rankings
  TimePoint started_;
  std::map<std::string, PeerRecord> peers_;  // by host
  // Times at which hosts were forgotten; these may still be up.
  std::map<std::string, TimePoint> forgotten_;
  uint64_t epoch_ = 1;                               // increases with each change of the live set
  mutable std::map<std::string, Ranking> rankings_;  // cache, by purpose
};

// Zero-based position of this node in a ranking; nullopt when it is absent.
std::optional<size_t> OwnRank(const std::vector<std::string>& ranked);

}  // namespace cartsail
