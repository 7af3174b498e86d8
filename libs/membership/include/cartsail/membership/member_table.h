// Tracks which nodes are live, and which node owns which engine. Performs no I/O.
//
// A member is live while its heartbeats arrive. The machine list only tells which nodes to contact:
// a member that is listed but has sent no heartbeat yet owns nothing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

enum class MemberState {
  kUnheard,  // listed, no heartbeat received yet
  kLive,
  kDraining,  // live, but owns nothing any more
  kSuspect,   // heartbeats stopped
};

struct Member {
  std::string id;
  std::string zone;
  std::string address;
  MemberState state = MemberState::kUnheard;
  TimePoint last_heard{};
  Duration interval{};  // between its heartbeats; 0: not announced
};

struct MemberTableOptions {
  std::string self;
  std::string zone;
  // Time without heartbeats after which a member is suspect; the member's heartbeat interval times
  // kSuspectIntervals if that is longer.
  Duration suspect_after = milliseconds(1500);
  // A longer gap between ticks means that this process was paused.
  Duration pause_threshold = milliseconds(1000);
  // Time since its last heartbeat after which a suspect that is no longer listed is removed.
  Duration forget_after = seconds(30);
};

// Time between a node's heartbeats: `base` with few peers, longer with more, so that the number of
// heartbeats that a node sends per second stays bounded.
Duration HeartbeatInterval(Duration base, size_t peers);

class MemberTable {
 public:
  MemberTable(MemberTableOptions options, TimePoint now);

  // Replaces the nodes of the machine list with `listed`.
  void SetListed(const std::vector<Member>& listed);

  static constexpr int kSuspectIntervals = 4;

  // A heartbeat was received; the next one is due after `interval`, 0 if not announced. Returns
  // true if the member's state changed, and with it the epoch.
  bool Heard(const std::string& id, const std::string& zone, const std::string& address,
             bool draining, TimePoint now, Duration interval = Duration(0));

  // Updates the states to `now`. Returns the ids of members that became suspect.
  std::vector<std::string> Tick(TimePoint now);

  // Marks this node as draining: it owns nothing from now on.
  void SetSelfDraining();

  // True if the last Tick() found that this process had been paused.
  bool WasPaused() const { return was_paused_; }

  // The live owner of `key` among the members of `zone`, by rendezvous hashing; among all members
  // if the zone has no live one. Empty if there is no live member.
  std::string OwnerOf(std::string_view key, const std::string& zone) const;

  // The first `count` live members in rendezvous order for `key`, chosen among the same members as
  // OwnerOf().
  std::vector<std::string> Ranked(std::string_view key, const std::string& zone,
                                  size_t count) const;

  // This node's rank in rendezvous order for `key` among the members of its zone that may be up; 0
  // is first. These are the live ones and the listed ones without a heartbeat yet: without the
  // latter, every node would rank first when all restart together.
  size_t OwnRank(std::string_view key) const;

  // Returns nullptr if `id` is unknown.
  const Member* Find(const std::string& id) const;
  // All members except this node, whatever their state.
  std::vector<const Member*> Peers() const;
  int LiveCount() const;  // live and draining members, including this node
  const std::string& Self() const { return options_.self; }
  const std::string& Zone() const { return options_.zone; }

  // Incremented whenever the state of a member changes, and with it possibly the set of owners.
  uint64_t Epoch() const { return epoch_; }

 private:
  bool CanOwn(const Member& member) const { return member.state == MemberState::kLive; }

  MemberTableOptions options_;
  std::map<std::string, Member> members_;  // by id, including this node
  std::map<std::string, bool> listed_;
  TimePoint last_tick_;
  bool was_paused_ = false;
  uint64_t epoch_ = 1;
};

}  // namespace cartsail
