// Cap'n Proto encoding of strikes and quarantines as parts of messages. Pure.
#pragma once

#include "quarantine/quarantine_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

// Points in time are sent as their age at `now`.
void EncodeStrikes(const StrikeReport& report, TimePoint now, wire::Datagram::Builder root);
StrikeReport DecodeStrikes(capnp::List<wire::Strike>::Reader strikes, TimePoint now);

void EncodeQuarantine(const QuarantineNotice& notice, wire::QuarantineNotice::Builder message);
QuarantineNotice DecodeQuarantine(wire::QuarantineNotice::Reader message);

void EncodePartStrikes(const PartStrikes& strikes, TimePoint now,
                       wire::PartStrikes::Builder message);
PartStrikes DecodePartStrikes(wire::PartStrikes::Reader message, TimePoint now);

void EncodePartInquiry(const PartInquiry& inquiry, wire::PartInquiry::Builder message);
PartInquiry DecodePartInquiry(wire::PartInquiry::Reader message);

void EncodePartCompletions(const PartCompletions& completions,
                           wire::PartCompletions::Builder message);
PartCompletions DecodePartCompletions(wire::PartCompletions::Reader message);

// Entries of catalogs. Expiry times are sent as the remaining time at `now`. `list` has the size of
// `quarantined`.
void EncodeQuarantinedList(const std::vector<QuarantinedRequest>& quarantined, TimePoint now,
                           capnp::List<wire::QuarantineEntry>::Builder list);
std::vector<QuarantinedRequest> DecodeQuarantinedList(
    capnp::List<wire::QuarantineEntry>::Reader list, TimePoint now);

}  // namespace cartsail
