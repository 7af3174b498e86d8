#include "cartsail/dispatch/load_ledger.h"

#include <algorithm>

namespace cartsail {

BackendLoad& BackendLoad::operator+=(const BackendLoad& other) {
  reading_ms += other.reading_ms;
  requests += other.requests;
  even_streams += other.even_streams;
  attempts += other.attempts;
  failures += other.failures;
  return *this;
}

void LoadLedger::Begin(BackendKey backend, double reading_ms, bool even_stream) {
  BackendLoad& load = own_[backend];
  load.reading_ms += reading_ms;
  ++load.requests;
  load.even_streams += even_stream ? 1 : 0;
}

void LoadLedger::FirstOutput(BackendKey backend, double reading_ms) {
  BackendLoad& load = own_[backend];
  load.reading_ms = std::max(0.0, load.reading_ms - reading_ms);
}

void LoadLedger::End(BackendKey backend, bool even_stream) {
  const auto load = own_.find(backend);
  if (load == own_.end()) return;
  --load->second.requests;
  load->second.even_streams -= even_stream ? 1 : 0;
  if (load->second.requests <= 0) own_.erase(load);
}

void LoadLedger::SetPeer(std::string_view node, const std::vector<BackendLoadEntry>& loads,
                         TimePoint until) {
  PeerLoads& peer = peers_[std::string(node)];
  peer.until = until;
  peer.loads.clear();
  for (const BackendLoadEntry& entry : loads) peer.loads[entry.backend] = entry.load;
}

BackendLoad LoadLedger::Own(BackendKey backend) const {
  const auto load = own_.find(backend);
  return load == own_.end() ? BackendLoad{} : load->second;
}

BackendLoad LoadLedger::Total(BackendKey backend, TimePoint now) const {
  BackendLoad total = Own(backend);
  for (const auto& [node, peer] : peers_) {
    if (now > peer.until) continue;
    const auto load = peer.loads.find(backend);
    if (load != peer.loads.end()) total += load->second;
  }
  return total;
}

std::vector<BackendLoadEntry> LoadLedger::OwnLoads() const {
  std::vector<BackendLoadEntry> loads;
  loads.reserve(own_.size());
  for (const auto& [backend, load] : own_) loads.push_back({backend, load, 0});
  return loads;
}

int64_t LoadLedger::PeersHeard(TimePoint now) const {
  int64_t heard = 0;
  for (const auto& [node, peer] : peers_) heard += now <= peer.until ? 1 : 0;
  return heard;
}

}  // namespace cartsail
