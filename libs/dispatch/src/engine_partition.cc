#include "cartsail/dispatch/engine_partition.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

constexpr double kMinChange = 0.8;  // smallest change that is followed, in engines

}  // namespace

double WorkMeter::DecayedTo(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - updated_));
  return sum_ms_ * std::exp(-age / ToSeconds(window_));
}

void WorkMeter::Note(double prefill_ms, TimePoint now) {
  sum_ms_ = DecayedTo(now) + prefill_ms;
  updated_ = now;
}

double WorkMeter::PrefillRate(TimePoint now) const { return DecayedTo(now) / ToSeconds(window_); }

void ServiceWorkView::Note(std::string_view service, bool is_light, double prefill_ms,
                           TimePoint now) {
  const Meters empty{WorkMeter(window_), WorkMeter(window_)};
  Meters& meters = own_.try_emplace(std::string(service), empty).first->second;
  (is_light ? meters.light : meters.heavy).Note(prefill_ms, now);
}

void ServiceWorkView::SetPeer(std::string_view node, const std::vector<ServiceWork>& work,
                              TimePoint until) {
  PeerWork& peer = peers_[std::string(node)];
  peer.until = until;
  peer.work = work;
}

ServiceWork ServiceWorkView::Total(std::string_view service, TimePoint now) const {
  ServiceWork total;
  total.service = std::string(service);
  const auto own = own_.find(total.service);
  if (own != own_.end()) {
    total.light_ms_per_s = own->second.light.PrefillRate(now);
    total.heavy_ms_per_s = own->second.heavy.PrefillRate(now);
  }
  for (const auto& [node, peer] : peers_) {
    if (now > peer.until) continue;
    for (const ServiceWork& work : peer.work) {
      if (work.service != service) continue;
      total.light_ms_per_s += work.light_ms_per_s;
      total.heavy_ms_per_s += work.heavy_ms_per_s;
    }
  }
  return total;
}

std::vector<ServiceWork> ServiceWorkView::Own(TimePoint now) const {
  std::vector<ServiceWork> work;
  for (const auto& [service, meters] : own_) {
    work.push_back({service, meters.light.PrefillRate(now), meters.heavy.PrefillRate(now)});
  }
  return work;
}

double WantedLightEngines(const PartitionPolicy& policy, const EngineWork& work, int64_t engines) {
  const auto total = static_cast<double>(engines);
  const double light = work.light_ms_per_s / 1e3;
  const double heavy = work.heavy_ms_per_s / 1e3;
  const double wanted_by_light = std::max(light / policy.light_target_use,
                                          work.light_requests / (policy.light_slots * work.slots));
  const double wanted_by_heavy = std::max(heavy / policy.heavy_target_use,
                                          work.heavy_requests / (policy.heavy_slots * work.slots));
  const double wanted_in_total = wanted_by_light + wanted_by_heavy;
  const double fair = wanted_in_total > 0 ? total * wanted_by_light / wanted_in_total : total / 2;
  const double needed =
      std::max(light / policy.light_max_use, work.light_requests / policy.streams_per_engine);
  return std::clamp(std::max(fair, needed), total * policy.min_light_share,
                    total * policy.max_light_share);
}

int64_t LightEngineTarget::Update(double wanted, int64_t engines) {
  if (engines <= 1) return engines;
  if (current_ == 0 || std::abs(wanted - current_) > kMinChange) current_ = std::round(wanted);
  return std::clamp<int64_t>(std::llround(current_), 1, engines - 1);
}

}  // namespace cartsail
