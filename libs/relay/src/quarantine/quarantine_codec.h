// Encoding of strikes and quarantines as parts of messages (Cap'n Proto). Pure.
#pragma once

#include "quarantine/quarantine_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

// Times are sent as ages at `now`.
void EncodeStrikes(const StrikeReport& report, TimePoint now, wire::Datagram::Builder root);
StrikeReport DecodeStrikes(capnp::List<wire::Strike>::Reader strikes, TimePoint now);

void EncodeQuarantine(const QuarantineNotice& notice, wire::QuarantineNotice::Builder message);
QuarantineNotice DecodeQuarantine(wire::QuarantineNotice::Reader message);

// As a part of catalogs: times are sent as what is left at `now`.
void EncodeQuarantinedList(const std::vector<QuarantinedRequest>& quarantined, TimePoint now,
                           capnp::List<wire::QuarantineEntry>::Builder list);
std::vector<QuarantinedRequest> DecodeQuarantinedList(
    capnp::List<wire::QuarantineEntry>::Reader list, TimePoint now);

}  // namespace cartsail
