// Datagrams between nodes and their encoding (packed Cap'n Proto). Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "catalog/document_notice.h"
#include "catalog/store_update.h"
#include "duties/usage_message.h"
#include "fleet/gossip_message.h"
#include "fleet/node_digest.h"
#include "placement/placement_message.h"
#include "quarantine/quarantine_message.h"
#include "retries/retry_message.h"
#include "streams/stream_message.h"

namespace cartsail {

using Datagram =
    std::variant<NodeDigest, PlacementQuestion, PlacementAnswer, ProgressReport, DocumentNotice,
                 GossipMessage, StoreUpdate, UsageShares, UsageReceipt, StrikeReport,
                 QuarantineNotice, RepeatQuestion, RepeatAnswer, StreamQuestion, StreamAnswer,
                 PartStrikes, PartInquiry, PartCompletions>;

// Time points are encoded as remaining or elapsed time relative to `now`.
std::string EncodeDatagram(const Datagram& datagram, TimePoint now = {});

// Returns nullopt when `bytes` is not a valid datagram.
std::optional<Datagram> DecodeDatagram(std::string_view bytes, TimePoint now = {});

}  // namespace cartsail
