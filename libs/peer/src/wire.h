// Conversions between the plain structs of messages.h and their wire form.
#pragma once

#include "cartsail/peer/messages.h"
#include "peer.capnp.h"

namespace cartsail {

void Encode(const WorkItem& item, wire::WorkItem::Builder out);
WorkItem Decode(wire::WorkItem::Reader in);

void Encode(const ServiceReport& report, wire::ServiceReport::Builder out);
ServiceReport Decode(wire::ServiceReport::Reader in);

void Encode(const QueueDigest& digest, wire::QueueDigest::Builder out);
QueueDigest Decode(wire::QueueDigest::Reader in);

void Encode(const Heartbeat& heartbeat, wire::Heartbeat::Builder out);
Heartbeat Decode(wire::Heartbeat::Reader in);

void Encode(const ConfigDelta& delta, wire::ConfigDelta::Builder out);
ConfigDelta Decode(wire::ConfigDelta::Reader in);

void Encode(const ClaimCall& call, wire::Claim::Builder out);
ClaimCall Decode(wire::Claim::Reader in);

void Encode(const ClaimResult& result, wire::ClaimResult::Builder out);
ClaimResult Decode(wire::ClaimResult::Reader in);

void Encode(const std::vector<WorkItem>& items, ::capnp::List<wire::WorkItem>::Builder out);
std::vector<WorkItem> Decode(::capnp::List<wire::WorkItem>::Reader in);

int64_t ToMicros(Duration duration);
Duration FromMicros(int64_t micros);

}  // namespace cartsail
