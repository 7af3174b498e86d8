#include "fleet/gossip_codec.h"

#include "wire/capnp_bytes.h"
#include "wire/host_number.h"
#include "wire/wire_number.h"

namespace cartsail {
namespace {

constexpr double kCapacityUnit = 0.001;  // in cores

void EncodeMember(const MemberEntry& entry, wire::Member::Builder member) {
  member.setHost(HostNumber(entry.host));
  member.setNode(entry.state.node);
  member.setZone(entry.state.zone);
  member.setCapacity(BoundedTo<uint16_t>(entry.state.capacity / kCapacityUnit));
  member.setStopping(entry.state.stopping);
  member.setUptimeMs(BoundedTo<uint32_t>(ToMillis(entry.state.uptime)));
  member.setIncarnation(entry.incarnation);
  member.setBridges(entry.state.bridges);
  member.setLends(entry.state.lends);
  member.setKeepsStreams(entry.state.keeps_streams);
  member.setStatus(static_cast<uint8_t>(entry.status));
}

PeerStatus StatusOf(uint8_t number) {
  if (number == static_cast<uint8_t>(PeerStatus::kGone)) return PeerStatus::kGone;
  if (number == static_cast<uint8_t>(PeerStatus::kSuspect)) return PeerStatus::kSuspect;
  return PeerStatus::kAlive;
}

MemberEntry DecodeMember(wire::Member::Reader member) {
  MemberEntry entry;
  entry.host = HostText(member.getHost());
  entry.state.node = TextOf(member.getNode());
  entry.state.zone = TextOf(member.getZone());
  entry.state.capacity = member.getCapacity() * kCapacityUnit;
  entry.state.stopping = member.getStopping();
  entry.state.uptime = milliseconds(member.getUptimeMs());
  entry.incarnation = member.getIncarnation();
  entry.state.bridges = member.getBridges();
  entry.state.lends = member.getLends();
  entry.state.keeps_streams = member.getKeepsStreams();
  entry.status = StatusOf(member.getStatus());
  return entry;
}

}  // namespace

void EncodeGossip(const GossipMessage& gossip, wire::Gossip::Builder root) {
  root.setKind(static_cast<uint8_t>(gossip.kind));
  root.setSequence(gossip.sequence);
  if (!gossip.subject.empty()) root.setSubject(HostNumber(gossip.subject));
  EncodeMember(gossip.sender, root.initSender());
  root.setCatalogRevision(gossip.view.catalog_revision);
  root.setDocumentVersion(gossip.view.document_version);
  root.setWallMs(gossip.wall.count());
  if (gossip.view.confirmed_age.has_value()) {
    root.setConfirmedAgeMs(BoundedTo<int32_t>(ToMillis(*gossip.view.confirmed_age)));
  }
  if (gossip.view.list_age.has_value()) {
    root.setListAgeMs(BoundedTo<int32_t>(ToMillis(*gossip.view.list_age)));
  }
  auto members = root.initMembers(static_cast<unsigned>(gossip.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) EncodeMember(gossip.members[i], members[i]);
  auto known = root.initKnown(static_cast<unsigned>(gossip.known.size()));
  for (unsigned i = 0; i < known.size(); ++i) known.set(i, gossip.known[i]);
}

std::optional<GossipMessage> DecodeGossip(wire::Gossip::Reader root) {
  if (root.getKind() >= kGossipKinds) return std::nullopt;
  GossipMessage gossip;
  gossip.kind = static_cast<GossipKind>(root.getKind());
  gossip.sequence = root.getSequence();
  if (root.getSubject() != 0) gossip.subject = HostText(root.getSubject());
  gossip.sender = DecodeMember(root.getSender());
  gossip.view.catalog_revision = root.getCatalogRevision();
  gossip.view.document_version = root.getDocumentVersion();
  gossip.wall = std::chrono::milliseconds(root.getWallMs());
  if (root.getConfirmedAgeMs() >= 0) {
    gossip.view.confirmed_age = milliseconds(root.getConfirmedAgeMs());
  }
  if (root.getListAgeMs() >= 0) gossip.view.list_age = milliseconds(root.getListAgeMs());
  for (const auto member : root.getMembers()) gossip.members.push_back(DecodeMember(member));
  for (const uint16_t hash : root.getKnown()) gossip.known.push_back(hash);
  return gossip;
}

}  // namespace cartsail
