#include "cartsail/dispatch/load_ledger.h"

#include <algorithm>

namespace cartsail {

BackendLoad& BackendLoad::operator+=(const BackendLoad& other) {
  prefill_ms += other.prefill_ms;
  requests += other.requests;
  light_requests += other.light_requests;
  attempts += other.attempts;
  failures += other.failures;
  return *this;
}

BackendLoad& BackendLoad::operator-=(const BackendLoad& other) {
  prefill_ms = std::max(0.0, prefill_ms - other.prefill_ms);
  requests -= other.requests;
  light_requests -= other.light_requests;
  attempts = std::max(0.0, attempts - other.attempts);
  failures = std::max(0.0, failures - other.failures);
  return *this;
}

void LoadLedger::Begin(BackendKey backend, double prefill_ms, bool is_light) {
  BackendLoad& load = own_[backend];
  load.prefill_ms += prefill_ms;
  ++load.requests;
  load.light_requests += is_light ? 1 : 0;
}

void LoadLedger::FirstOutput(BackendKey backend, double prefill_ms) {
  BackendLoad& load = own_[backend];
  load.prefill_ms = std::max(0.0, load.prefill_ms - prefill_ms);
}

void LoadLedger::End(BackendKey backend, bool is_light) {
  const auto load = own_.find(backend);
  if (load == own_.end()) return;
  --load->second.requests;
  load->second.light_requests -= is_light ? 1 : 0;
  if (load->second.requests <= 0) own_.erase(load);
}

void LoadLedger::Subtract(const Loads& loads) {
  for (const auto& [backend, load] : loads) {
    const auto sum = peer_sums_.find(backend);
    if (sum == peer_sums_.end()) continue;
    sum->second.load -= load;
    if (--sum->second.peers == 0) peer_sums_.erase(sum);
  }
}

void LoadLedger::SetPeer(std::string_view node, const std::vector<BackendLoadEntry>& loads,
                         TimePoint until) {
  PeerLoads& peer = peers_[std::string(node)];
  Subtract(peer.loads);
  peer.until = until;
  peer.loads.clear();
  for (const BackendLoadEntry& entry : loads) peer.loads[entry.backend] = entry.load;
  for (const auto& [backend, load] : peer.loads) {
    PeerSum& sum = peer_sums_[backend];
    sum.load += load;
    ++sum.peers;
  }
  next_expiry_ = std::min(next_expiry_, until);
}

void LoadLedger::ExpirePeers(TimePoint now) {
  if (now <= next_expiry_) return;
  next_expiry_ = TimePoint::max();
  for (auto& [node, peer] : peers_) {
    if (now > peer.until) {
      Subtract(peer.loads);
      peer.loads.clear();
    } else {
      next_expiry_ = std::min(next_expiry_, peer.until);
    }
  }
  std::erase_if(peers_, [now](const auto& peer) { return now > peer.second.until; });
}

BackendLoad LoadLedger::Own(BackendKey backend) const {
  const auto load = own_.find(backend);
  return load == own_.end() ? BackendLoad{} : load->second;
}

BackendLoad LoadLedger::OfPeers(BackendKey backend) const {
  const auto sum = peer_sums_.find(backend);
  return sum == peer_sums_.end() ? BackendLoad{} : sum->second.load;
}

BackendLoad LoadLedger::Total(BackendKey backend) const {
  BackendLoad total = Own(backend);
  total += OfPeers(backend);
  return total;
}

int64_t LoadLedger::PeersHeard(TimePoint now) const {
  int64_t heard = 0;
  for (const auto& [node, peer] : peers_) heard += now <= peer.until ? 1 : 0;
  return heard;
}

}  // namespace cartsail
