// The datagrams that nodes send each other, and their encoding (Cap'n Proto, packed). Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "document_notice.h"
#include "node_digest.h"
#include "placement_message.h"

namespace cartsail {

using Datagram =
    std::variant<NodeDigest, PlacementQuestion, PlacementAnswer, ProgressReport, DocumentNotice>;

std::string EncodeDatagram(const Datagram& datagram);

// Nothing when the bytes are no datagram of a node.
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace cartsail
