// Which nodes are live, and which node owns which engine. Pure.
//
// A member is live while its heartbeats come. The machine list only says whom to talk to. A member
// that is listed but was never heard owns nothing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

enum class MemberState {
  kUnheard,  // listed, no heartbeat yet
  kLive,
  kDraining,  // live, gives its ownership away
  kSuspect,   // heartbeats stopped
};

struct Member {
  std::string id;
  std::string zone;
  std::string address;
  MemberState state = MemberState::kUnheard;
  TimePoint last_heard{};
  Duration interval{};  // of its heartbeats
};

struct MemberTableOptions {
  std::string self;
  std::string zone;
  // Silence that makes a suspect; at least kSuspectIntervals of the member's own intervals.
  Duration suspect_after = milliseconds(1500);
  // A gap between ticks longer than this means that this process was paused.
  Duration pause_threshold = milliseconds(1000);
  // A suspect that is no longer listed is forgotten after this.
  Duration forget_after = seconds(30);
};

// The time between a node's heartbeats: `base` up to a few peers, longer with more, so that the
// number of heartbeats that a node sends per second stays bounded.
Duration HeartbeatInterval(Duration base, size_t peers);

class MemberTable {
 public:
  MemberTable(MemberTableOptions options, TimePoint now);

  // The machine list's nodes: `listed` replaces the earlier list.
  void SetListed(const std::vector<Member>& listed);

  static constexpr int kSuspectIntervals = 4;

  // A heartbeat; the next one is due after `interval`. Returns true when the set of owners changed.
  bool Heard(const std::string& id, const std::string& zone, const std::string& address,
             bool draining, TimePoint now, Duration interval = Duration(0));

  // Time has passed. Returns the ids that became suspect.
  std::vector<std::string> Tick(TimePoint now);

  // This node is stopping: it owns nothing from now on.
  void SetSelfDraining();

  // True if the last Tick() found that this process had been paused.
  bool WasPaused() const { return was_paused_; }

  // The live owner of `key` among the zone's members, by rendezvous hashing; among all members
  // when the zone has none. Empty when nobody can own.
  std::string OwnerOf(std::string_view key, const std::string& zone) const;

  // The first `count` members in rendezvous order for `key` in `zone`.
  std::vector<std::string> Ranked(std::string_view key, const std::string& zone,
                                  size_t count) const;

  // This node's place in rendezvous order for `key` among the members of its zone that may be up:
  // live ones and, so that a common restart does not make everyone the first, listed ones that
  // were not heard yet. 0 is first.
  size_t OwnRank(std::string_view key) const;

  const Member* Find(const std::string& id) const;
  // Everyone but this node.
  std::vector<const Member*> Peers() const;
  int LiveCount() const;  // this node included
  const std::string& Self() const { return options_.self; }
  const std::string& Zone() const { return options_.zone; }

  // Grows whenever the set of owners changes.
  uint64_t Epoch() const { return epoch_; }

 private:
  bool CanOwn(const Member& member) const { return member.state == MemberState::kLive; }

  MemberTableOptions options_;
  std::map<std::string, Member> members_;  // this node included
  std::map<std::string, bool> listed_;
  TimePoint last_tick_;
  bool was_paused_ = false;
  uint64_t epoch_ = 1;
};

}  // namespace cartsail
