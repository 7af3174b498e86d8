#include "cartsail/dispatch/stream_risk.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

// Decay time of recorded breaks: older ones say little about future ones, because placement moves
// work between engines.
constexpr Duration kBreakDecayTime = seconds(3);
// Bounds the sum of logarithms; beyond it no stream counts as within its bound.
constexpr double kMaxProbability = 0.999;

double DecayedBreaks(const StreamRisk::Exposure& exposure, TimePoint now) {
  const double age = std::max(0.0, ToSeconds(now - exposure.updated));
  return exposure.recent_breaks * std::exp(-age / ToSeconds(kBreakDecayTime));
}

const StreamRisk::Exposure* FindIn(const std::vector<StreamRisk::Exposure>& exposures,
                                   Duration bound) {
  for (const StreamRisk::Exposure& exposure : exposures) {
    if (exposure.bound == bound) return &exposure;
  }
  return nullptr;
}

}  // namespace

StreamRisk::Exposure& StreamRisk::ExposureOf(BackendKey backend, Duration bound) {
  std::vector<Exposure>& exposures = engines_[backend];
  for (Exposure& exposure : exposures) {
    if (exposure.bound == bound) return exposure;
  }
  Exposure& added = exposures.emplace_back();
  added.bound = bound;
  return added;
}

StreamMark StreamRisk::Begin(BackendKey backend, Duration bound) {
  if (bound <= Duration(0)) return {};
  const auto place = std::lower_bound(bounds_.begin(), bounds_.end(), bound);
  if (place == bounds_.end() || *place != bound) bounds_.insert(place, bound);
  Exposure& exposure = ExposureOf(backend, bound);
  exposure.streams += 1;
  return {bound, exposure.log_survival};
}

void StreamRisk::End(BackendKey backend, const StreamMark& mark) {
  if (mark.bound <= Duration(0)) return;
  const auto entry = engines_.find(backend);
  if (entry == engines_.end()) return;
  Exposure& exposure = ExposureOf(backend, mark.bound);
  const double survival = std::exp(std::min(0.0, exposure.log_survival - mark.log_survival));
  exposure.streams = std::max(0.0, exposure.streams - survival);
}

void StreamRisk::NotePrompt(BackendKey backend, Duration bound, double chance, TimePoint now) {
  if (chance <= 0) return;
  const double bounded = std::min(chance, kMaxProbability);
  Exposure& exposure = ExposureOf(backend, bound);
  exposure.streams *= 1 - bounded;
  exposure.log_survival += std::log1p(-bounded);
  exposure.recent_breaks = DecayedBreaks(exposure, now) + bounded;
  exposure.updated = now;
}

const std::vector<StreamRisk::Exposure>& StreamRisk::At(BackendKey backend) const {
  static const std::vector<Exposure> none;
  const auto entry = engines_.find(backend);
  return entry == engines_.end() ? none : entry->second;
}

double StreamRisk::FutureBreak(BackendKey backend, Duration bound, Duration lifetime,
                               TimePoint now) const {
  const Exposure* exposure = FindIn(At(backend), bound);
  if (exposure == nullptr) return 0;
  const double breaks_per_second = DecayedBreaks(*exposure, now) / ToSeconds(kBreakDecayTime);
  return 1 - std::exp(-breaks_per_second * ToSeconds(lifetime));
}

void StreamRisk::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  std::erase_if(engines_, [&is_known](const auto& entry) { return !is_known(entry.first); });
}

}  // namespace cartsail
