#include "fleet/peer_table.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kForgetAfter = seconds(30);
// Keeps a partition from taking itself for the whole fleet after it has forgotten the other nodes.
// Until this time has passed, permanently lost nodes count against a majority.
constexpr Duration kCountedAfterForgotten = std::chrono::minutes(5);
constexpr Duration kSettledAfter = seconds(3);  // uptime after which all nodes know a node
constexpr double kCapacityClasses = 10;         // per core: ignores small differences
// Lifetime of a cached ranking. Every request needs one, and computing it visits all nodes. Nodes
// settle at any time, so rankings expire even while no node joins or leaves.
constexpr Duration kRankingLifetime = milliseconds(50);
constexpr char kReading[] = "reading the store";

// Sort key of a node in a ranking; greater keys come first.
struct NodeRank {
  bool settled;
  int64_t capacity;
  uint64_t hash;
  const std::string* host;

  bool operator>(const NodeRank& other) const {
    return std::tie(settled, capacity, hash) > std::tie(other.settled, other.capacity, other.hash);
  }
};

NodeRank RankOf(const NodeState& state, Duration uptime, const std::string& host, uint64_t seed) {
  const auto capacity = static_cast<int64_t>(state.capacity * kCapacityClasses);
  return {uptime >= kSettledAfter, capacity, Hash64(state.node, seed), &host};
}

}  // namespace

void PeerTable::SetStopping() {
  self_.stopping = true;
  ++epoch_;
}

void PeerTable::AddHost(const std::string& host, TimePoint now) {
  PeerRecord peer;
  peer.added = now;
  peers_.emplace(host, peer);
}

NodeState PeerTable::Self(TimePoint now) const {
  NodeState state = self_;
  state.uptime = now - started_;
  return state;
}

bool PeerTable::Heard(const std::string& host, const NodeState& state, TimePoint now) {
  AddHost(host, now);
  forgotten_.erase(host);
  PeerRecord& peer = peers_[host];
  const bool regained = !IsLive(peer);
  if (regained || peer.state.stopping != state.stopping) ++epoch_;
  if (peer.status != PeerStatus::kAlive) peer.changed = now;
  peer.status = PeerStatus::kAlive;
  peer.state = state;
  peer.noted = now;
  return regained;
}

void PeerTable::SetStatus(const std::string& host, PeerStatus status, TimePoint now) {
  PeerRecord* peer = Find(host);
  if (peer == nullptr || peer->status == status) return;
  peer->status = status;
  peer->changed = now;
  ++epoch_;
}

const PeerRecord* PeerTable::Find(const std::string& host) const {
  const auto peer = peers_.find(host);
  return peer == peers_.end() ? nullptr : &peer->second;
}

PeerRecord* PeerTable::Find(const std::string& host) {
  const auto peer = peers_.find(host);
  return peer == peers_.end() ? nullptr : &peer->second;
}

void PeerTable::NoteDocument(const std::string& host, int64_t version) {
  PeerRecord* peer = Find(host);
  if (peer != nullptr) peer->document_version = version;
}

std::vector<LivePeer> PeerTable::PeersBehind(int64_t version) const {
  std::vector<LivePeer> behind;
  for (const auto& [host, peer] : peers_) {
    if (!IsLive(peer) || peer.document_version >= version) continue;
    behind.push_back({host, peer.state.zone});
  }
  return behind;
}

std::vector<std::string> PeerTable::Rank(const std::string& purpose, size_t count,
                                         TimePoint now) const {
  Ranking& ranking = rankings_[purpose];
  const bool holds = ranking.epoch == epoch_ && ranking.count >= count && now >= ranking.made &&
                     now - ranking.made < kRankingLifetime;
  if (!holds) {
    const uint64_t seed = Hash64(purpose);
    std::vector<NodeRank> ranks;
    ranks.reserve(peers_.size() + 1);
    if (!self_.stopping) ranks.push_back(RankOf(self_, now - started_, self_host_, seed));
    for (const auto& [host, peer] : peers_) {
      if (!IsLive(peer) || peer.state.stopping) continue;
      ranks.push_back(RankOf(peer.state, peer.state.uptime + (now - peer.noted), host, seed));
    }
    const auto kept = ranks.begin() + static_cast<int64_t>(std::min(count, ranks.size()));
    std::partial_sort(ranks.begin(), kept, ranks.end(), std::greater<>());
    ranking = {epoch_, now, count, {}};
    for (auto rank = ranks.begin(); rank != kept; ++rank) ranking.hosts.push_back(*rank->host);
  }
  const size_t size = std::min(count, ranking.hosts.size());
  return {ranking.hosts.begin(), ranking.hosts.begin() + static_cast<int64_t>(size)};
}

std::vector<std::string> PeerTable::RankCoordinators(const std::string& service, size_t count,
                                                     TimePoint now) const {
  return Rank(service, count, now);
}

std::vector<std::string> PeerTable::RankWhere(bool NodeState::*flag, const std::string& purpose,
                                              size_t count, TimePoint now) const {
  std::vector<std::string> ranked = Rank(purpose, peers_.size() + 1, now);
  std::erase_if(ranked, [this, flag](const std::string& host) {
    const PeerRecord* peer = Find(host);
    return peer == nullptr ? !(self_.*flag) : !(IsLive(*peer) && peer->state.*flag);
  });
  if (ranked.size() > count) ranked.resize(count);
  return ranked;
}

std::vector<std::string> PeerTable::RankLenders(const std::string& purpose, size_t count,
                                                TimePoint now) const {
  return RankWhere(&NodeState::lends, purpose, count, now);
}

std::vector<std::string> PeerTable::RankStreamKeepers(const std::string& purpose, size_t count,
                                                      TimePoint now) const {
  return RankWhere(&NodeState::keeps_streams, purpose, count, now);
}

size_t PeerTable::ReadingRank(TimePoint now) const {
  const std::vector<std::string> ranked = Rank(kReading, peers_.size() + 1, now);
  return static_cast<size_t>(std::find(ranked.begin(), ranked.end(), "") - ranked.begin());
}

std::optional<size_t> OwnRank(const std::vector<std::string>& ranked) {
  const auto self = std::find(ranked.begin(), ranked.end(), "");
  if (self == ranked.end()) return std::nullopt;
  return static_cast<size_t>(self - ranked.begin());
}

std::string PeerTable::ZoneOf(const std::string& host) const {
  const PeerRecord* peer = Find(host);
  return peer == nullptr ? std::string() : peer->state.zone;
}

void PeerTable::ForgetSilent(TimePoint now) {
  std::erase_if(peers_, [this, now](const auto& entry) {
    const PeerRecord& peer = entry.second;
    if (IsLive(peer) || now - std::max(peer.added, peer.changed) <= kForgetAfter) return false;
    if (!peer.state.stopping) forgotten_[entry.first] = now;
    return true;
  });
  std::erase_if(forgotten_,
                [now](const auto& entry) { return now - entry.second > kCountedAfterForgotten; });
}

FleetView PeerTable::FleetOf(const std::string& service, TimePoint now) const {
  FleetView view;
  view.is_first = OwnRank(RankCoordinators(service, 1, now)) == 0U;
  view.is_settled = now - started_ >= kSettledAfter;
  view.live = static_cast<int64_t>(LiveCount());
  view.known = NodesNotEnded() - 1;
  return view;
}

int64_t PeerTable::NodesNotEnded() const {
  int64_t nodes = 1;
  for (const auto& [host, peer] : peers_) {
    // A node that announced its stop and is gone has ended.
    nodes += IsLive(peer) || !peer.state.stopping ? 1 : 0;
  }
  for (const auto& [host, since] : forgotten_) nodes += peers_.contains(host) ? 0 : 1;
  return nodes;
}

double PeerTable::LendingShare() const {
  int64_t heard = 1;
  int64_t lending = 1;
  for (const auto& [host, peer] : peers_) {
    const bool was_heard = peer.status != PeerStatus::kUnheard;
    heard += was_heard ? 1 : 0;
    lending += was_heard && peer.state.lends ? 1 : 0;
  }
  return static_cast<double>(lending) / static_cast<double>(heard);
}

std::vector<LivePeer> PeerTable::LivePeers() const {
  std::vector<LivePeer> live;
  for (const auto& [host, peer] : peers_) {
    if (IsLive(peer)) live.push_back({host, peer.state.zone});
  }
  return live;
}

bool PeerTable::IsBridge(const PeerRecord& peer) {
  return IsLive(peer) && peer.state.bridges && !peer.state.stopping;
}

std::vector<LivePeer> PeerTable::Bridges() const {
  std::vector<LivePeer> bridges;
  for (const auto& [host, peer] : peers_) {
    if (IsBridge(peer)) bridges.push_back({host, peer.state.zone});
  }
  return bridges;
}

bool PeerTable::HasBridge() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [](const auto& entry) { return IsBridge(entry.second); });
}

size_t PeerTable::LiveCount() const {
  return static_cast<size_t>(std::count_if(peers_.begin(), peers_.end(),
                                           [](const auto& entry) { return IsLive(entry.second); }));
}

}  // namespace cartsail
