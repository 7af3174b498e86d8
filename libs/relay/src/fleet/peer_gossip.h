// Membership and failure detection by the SWIM protocol: each node pings one other node at a time,
// asks three more to ping it when no acknowledgement arrives, and piggybacks membership updates on
// its messages. Traffic per node does not grow with the fleet, except for the member hashes in a
// sync. A wrong status only costs precision: a node that learns that it is suspected refutes this
// with a greater incarnation. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/gossip_message.h"
#include "fleet/peer_table.h"

namespace cartsail {

// A message and its destination host.
struct AddressedGossip {
  std::string host;
  GossipMessage message;
};

class PeerGossip {
 public:
  // Interval at which Tick() must be called.
  static constexpr Duration kTick = milliseconds(50);

  // `incarnation` should exceed that of the previous process at this host; otherwise peers report
  // the greater one and this node raises its own. `seed` initializes the random generator.
  PeerGossip(PeerTable& peers, std::string host, uint32_t incarnation, uint64_t seed);

  // Advances all timers to `now` and returns the messages to send.
  std::vector<AddressedGossip> Tick(TimePoint now, const StoreView& view);

  // Processes a message received from `host` and returns the messages to send.
  std::vector<AddressedGossip> OnMessage(const std::string& host, const GossipMessage& message,
                                         TimePoint now, const StoreView& view);

  // Returns pings to at most `count` live nodes, whose acknowledgements tell what they know now.
  std::vector<AddressedGossip> AskSome(size_t count, TimePoint now, const StoreView& view);

  // Numbers of nodes that joined and left since the last TakeChanges(), and some of their hosts.
  struct Changes {
    int joined = 0;
    int left = 0;
    std::vector<std::string> some;
  };
  Changes TakeChanges();

  // Time of the last message from another node; TimePoint() if there was none.
  TimePoint LastHeard() const { return last_heard_; }

 private:
  struct Probe {
    std::string host;
    uint32_t sequence = 0;
    TimePoint begun;
    bool asked_others = false;
    bool answered = false;
  };

  // A ping sent on behalf of another node.
  struct RequestedPing {
    std::string requester;
    uint32_t sequence = 0;  // of the ping request
    TimePoint begun;
  };

  GossipMessage Make(GossipKind kind, uint32_t sequence, TimePoint now, const StoreView& view);
  MemberEntry EntryOfSelf(TimePoint now) const;
  MemberEntry EntryOf(const std::string& host, const PeerRecord& peer, TimePoint now) const;
  void AddUpdates(TimePoint now, GossipMessage* message);
  void Enqueue(const std::string& host);
  void Apply(const MemberEntry& entry, TimePoint now);
  void ApplyAlive(const MemberEntry& entry, TimePoint now);
  void ApplyNotAlive(const MemberEntry& entry, TimePoint now);
  void Refute(const MemberEntry& entry);
  void MarkGone(const std::string& host, TimePoint now);
  void NoteChange(const std::string& host, bool joined);
  void ProbeNext(TimePoint now, const StoreView& view, std::vector<AddressedGossip>* out);
  void WatchProbe(TimePoint now, const StoreView& view, std::vector<AddressedGossip>* out);
  void ExpireSuspects(TimePoint now);
  Duration NextJoinDelay();
  void AnnounceOwnChanges(TimePoint now, const StoreView& view, std::vector<AddressedGossip>* out);
  void ContactUnreachable(TimePoint now, const StoreView& view, std::vector<AddressedGossip>* out);
  void Sync(TimePoint now, const StoreView& view, std::vector<AddressedGossip>* out);
  AddressedGossip MakeSync(const std::string& host, TimePoint now, const StoreView& view);
  std::vector<AddressedGossip> AnswerSync(const std::string& host, const GossipMessage& message,
                                          TimePoint now, const StoreView& view);
  void OnAck(uint32_t sequence, TimePoint now, const StoreView& view,
             std::vector<AddressedGossip>* out);
  void ReportStatus(const std::string& host, const MemberEntry& sender, TimePoint now,
                    const StoreView& view, std::vector<AddressedGossip>* out);
  std::optional<std::string> NextTarget();
  std::vector<std::string> SomeLive(size_t count, const std::string& except);
  void ForgetRequestedPings(TimePoint now);
  // Adapts the sync interval. `learnt` is the number of members first learnt from the reply.
  void NoteSyncReply(size_t learnt, TimePoint now);

  PeerTable& peers_;
  std::string host_;
  uint32_t incarnation_;
  std::mt19937_64 random_;
  uint32_t next_sequence_;
  bool announced_stopping_ = false;
  bool announced_bridges_ = false;
  std::optional<Probe> probe_;
  TimePoint next_probe_{};
  std::vector<std::string> near_;  // probe targets of this zone, shuffled, next one last
  std::vector<std::string> far_;   // probe targets of other zones, likewise
  int probes_ = 0;
  std::map<std::string, int> updates_;                 // remaining transmissions, by host
  std::map<uint32_t, RequestedPing> requested_pings_;  // by sequence of the ping sent by this node
  TimePoint last_tick_{};
  TimePoint last_heard_{};
  TimePoint next_contact_{};  // with a host that is not live
  TimePoint next_sync_{};
  Duration sync_interval_;
  int join_attempts_ = 0;  // since no other node is live
  Changes changes_;
};

// Salted hash of a host in a sync. Hosts that collide under one salt differ under the next.
uint16_t SyncHash(const std::string& host, uint32_t salt);

}  // namespace cartsail
