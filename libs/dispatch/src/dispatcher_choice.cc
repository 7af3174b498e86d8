// How the dispatcher chooses the back end of one request: the one with the least expected loss.
#include <algorithm>

#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {
namespace {

constexpr double kLikely = 0.5;  // chances above it

bool Contains(const std::vector<BackendKey>& keys, BackendKey key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

bool Dispatcher::IsSuspended(BackendKey backend, TimePoint now) const {
  return !IsOff(Mechanism::kSuspension) && health_.IsSuspended(backend, now);
}

// True when reading `reading_ms` would rather break the pauses of the most sensitive streams.
bool Dispatcher::IsDisturbing(BackendKey backend, double reading_ms) const {
  if (risk_.Bounds().empty()) return false;
  return BreakChance(backend, 0, reading_ms, risk_.Bounds().front()) > kLikely;
}

Dispatcher::PlacementView Dispatcher::View(const RequestProfile& profile,
                                           const std::vector<BackendKey>& tried, TimePoint now,
                                           ColdRight right) {
  loads_.ExpirePeers(now);
  RemoveMissing(now);
  const ServicePools::Inputs inputs{registry_, pauses_, loads_, work_};
  const std::vector<PoolMember>& members = pools_.Of(profile.service, inputs, now);
  const RegionSet allowed = registry_.Regions().AllowedFor(profile);
  PlacementView view;
  std::vector<Candidate> suspended;
  const ServiceWarmUp* warm_up = cold_.RuleOf(profile.service);
  for (const PoolMember& member : members) {
    const BackendKey key = member.backend->key;
    if (!allowed.Allows(member.backend->region) || Contains(tried, key)) continue;
    if (warm_up != nullptr) {
      const Duration wait = WaitForCold(*member.backend, *warm_up, now, right);
      if (wait > Duration(0)) {
        view.cold_wait = std::min(view.cold_wait.value_or(wait), wait);
        continue;
      }
    }
    const Candidate candidate{member.backend, member.for_light, 0};
    (IsSuspended(key, now) ? suspended : view.candidates).push_back(candidate);
  }
  if (view.candidates.empty()) view.candidates = std::move(suspended);
  if (!profile.is_generation) return view;
  if (IsOff(Mechanism::kPrefixAffinity)) return view;
  for (Candidate& candidate : view.candidates) {
    candidate.held_tokens = prefixes_.HeldTokens(profile.prompt_parts, candidate.backend->key, now);
  }
  FindHolders(profile, members, allowed, now, &view);
  return view;
}

size_t Dispatcher::HolderSlot(const Backend& backend) const {
  const size_t regions = registry_.Regions().Count();
  return backend.region == kUnknownRegion ? regions : static_cast<size_t>(backend.region);
}

// Also engines that were tried may hand their memory over.
void Dispatcher::FindHolders(const RequestProfile& profile, const std::vector<PoolMember>& members,
                             const RegionSet& allowed, TimePoint now, PlacementView* view) const {
  view->holders.resize(registry_.Regions().Count() + 1);
  for (const PoolMember& member : members) {
    const BackendKey key = member.backend->key;
    if (!allowed.Allows(member.backend->region) || IsSuspended(key, now)) continue;
    const int64_t known = prefixes_.HeldTokens(profile.prompt_parts, key, now);
    view->known_tokens = std::max(view->known_tokens, known);
    const int64_t held = prefixes_.ReadTokens(profile.prompt_parts, key, now);
    Holder& holder = view->holders[HolderSlot(*member.backend)];
    if (held > holder.tokens) holder = {member.backend, held};
  }
}

// The engine that may hand prompt memory to `backend`; none where its region has none.
Dispatcher::Holder Dispatcher::HolderFor(const Backend& backend, const PlacementView& view) const {
  if (!registry_.Regions().MayShareMemory(backend.region, backend.region)) return {};
  const size_t slot = HolderSlot(backend);
  return slot < view.holders.size() ? view.holders[slot] : Holder();
}

std::optional<Placement> Dispatcher::Choose(const Requester& requester,
                                            const RequestProfile& profile,
                                            const std::vector<BackendKey>& tried, TimePoint now,
                                            ColdRight right) {
  PlacementView view = View(profile, tried, now, right);
  if (view.candidates.empty()) return std::nullopt;
  view.requester = &requester;

  const Backend* best = nullptr;
  Estimate best_estimate;
  for (const Candidate& candidate : view.candidates) {
    const Estimate estimate = profile.is_generation
                                  ? EstimateGeneration(profile, candidate, view, now)
                                  : EstimatePlain(candidate, view, now);
    if (best != nullptr && estimate.loss >= best_estimate.loss) continue;
    best = candidate.backend;
    best_estimate = estimate;
  }
  Placement placement;
  placement.backend = *best;
  if (best_estimate.fetch_from != nullptr) {
    placement.fetch_prefix_from = best_estimate.fetch_from->address;
    placement.fetch_prefix_key = best_estimate.fetch_from->key;
  }
  placement.expected_loss = best_estimate.loss;
  placement.reading_ms = best_estimate.reading_ms;
  placement.first_output_ms = best_estimate.first_output_ms;
  placement.held_tokens = best_estimate.held_tokens;
  placement.load = best_estimate.load;
  placement.candidates = static_cast<int64_t>(view.candidates.size());
  NoteCold(&placement, now);
  return placement;
}

}  // namespace cartsail
