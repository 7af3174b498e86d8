#include "fleet/peer_gossip.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

// Interval between probes of one other node. Including acknowledgements and requested pings, this
// is about 8 messages of 130 bytes per second: 1 KB/s of a node's 9 KB/s control traffic budget.
constexpr Duration kProbeInterval = milliseconds(250);
// Acknowledgements take 1 to 3 ms between zones, and about 100 ms from a node that has exhausted
// its CPU quota.
constexpr Duration kAckTimeout = milliseconds(120);
// Number of nodes asked to ping a node that did not answer. At 10% datagram loss on all links,
// about one probe in 700 raises a false suspicion (calculated).
constexpr size_t kIndirectProbes = 3;
// Time for a suspect to refute the suspicion and for the refutation to reach all nodes.
constexpr Duration kSuspicionTimeout = milliseconds(1000);
// One in this many probes goes to another zone; the others stay within the zone, where traffic is
// free.
constexpr int kCrossZoneProbePeriod = 4;
// Limit on the bytes of membership updates in one message, so that the message fits one packet. An
// update about a live node carries its full state, one about any other node only its address.
constexpr size_t kMaxUpdateBytes = 640;
constexpr size_t kAliveBytes = 44;
constexpr size_t kNotAliveBytes = 16;
// Number of times that each node sends an update. With random targets one node in e^10 is missed
// and learns of the update by a sync.
constexpr int kUpdateTransmissions = 10;
// Number of nodes that are notified immediately of a change of this node's own state.
constexpr size_t kOwnChangeFanout = 16;
// While this many updates are queued, further joins spread only by syncs: sending updates for 480
// joins in turn would take 41 s and delay other updates.
constexpr size_t kJoinQueueLimit = 24;
// A longer gap between ticks means that this process was not running, so that acknowledgements may
// be waiting unread.
constexpr Duration kPauseThreshold = milliseconds(400);
// Join attempts before the interval backs off, since two of three seeds may be down.
constexpr int kQuickJoinAttempts = 4;
// Interval between pings to hosts that are not live.
constexpr Duration kUnreachableInterval = milliseconds(500);
// Bounds of the interval between syncs, which fetch unknown members; it is short while replies
// contain many new members.
constexpr Duration kShortestSyncInterval = milliseconds(80);
constexpr Duration kLongestSyncInterval = seconds(5);
// Number of new members in one reply from which the sync interval drops to the shortest.
constexpr size_t kManyNewMembers = 3;
// A datagram with this many members has about 1.1 KB and fits one packet.
constexpr size_t kMembersPerReply = 24;
constexpr size_t kMaxSyncReplies = 2;
constexpr size_t kChangesNamed = 5;
constexpr Duration kRequestedPingTimeout = seconds(1);

}  // namespace

uint16_t SyncHash(const std::string& host, uint32_t salt) {
  return static_cast<uint16_t>(Hash64(host, salt));
}

PeerGossip::PeerGossip(PeerTable& peers, std::string host, uint32_t incarnation, uint64_t seed)
    : peers_(peers),
      host_(std::move(host)),
      incarnation_(incarnation),
      random_(seed),
      next_sequence_(static_cast<uint32_t>(random_())),
      sync_interval_(kShortestSyncInterval) {}

MemberEntry PeerGossip::EntryOfSelf(TimePoint now) const {
  return {host_, peers_.Self(now), incarnation_, PeerStatus::kAlive};
}

MemberEntry PeerGossip::EntryOf(const std::string& host, const PeerRecord& peer,
                                TimePoint now) const {
  MemberEntry entry{host, {}, peer.incarnation, peer.status};
  if (peer.status != PeerStatus::kAlive) return entry;
  entry.state = peer.state;
  entry.state.uptime += now - peer.noted;
  return entry;
}

GossipMessage PeerGossip::Make(GossipKind kind, uint32_t sequence, TimePoint now,
                               const StoreView& view) {
  GossipMessage message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = EntryOfSelf(now);
  message.view = view;
  AddUpdates(now, &message);
  return message;
}

// Appends queued updates up to the size limit, those sent least often first.
void PeerGossip::AddUpdates(TimePoint now, GossipMessage* message) {
  std::vector<std::pair<int, std::string>> waiting;
  waiting.reserve(updates_.size());
  for (const auto& [host, left] : updates_) waiting.emplace_back(-left, host);
  std::sort(waiting.begin(), waiting.end());
  size_t bytes = 0;
  for (const auto& [order, host] : waiting) {
    const PeerRecord* peer = peers_.Find(host);
    const bool is_alive = peer != nullptr && peer->status == PeerStatus::kAlive;
    bytes += is_alive ? kAliveBytes : kNotAliveBytes;
    if (bytes > kMaxUpdateBytes) break;
    if (--updates_[host] <= 0) updates_.erase(host);
    if (peer != nullptr) message->members.push_back(EntryOf(host, *peer, now));
  }
}

void PeerGossip::Enqueue(const std::string& host) { updates_[host] = kUpdateTransmissions; }

void PeerGossip::NoteChange(const std::string& host, bool joined) {
  ++(joined ? changes_.joined : changes_.left);
  if (changes_.some.size() < kChangesNamed) changes_.some.push_back(host);
}

PeerGossip::Changes PeerGossip::TakeChanges() { return std::exchange(changes_, {}); }

void PeerGossip::Refute(const MemberEntry& entry) {
  const bool doubted = entry.status != PeerStatus::kAlive;
  if (entry.incarnation > incarnation_ || (doubted && entry.incarnation == incarnation_)) {
    incarnation_ = entry.incarnation + 1;
  }
}

void PeerGossip::Apply(const MemberEntry& entry, TimePoint now) {
  if (entry.host == host_) return Refute(entry);
  if (entry.status == PeerStatus::kAlive) return ApplyAlive(entry, now);
  ApplyNotAlive(entry, now);
}

void PeerGossip::ApplyAlive(const MemberEntry& entry, TimePoint now) {
  const PeerRecord* known = peers_.Find(entry.host);
  const bool is_new = known == nullptr || known->status == PeerStatus::kUnheard;
  if (!is_new && entry.incarnation <= known->incarnation) return;
  if (peers_.Heard(entry.host, entry.state, now)) NoteChange(entry.host, true);
  peers_.Find(entry.host)->incarnation = entry.incarnation;
  if (is_new && updates_.size() >= kJoinQueueLimit) return;
  Enqueue(entry.host);
}

void PeerGossip::ApplyNotAlive(const MemberEntry& entry, TimePoint now) {
  PeerRecord* known = peers_.Find(entry.host);
  if (known == nullptr || known->status == PeerStatus::kUnheard) return;
  if (entry.incarnation < known->incarnation || known->status == PeerStatus::kGone) return;
  known->incarnation = entry.incarnation;
  if (entry.status == PeerStatus::kGone) return MarkGone(entry.host, now);
  if (known->status == PeerStatus::kSuspect) return;
  peers_.SetStatus(entry.host, PeerStatus::kSuspect, now);
  Enqueue(entry.host);
}

void PeerGossip::MarkGone(const std::string& host, TimePoint now) {
  peers_.SetStatus(host, PeerStatus::kGone, now);
  NoteChange(host, false);
  Enqueue(host);
}

std::vector<std::string> PeerGossip::SomeLive(size_t count, const std::string& except) {
  std::vector<LivePeer> live = peers_.LivePeers();
  std::erase_if(live, [&except](const LivePeer& peer) { return peer.host == except; });
  std::vector<std::string> hosts;
  while (hosts.size() < count && !live.empty()) {
    const size_t index = random_() % live.size();
    hosts.push_back(live[index].host);
    live[index] = live.back();
    live.pop_back();
  }
  return hosts;
}

// Returns the next probe target: each live node of a zone group (this zone, or all others) in turn.
// A group's list is refilled and shuffled only when it is empty on entry. If it yields no live
// node, the call falls back to the other group; if all remaining entries of both lists are stale,
// it returns nullopt although live nodes may exist. The next call that uses a list refills it.
std::optional<std::string> PeerGossip::NextTarget() {
  const bool is_far = ++probes_ % kCrossZoneProbePeriod == 0;
  const std::string zone = peers_.Self(TimePoint()).zone;
  for (const bool wants_far : {is_far, !is_far}) {
    std::vector<std::string>& order = wants_far ? far_ : near_;
    if (order.empty()) {
      for (const LivePeer& peer : peers_.LivePeers()) {
        if ((peer.zone != zone) == wants_far) order.push_back(peer.host);
      }
      std::shuffle(order.begin(), order.end(), random_);
    }
    while (!order.empty()) {
      std::string host = std::move(order.back());
      order.pop_back();
      const PeerRecord* peer = peers_.Find(host);
      if (peer != nullptr && PeerTable::IsLive(*peer)) return host;
    }
  }
  return std::nullopt;
}

void PeerGossip::ProbeNext(TimePoint now, const StoreView& view,
                           std::vector<AddressedGossip>* out) {
  if (now < next_probe_) return;
  if (probe_.has_value() && !probe_->answered) {
    const PeerRecord* peer = peers_.Find(probe_->host);
    if (peer != nullptr && peer->status == PeerStatus::kAlive) {
      peers_.SetStatus(probe_->host, PeerStatus::kSuspect, now);
      Enqueue(probe_->host);
    }
  }
  probe_.reset();
  // Jitter keeps nodes from probing in step.
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  next_probe_ = now + FromSeconds(ToSeconds(kProbeInterval) * jitter(random_));
  const std::optional<std::string> target = NextTarget();
  if (!target.has_value()) return;
  probe_ = {*target, next_sequence_++, now};
  out->push_back({*target, Make(GossipKind::kPing, probe_->sequence, now, view)});
}

void PeerGossip::WatchProbe(TimePoint now, const StoreView& view,
                            std::vector<AddressedGossip>* out) {
  if (!probe_.has_value() || probe_->answered || probe_->asked_others) return;
  if (now - probe_->begun < kAckTimeout) return;
  probe_->asked_others = true;
  out->push_back({probe_->host, Make(GossipKind::kPing, probe_->sequence, now, view)});
  for (const std::string& helper : SomeLive(kIndirectProbes, probe_->host)) {
    GossipMessage request = Make(GossipKind::kPingRequest, probe_->sequence, now, view);
    request.subject = probe_->host;
    out->push_back({helper, std::move(request)});
  }
}

void PeerGossip::ExpireSuspects(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [host, peer] : peers_.Peers()) {
    if (peer.status == PeerStatus::kSuspect && now - peer.changed >= kSuspicionTimeout) {
      expired.push_back(host);
    }
  }
  for (const std::string& host : expired) MarkGone(host, now);
}

// Returns the delay to the next join attempt while no other node is live. Backs off with jitter:
// all nodes of a starting fleet know the same three seeds, which cannot answer hundreds of nodes at
// once.
Duration PeerGossip::NextJoinDelay() {
  Duration pause = kShortestSyncInterval;
  for (int i = kQuickJoinAttempts; i < join_attempts_ && pause < kUnreachableInterval; ++i)
    pause *= 2;
  ++join_attempts_;
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  return FromSeconds(ToSeconds(std::min(pause, kUnreachableInterval)) * jitter(random_));
}

// Contacts a random host that is not live, either never heard or gone, since links recover and
// nodes restart.
void PeerGossip::ContactUnreachable(TimePoint now, const StoreView& view,
                                    std::vector<AddressedGossip>* out) {
  if (now < next_contact_) return;
  const bool is_alone = peers_.LiveCount() == 0;
  if (!is_alone) join_attempts_ = 0;
  next_contact_ = now + (is_alone ? NextJoinDelay() : kUnreachableInterval);
  std::vector<std::string> silent;
  for (const auto& [host, peer] : peers_.Peers()) {
    if (!PeerTable::IsLive(peer)) silent.push_back(host);
  }
  if (silent.empty()) return;
  silent = {silent[random_() % silent.size()]};
  for (const std::string& host : silent) {
    out->push_back(
        is_alone ? MakeSync(host, now, view)
                 : AddressedGossip{host, Make(GossipKind::kPing, next_sequence_++, now, view)});
    const PeerRecord* peer = peers_.Find(host);
    if (peer == nullptr || peer->status != PeerStatus::kGone) continue;
    // Lets a node that is in fact live learn its recorded status and refute it.
    out->back().message.members.push_back(EntryOf(host, *peer, now));
  }
}

AddressedGossip PeerGossip::MakeSync(const std::string& host, TimePoint now,
                                     const StoreView& view) {
  AddressedGossip sync{host, Make(GossipKind::kSync, next_sequence_++, now, view)};
  sync.message.known.push_back(SyncHash(host_, sync.message.sequence));
  for (const LivePeer& peer : peers_.LivePeers()) {
    sync.message.known.push_back(SyncHash(peer.host, sync.message.sequence));
  }
  return sync;
}

void PeerGossip::Sync(TimePoint now, const StoreView& view, std::vector<AddressedGossip>* out) {
  if (now < next_sync_) return;
  next_sync_ = now + sync_interval_;
  for (const std::string& host : SomeLive(1, "")) out->push_back(MakeSync(host, now, view));
}

std::vector<AddressedGossip> PeerGossip::AnswerSync(const std::string& host,
                                                    const GossipMessage& message, TimePoint now,
                                                    const StoreView& view) {
  const std::unordered_set<uint16_t> known(message.known.begin(), message.known.end());
  std::vector<MemberEntry> missing;
  for (const auto& [other, peer] : peers_.Peers()) {
    if (!PeerTable::IsLive(peer) || other == host) continue;
    if (known.contains(SyncHash(other, message.sequence))) continue;
    missing.push_back(EntryOf(other, peer, now));
  }
  // Shuffled so that nodes that start together learn different members and exchange the rest.
  std::shuffle(missing.begin(), missing.end(), random_);
  std::vector<AddressedGossip> replies;
  size_t next = 0;
  do {
    GossipMessage reply = Make(GossipKind::kSyncReply, message.sequence, now, view);
    for (; next < missing.size() && reply.members.size() < kMembersPerReply; ++next) {
      reply.members.push_back(std::move(missing[next]));
    }
    replies.push_back({host, std::move(reply)});
  } while (next < missing.size() && replies.size() < kMaxSyncReplies);
  return replies;
}

void PeerGossip::ForgetRequestedPings(TimePoint now) {
  std::erase_if(requested_pings_, [now](const auto& ping) {
    return now - ping.second.begun > kRequestedPingTimeout;
  });
}

// Tells a sender that is recorded as not alive, or under a newer incarnation, of that record, so
// that it refutes it with its next message.
void PeerGossip::ReportStatus(const std::string& host, const MemberEntry& sender, TimePoint now,
                              const StoreView& view, std::vector<AddressedGossip>* out) {
  const PeerRecord* peer = peers_.Find(host);
  if (peer == nullptr) return;
  if (peer->status == PeerStatus::kAlive && sender.incarnation >= peer->incarnation) return;
  if (out->empty()) {
    out->push_back({host, Make(GossipKind::kPing, next_sequence_++, now, view)});
  }
  out->front().message.members.push_back(EntryOf(host, *peer, now));
}

// Notifies some nodes at once when this node starts to stop, or starts or ceases to bridge: other
// nodes depend on these changes soon.
void PeerGossip::AnnounceOwnChanges(TimePoint now, const StoreView& view,
                                    std::vector<AddressedGossip>* out) {
  const NodeState self = peers_.Self(now);
  const bool is_told = self.stopping == announced_stopping_ && self.bridges == announced_bridges_;
  if (is_told) return;
  announced_stopping_ = self.stopping;
  announced_bridges_ = self.bridges;
  ++incarnation_;
  for (const std::string& host : SomeLive(kOwnChangeFanout, "")) {
    out->push_back({host, Make(GossipKind::kPing, next_sequence_++, now, view)});
  }
}

std::vector<AddressedGossip> PeerGossip::Tick(TimePoint now, const StoreView& view) {
  std::vector<AddressedGossip> out;
  const bool was_paused = last_tick_ != TimePoint() && now - last_tick_ > kPauseThreshold;
  last_tick_ = now;
  if (was_paused) {
    probe_.reset();
    // Restarts the suspicion timeout: refutations may have arrived during the pause.
    for (const LivePeer& peer : peers_.LivePeers()) {
      PeerRecord* record = peers_.Find(peer.host);
      if (record->status == PeerStatus::kSuspect) record->changed = now;
    }
  }
  AnnounceOwnChanges(now, view, &out);
  WatchProbe(now, view, &out);
  ProbeNext(now, view, &out);
  ExpireSuspects(now);
  ContactUnreachable(now, view, &out);
  Sync(now, view, &out);
  ForgetRequestedPings(now);
  return out;
}

std::vector<AddressedGossip> PeerGossip::AskSome(size_t count, TimePoint now,
                                                 const StoreView& view) {
  std::vector<AddressedGossip> out;
  for (const std::string& host : SomeLive(count, "")) {
    out.push_back({host, Make(GossipKind::kPing, next_sequence_++, now, view)});
  }
  return out;
}

void PeerGossip::OnAck(uint32_t sequence, TimePoint now, const StoreView& view,
                       std::vector<AddressedGossip>* out) {
  if (probe_.has_value() && probe_->sequence == sequence) probe_->answered = true;
  const auto ping = requested_pings_.find(sequence);
  if (ping == requested_pings_.end()) return;
  out->push_back(
      {ping->second.requester, Make(GossipKind::kAck, ping->second.sequence, now, view)});
  requested_pings_.erase(ping);
}

void PeerGossip::NoteSyncReply(size_t learnt, TimePoint now) {
  if (learnt >= kManyNewMembers) {
    sync_interval_ = kShortestSyncInterval;
  } else if (learnt == 0) {
    sync_interval_ = std::min<Duration>(2 * sync_interval_, kLongestSyncInterval);
  }
  next_sync_ = std::min(next_sync_, now + sync_interval_);
}

std::vector<AddressedGossip> PeerGossip::OnMessage(const std::string& host,
                                                   const GossipMessage& message, TimePoint now,
                                                   const StoreView& view) {
  std::vector<AddressedGossip> out;
  // Rejects messages whose claimed sender differs from the source address.
  if (message.sender.host != host || host == host_) return out;
  last_heard_ = now;
  const size_t known_before = peers_.LiveCount();
  Apply(message.sender, now);
  peers_.NoteDocument(host, message.view.document_version);
  for (const MemberEntry& entry : message.members) Apply(entry, now);
  switch (message.kind) {
    case GossipKind::kPing:
      out.push_back({host, Make(GossipKind::kAck, message.sequence, now, view)});
      break;
    case GossipKind::kAck:
      OnAck(message.sequence, now, view, &out);
      break;
    case GossipKind::kPingRequest:
      requested_pings_[next_sequence_] = {host, message.sequence, now};
      out.push_back({message.subject, Make(GossipKind::kPing, next_sequence_++, now, view)});
      break;
    case GossipKind::kSync:
      out = AnswerSync(host, message, now, view);
      break;
    case GossipKind::kSyncReply:
      NoteSyncReply(peers_.LiveCount() - known_before, now);
      break;
  }
  ReportStatus(host, message.sender, now, view, &out);
  return out;
}

}  // namespace cartsail
