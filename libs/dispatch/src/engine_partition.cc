#include "cartsail/dispatch/engine_partition.h"

#include <algorithm>
#include <cmath>

namespace cartsail {

double UrgentWorkMeter::DecayedTo(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - updated_));
  return sum_ms_ * std::exp(-age / ToSeconds(window_));
}

void UrgentWorkMeter::Note(double reading_ms, TimePoint now) {
  sum_ms_ = DecayedTo(now) + reading_ms;
  updated_ = now;
}

double UrgentWorkMeter::ReadingRate(TimePoint now) const {
  return DecayedTo(now) / ToSeconds(window_);
}

void UrgentWorkView::Note(std::string_view service, double reading_ms, TimePoint now) {
  own_.try_emplace(std::string(service), window_).first->second.Note(reading_ms, now);
}

void UrgentWorkView::SetPeer(std::string_view node, const std::vector<ServiceWork>& work,
                             TimePoint now) {
  PeerWork& peer = peers_[std::string(node)];
  peer.heard = now;
  peer.work = work;
}

double UrgentWorkView::ReadingRate(std::string_view service, TimePoint now) const {
  double rate = 0;
  const auto own = own_.find(std::string(service));
  if (own != own_.end()) rate += own->second.ReadingRate(now);
  for (const auto& [node, peer] : peers_) {
    if (now - peer.heard > peer_lifetime_) continue;
    for (const ServiceWork& work : peer.work) {
      if (work.service == service) rate += work.reading_ms_per_s;
    }
  }
  return rate;
}

std::vector<ServiceWork> UrgentWorkView::Own(TimePoint now) const {
  std::vector<ServiceWork> work;
  for (const auto& [service, meter] : own_) work.push_back({service, meter.ReadingRate(now)});
  return work;
}

int64_t UrgentEngineCount(const PartitionPolicy& policy, const UrgentWork& work, int64_t engines) {
  if (engines <= 1) return engines;
  const double for_reading = work.reading_ms_per_s / 1e3 / policy.urgent_utilization;
  const double for_streams = work.streams / policy.streams_per_engine;
  const auto total = static_cast<double>(engines);
  const double wanted = std::clamp(std::max(for_reading, for_streams),
                                   total * policy.least_urgent_share,
                                   total * policy.most_urgent_share);
  const auto whole = static_cast<int64_t>(std::ceil(wanted));
  return std::clamp<int64_t>(whole, 1, engines - 1);
}

}  // namespace cartsail
