// Encoding of node digests (Cap'n Proto). Pure.
#pragma once

#include "fleet/node_digest.h"
#include "wire/messages.capnp.h"

namespace cartsail {

void EncodeDigest(const NodeDigest& digest, wire::NodeDigest::Builder root);
NodeDigest DecodeDigest(wire::NodeDigest::Reader root);

}  // namespace cartsail
