// Gossip messages about membership and the senders' store revisions. Plain structs.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "fleet/peer_table.h"

namespace cartsail {

// State of a member as known to the sender of a message.
struct MemberEntry {
  std::string host;
  NodeState state;
  uint32_t incarnation = 0;
  PeerStatus status = PeerStatus::kAlive;  // kUnheard is never sent
};

// Progress of a node's knowledge of the store.
struct StoreView {
  int64_t catalog_revision = 0;  // all changes up to this one are known; 0: none
  int64_t document_version = 0;  // version in force; 0: none
  // Time since the store last confirmed the document; empty: never.
  std::optional<Duration> confirmed_age;
  // Time since the store last confirmed that `catalog_revision` includes all changes of the back
  // ends; empty: never, or not told by a node of an earlier build.
  std::optional<Duration> list_age;
};

enum class GossipKind : uint8_t {
  kPing,         // answered by kAck
  kAck,          // acknowledges a ping, directly or on behalf of a kPingRequest's subject
  kPingRequest,  // asks the receiver to ping `subject`
  kSync,         // carries hashes of the live members known to the sender
  kSyncReply,    // live members missing from a kSync
};

inline constexpr uint8_t kGossipKinds = 5;  // number of enumerators

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  uint32_t sequence = 0;  // a reply carries that of its request
  std::string subject;    // kPingRequest: host to ping
  MemberEntry sender;
  StoreView view;
  std::chrono::milliseconds wall{};  // sender's wall clock since the Unix epoch; 0: unknown
  std::vector<MemberEntry> members;
  std::vector<uint16_t> known;  // kSync: host hashes salted with `sequence`
};

}  // namespace cartsail
