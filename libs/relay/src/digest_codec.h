// Encoding of node digests (Cap'n Proto). Pure.
#pragma once

#include "messages.capnp.h"
#include "node_digest.h"

namespace cartsail {

void EncodeDigest(const NodeDigest& digest, wire::NodeDigest::Builder root);
NodeDigest DecodeDigest(wire::NodeDigest::Reader root);

}  // namespace cartsail
