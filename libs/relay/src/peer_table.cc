#include "peer_table.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kLeastSilence = milliseconds(1500);
constexpr int kSilentIntervals = 4;
constexpr Duration kForgottenAfter = seconds(30);
constexpr Duration kSettledAfter = seconds(3);  // uptime from which all nodes know a node
constexpr int64_t kAssumedWhenYoung = 64;       // nodes, by one that has not heard them yet
constexpr double kCapacityClasses = 10;         // of a core: small differences don't count

// The order of nodes that may place requests: greater ones come first.
struct CoordinatorRank {
  bool settled;
  int64_t capacity;
  uint64_t hash;
  std::string host;

  bool operator>(const CoordinatorRank& other) const {
    return std::tie(settled, capacity, hash) > std::tie(other.settled, other.capacity, other.hash);
  }
};

CoordinatorRank RankOf(const NodeState& state, const std::string& host, uint64_t seed) {
  const auto capacity = static_cast<int64_t>(state.capacity * kCapacityClasses);
  return {state.uptime >= kSettledAfter, capacity, Hash64(state.node, seed), host};
}

}  // namespace

void PeerTable::AddHost(const std::string& host, TimePoint now) {
  PeerRecord peer;
  peer.added = now;
  peers_.emplace(host, peer);
}

bool PeerTable::IsLive(const PeerRecord& peer, TimePoint now) const {
  if (peer.heard == TimePoint()) return false;
  const Duration limit = std::max<Duration>(kLeastSilence, kSilentIntervals * peer.state.interval);
  return now - peer.heard <= limit;
}

NodeState PeerTable::Self(TimePoint now) const {
  NodeState state = self_;
  state.uptime = now - started_;
  return state;
}

bool PeerTable::Heard(const std::string& host, const NodeState& state, TimePoint now) {
  AddHost(host, now);
  PeerRecord& peer = peers_[host];
  const bool regained = !IsLive(peer, now);
  peer.state = state;
  peer.heard = now;
  return regained;
}

void PeerTable::NoteDocument(const std::string& host, int64_t version) {
  const auto peer = peers_.find(host);
  if (peer != peers_.end()) peer->second.state.document_version = version;
}

std::vector<std::string> PeerTable::HostsBehind(int64_t version, TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : peers_) {
    if (IsLive(peer, now) && peer.state.document_version < version) hosts.push_back(host);
  }
  return hosts;
}

std::vector<std::string> PeerTable::RankCoordinators(const std::string& service, size_t count,
                                                     TimePoint now) const {
  const uint64_t seed = Hash64(service);
  std::vector<CoordinatorRank> ranks;
  if (!self_.stopping) ranks.push_back(RankOf(Self(now), "", seed));
  for (const auto& [host, peer] : peers_) {
    if (!IsLive(peer, now) || peer.state.stopping) continue;
    NodeState state = peer.state;
    state.uptime += now - peer.heard;
    ranks.push_back(RankOf(state, host, seed));
  }
  const auto kept = ranks.begin() + static_cast<int64_t>(std::min(count, ranks.size()));
  std::partial_sort(ranks.begin(), kept, ranks.end(), std::greater<>());
  std::vector<std::string> hosts;
  for (auto rank = ranks.begin(); rank != kept; ++rank) hosts.push_back(rank->host);
  return hosts;
}

std::string PeerTable::ZoneOf(const std::string& host) const {
  const auto peer = peers_.find(host);
  return peer == peers_.end() ? std::string() : peer->second.state.zone;
}

void PeerTable::ForgetSilent(TimePoint now) {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - std::max(entry.second.heard, entry.second.added) > kForgottenAfter;
  });
}

bool PeerTable::IsReader(size_t readers, TimePoint now) const {
  size_t before = 0;
  for (const auto& [host, peer] : peers_) {
    if (!IsLive(peer, now) || peer.state.stopping || peer.state.zone != self_.zone) continue;
    if (Hash64(peer.state.node) < Hash64(self_.node)) ++before;
  }
  return before < readers;
}

std::vector<std::string> PeerTable::SomeLiveHosts(size_t count, TimePoint now) {
  std::vector<std::string> live;
  for (const auto& [host, peer] : peers_) {
    if (IsLive(peer, now)) live.push_back(host);
  }
  std::vector<std::string> some;
  for (size_t i = 0; i < std::min(count, live.size()); ++i) {
    some.push_back(live[(next_host_ + i) % live.size()]);
  }
  next_host_ += count;
  return some;
}

int64_t PeerTable::SharingNodes(TimePoint now) const {
  const auto heard = static_cast<int64_t>(LiveCount(now)) + 1;
  return now - started_ < kSettledAfter ? std::max(heard, kAssumedWhenYoung) : heard;
}

size_t PeerTable::LiveCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [this, now](const auto& entry) { return IsLive(entry.second, now); }));
}

}  // namespace cartsail
