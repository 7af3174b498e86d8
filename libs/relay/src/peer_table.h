// The other nodes as this one hears them, and which nodes read the store for the others. Pure.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

struct PeerRecord {
  std::string node;  // empty before it was heard
  std::string zone;
  bool stopping = false;
  TimePoint added;
  TimePoint heard{};
  TimePoint last_sent{};
  Duration interval{};  // between its digests, as it told
};

class PeerTable {
 public:
  PeerTable(std::string self, std::string zone) : self_(std::move(self)), zone_(std::move(zone)) {}

  // A host that may be a node.
  void AddHost(const std::string& host, TimePoint now);

  // A digest came. True when the node had not been heard lately.
  bool Heard(const std::string& host, const std::string& node, const std::string& zone,
             bool stopping, Duration interval, TimePoint now);

  // Forgets hosts that were silent for long.
  void ForgetSilent(TimePoint now);

  bool IsLive(const PeerRecord& peer, TimePoint now) const;

  // Nodes in this one's zone read the store in an agreed order; the first `readers` live ones do.
  bool IsReader(size_t readers, TimePoint now) const;

  // A few hosts of live nodes, others at each call.
  std::vector<std::string> SomeLiveHosts(size_t count, TimePoint now);

  size_t LiveCount(TimePoint now) const;

  std::map<std::string, PeerRecord>& Peers() { return peers_; }

 private:
  std::string self_;
  std::string zone_;
  std::map<std::string, PeerRecord> peers_;  // by host
  size_t next_host_ = 0;
};

}  // namespace cartsail
