// Encoding of gossip messages (Cap'n Proto). Pure.
#pragma once

#include <optional>

#include "fleet/gossip_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

void EncodeGossip(const GossipMessage& gossip, wire::Gossip::Builder root);

// Returns nullopt for a message kind unknown to this version.
std::optional<GossipMessage> DecodeGossip(wire::Gossip::Reader root);

}  // namespace cartsail
