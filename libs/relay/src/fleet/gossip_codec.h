// Encoding of messages about live nodes (Cap'n Proto). Pure.
#pragma once

#include <optional>

#include "fleet/gossip_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

void EncodeGossip(const GossipMessage& gossip, wire::Gossip::Builder root);

// Nothing for a kind of message that this version does not know.
std::optional<GossipMessage> DecodeGossip(wire::Gossip::Reader root);

}  // namespace cartsail
