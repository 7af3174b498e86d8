#include "peer_table.h"

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kLeastSilence = milliseconds(1500);
constexpr int kSilentIntervals = 4;
constexpr Duration kForgottenAfter = seconds(30);

}  // namespace

void PeerTable::AddHost(const std::string& host, TimePoint now) {
  PeerRecord peer;
  peer.added = now;
  peers_.emplace(host, peer);
}

bool PeerTable::IsLive(const PeerRecord& peer, TimePoint now) const {
  if (peer.heard == TimePoint()) return false;
  const Duration limit = std::max<Duration>(kLeastSilence, kSilentIntervals * peer.interval);
  return now - peer.heard <= limit;
}

bool PeerTable::Heard(const std::string& host, const std::string& node, const std::string& zone,
                      bool stopping, Duration interval, TimePoint now) {
  AddHost(host, now);
  PeerRecord& peer = peers_[host];
  const bool regained = !IsLive(peer, now);
  peer.node = node;
  peer.zone = zone;
  peer.stopping = stopping;
  peer.interval = interval;
  peer.heard = now;
  return regained;
}

void PeerTable::ForgetSilent(TimePoint now) {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - std::max(entry.second.heard, entry.second.added) > kForgottenAfter;
  });
}

bool PeerTable::IsReader(size_t readers, TimePoint now) const {
  size_t before = 0;
  for (const auto& [host, peer] : peers_) {
    if (!IsLive(peer, now) || peer.stopping || peer.zone != zone_) continue;
    if (Hash64(peer.node) < Hash64(self_)) ++before;
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

size_t PeerTable::LiveCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [this, now](const auto& entry) { return IsLive(entry.second, now); }));
}

}  // namespace cartsail
