// The other nodes as this one believes them to be; which nodes read the store for the others, and
// which place requests for the others. Pure.
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

// What a node tells of itself.
struct NodeState {
  std::string node;  // its name
  std::string zone;
  bool stopping = false;
  double capacity = 0;  // share of a core that it may use
  Duration uptime{};
  bool bridges = false;  // it passes conversations with back ends on for other nodes
  bool lends = false;    // repeats, to other nodes
  // Begun streams for other nodes, and goes on with each at its version only.
  bool keeps_streams = false;
};

enum class PeerStatus : uint8_t {
  kUnheard,  // a host that may be a node
  kAlive,
  kSuspect,  // did not answer; counts as live until it has had time to refute that
  kGone,
};

struct PeerRecord {
  NodeState state;  // no name before it was heard; the uptime is that of `noted`
  PeerStatus status = PeerStatus::kUnheard;
  uint32_t incarnation = 0;  // a node's later statements about itself have greater ones
  TimePoint added;
  TimePoint noted;    // when `state` held
  TimePoint changed;  // of `status`
  int64_t document_version = 0;
};

// A live node as a target of messages.
struct LivePeer {
  std::string host;
  std::string zone;
};

class PeerTable {
 public:
  // `self`: of this node, at its start.
  PeerTable(NodeState self, TimePoint started) : self_(std::move(self)), started_(started) {}

  // This node as its peers are told of it.
  NodeState Self(TimePoint now) const;

  void SetStopping();

  // Whether this node bridges.
  void SetBridges(bool bridges) { self_.bridges = bridges; }

  // Whether this node lends repeats.
  void SetLends(bool lends) { self_.lends = lends; }

  // Whether this node keeps begun streams for others.
  void SetKeepsStreams(bool keeps) { self_.keeps_streams = keeps; }

  // The part of all nodes that it has heard, live or lost, which lend repeats. The others are of
  // builds that take a part of the extra repeats for themselves.
  double LendingShare() const;

  // Live nodes that bridge, and are not to stop.
  std::vector<LivePeer> Bridges() const;
  bool HasBridge() const;

  // A host that may be a node.
  void AddHost(const std::string& host, TimePoint now);

  // What a live node tells of itself, or others tell of it. True when it was not live before.
  bool Heard(const std::string& host, const NodeState& state, TimePoint now);

  void SetStatus(const std::string& host, PeerStatus status, TimePoint now);

  // Nothing when the host isn't known.
  const PeerRecord* Find(const std::string& host) const;
  PeerRecord* Find(const std::string& host);

  // A node has told that this version of the document is in force there.
  void NoteDocument(const std::string& host, int64_t version);

  // Live nodes that have not told that they have this version of the document, or a later one.
  std::vector<LivePeer> PeersBehind(int64_t version) const;

  // Forgets hosts that have not been live for long. FleetOf() goes on counting them for a while.
  void ForgetSilent(TimePoint now);

  static bool IsLive(const PeerRecord& peer) {
    return peer.status == PeerStatus::kAlive || peer.status == PeerStatus::kSuspect;
  }

  // It is live, bridges and is not to stop.
  static bool IsBridge(const PeerRecord& peer);

  // It is live and lends repeats.
  static bool IsLender(const PeerRecord& peer) { return IsLive(peer) && peer.state.lends; }

  // This node's place, from 0, in the order in which nodes read the store for all; all nodes that
  // know the same peers agree. A node that stops comes after all others.
  size_t ReadingRank(TimePoint now) const;

  // The nodes that place requests of `service`, the first one before the others: hosts, or "" for
  // this node. All nodes that hear the same peers agree. Nodes that just started come last, since
  // not all know them yet; nodes with more of a core come first.
  std::vector<std::string> RankCoordinators(const std::string& service, size_t count,
                                            TimePoint now) const;

  // The same of the nodes that lend repeats.
  std::vector<std::string> RankLenders(const std::string& purpose, size_t count,
                                       TimePoint now) const;

  // The same of the nodes that keep begun streams.
  std::vector<std::string> RankStreamKeepers(const std::string& purpose, size_t count,
                                             TimePoint now) const;

  // The fleet as this node sees it, for what only one node may do for `service`.
  FleetView FleetOf(const std::string& service, TimePoint now) const;

  // The zone of the node at `host`; empty when it wasn't heard.
  std::string ZoneOf(const std::string& host) const;

  std::vector<LivePeer> LivePeers() const;

  size_t LiveCount() const;

  // Nodes among which to divide what all of them together may use, this one included: every host
  // that it knows of and whose node has not told that it stops, heard or not. Parts of a fleet that
  // lost each other count each other, so that their shares add up to one at most. A node that was
  // started within such a part counts those that it was told of.
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
  // Of the nodes of which `flag` is true.
  std::vector<std::string> RankWhere(bool NodeState::*flag, const std::string& purpose,
                                     size_t count, TimePoint now) const;

  NodeState self_;
  const std::string self_host_;  // empty, as rankings name this node
  TimePoint started_;
  std::map<std::string, PeerRecord> peers_;          // by host
  std::map<std::string, TimePoint> forgotten_;       // hosts that may still be up, since when
  uint64_t epoch_ = 1;                               // grows with each change of who is live
  mutable std::map<std::string, Ranking> rankings_;  // by purpose
};

// This node's place in a ranking; nothing when it isn't in it.
std::optional<size_t> OwnRank(const std::vector<std::string>& ranked);

}  // namespace cartsail
