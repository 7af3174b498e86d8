// The other nodes as this one hears them; which nodes read the store for the others, and which
// place requests for the others. Pure.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// What a node tells of itself.
struct NodeState {
  std::string node;  // its name
  std::string zone;
  bool stopping = false;
  double capacity = 0;  // share of a core that it may use
  Duration uptime{};
  Duration interval{};  // between its digests
  int64_t document_version = 0;
};

struct PeerRecord {
  NodeState state;  // no name before it was heard
  TimePoint added;
  TimePoint heard{};
  TimePoint last_sent{};
};

class PeerTable {
 public:
  // `self`: of this node, at its start.
  PeerTable(NodeState self, TimePoint started) : self_(std::move(self)), started_(started) {}

  // This node as its peers are told of it; the interval is the caller's to fill in.
  NodeState Self(TimePoint now) const;

  void SetStopping() { self_.stopping = true; }

  // A host that may be a node.
  void AddHost(const std::string& host, TimePoint now);

  // A digest came. True when the node had not been heard lately.
  bool Heard(const std::string& host, const NodeState& state, TimePoint now);

  // A node has told that this version of the document is in force there.
  void NoteDocument(const std::string& host, int64_t version);

  // Live nodes that have not told that they have this version of the document, or a later one.
  std::vector<std::string> HostsBehind(int64_t version, TimePoint now) const;

  // Forgets hosts that were silent for long.
  void ForgetSilent(TimePoint now);

  bool IsLive(const PeerRecord& peer, TimePoint now) const;

  // Nodes in this one's zone read the store in an agreed order; the first `readers` live ones do.
  bool IsReader(size_t readers, TimePoint now) const;

  // The nodes that place requests of `service`, the first one before the others: hosts, or "" for
  // this node. All nodes that hear the same peers agree. Nodes that just started come last, since
  // not all know them yet; nodes with more of a core come first.
  std::vector<std::string> RankCoordinators(const std::string& service, size_t count,
                                            TimePoint now) const;

  // The zone of the node at `host`; empty when it wasn't heard.
  std::string ZoneOf(const std::string& host) const;

  // A few hosts of live nodes, others at each call.
  std::vector<std::string> SomeLiveHosts(size_t count, TimePoint now);

  size_t LiveCount(TimePoint now) const;

  // Nodes that share what the whole system may do, this one included. A node that just started has
  // not heard all of them and assumes many.
  int64_t SharingNodes(TimePoint now) const;

  std::map<std::string, PeerRecord>& Peers() { return peers_; }

 private:
  NodeState self_;
  TimePoint started_;
  std::map<std::string, PeerRecord> peers_;  // by host
  size_t next_host_ = 0;
};

}  // namespace cartsail
