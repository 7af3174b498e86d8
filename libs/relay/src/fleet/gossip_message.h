// What nodes tell each other about which nodes are live, and how far they know the store. Plain
// structs.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "fleet/peer_table.h"

namespace cartsail {

// A member as the sender of a message believes it to be.
struct MemberEntry {
  std::string host;
  NodeState state;
  uint32_t incarnation = 0;
  PeerStatus status = PeerStatus::kAlive;  // kUnheard is never told
};

// How far a node knows the store.
struct StoreView {
  int64_t catalog_revision = 0;           // all changes up to it are known; 0: none
  int64_t document_version = 0;           // in force; 0: none
  std::optional<Duration> confirmed_age;  // since the store last confirmed the document
};

enum class GossipKind : uint8_t {
  kPing,         // is answered with an acknowledgement
  kAck,          // of a ping, or of the ping that a request led to
  kPingRequest,  // asks the receiver to ping `subject`
  kSync,         // names the live members that the sender knows
  kSyncReply,    // live members that the sender of a sync did not name
};

inline constexpr uint8_t kGossipKinds = 5;  // the number of them

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  uint32_t sequence = 0;  // an acknowledgement carries that of its ping
  std::string subject;    // of a ping request: a host
  MemberEntry sender;
  StoreView view;
  std::chrono::milliseconds wall{};  // the sender's time of day, since 1970; 0: not told
  std::vector<MemberEntry> members;
  std::vector<uint16_t> known;  // of a sync: hashes of hosts, salted with `sequence`
};

}  // namespace cartsail
