// Choice of the back end of one request: the candidate with the smallest expected loss.
#include <algorithm>
#include <random>

#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {
namespace {

constexpr double kLikely = 0.5;  // probabilities above this are likely
// Limits on the members of a large pool that are evaluated for one request.
constexpr size_t kMaxHoldersEvaluated = 64;
constexpr size_t kMembersDrawn = 128;

bool Contains(const std::vector<BackendKey>& keys, BackendKey key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

// Draws one index out of each of `draws` equal spans of `size`. Light and heavy members, which are
// stored in this order, are thereby drawn in proportion.
std::vector<size_t> DrawEvenly(size_t size, size_t draws, std::minstd_rand* random) {
  std::vector<size_t> places;
  places.reserve(draws);
  for (size_t i = 0; i < draws; ++i) {
    const size_t begin = size * i / draws;
    const size_t end = size * (i + 1) / draws;
    if (begin < end) places.push_back(begin + (*random)() % (end - begin));
  }
  return places;
}

}  // namespace

bool Dispatcher::IsSuspended(BackendKey backend, TimePoint now) const {
  return !IsOff(Mechanism::kSuspension) && health_.IsSuspended(backend, now);
}

// True when a prefill of `prefill_ms` would probably break the pauses of the most sensitive
// streams.
bool Dispatcher::IsDisturbing(BackendKey backend, double prefill_ms) const {
  if (risk_.Bounds().empty()) return false;
  return PauseBreakProbability(backend, 0, prefill_ms, risk_.Bounds().front()) > kLikely;
}

// Members of a large pool to evaluate: engines that hold parts of the prompt, those to which the
// requester is connected, and some drawn evenly. The work of a placement does not grow with the
// pool.
std::vector<PoolMember> Dispatcher::SampleMembers(const ServicePool& pool,
                                                  const Requester& requester,
                                                  const RequestProfile& profile, TimePoint now) {
  std::vector<BackendKey> keys;
  if (profile.is_generation && !IsOff(Mechanism::kPrefixAffinity)) {
    keys = prefixes_.HoldersOf(profile.prompt_parts, kMaxHoldersEvaluated, now);
  }
  keys.insert(keys.end(), requester.connected.begin(), requester.connected.end());
  for (const size_t place : DrawEvenly(pool.Size(), kMembersDrawn, &draws_)) {
    keys.push_back(pool.Members()[place].key);
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  // Ties go to the first candidate; shuffling keeps nodes from all choosing the same one.
  std::shuffle(keys.begin(), keys.end(), draws_);
  std::vector<PoolMember> members;
  for (const BackendKey key : keys) {
    const PoolMember* member = pool.Find(key);
    if (member != nullptr) members.push_back(*member);
  }
  return members;
}

Dispatcher::PlacementView Dispatcher::View(const Requester& requester,
                                           const RequestProfile& profile,
                                           const std::vector<BackendKey>& tried, TimePoint now,
                                           const GrantAuthority& authority) {
  loads_.ExpirePeers(now);
  RemoveMissing(now);
  const ServicePools::Inputs inputs{registry_, pauses_, loads_, work_};
  const ServicePool& pool = pools_.Of(profile.service, inputs, now);
  if (pool.Size() > kSmallPool) {
    const std::vector<PoolMember> sample = SampleMembers(pool, requester, profile, now);
    PlacementView view = ViewOf(sample, profile, tried, now, authority);
    if (!view.candidates.empty()) return view;
    // All members of the sample are excluded or may not get the request now; others may be
    // available.
  }
  return ViewOf(pool.Members(), profile, tried, now, authority);
}

Dispatcher::PlacementView Dispatcher::ViewOf(const std::vector<PoolMember>& members,
                                             const RequestProfile& profile,
                                             const std::vector<BackendKey>& tried, TimePoint now,
                                             const GrantAuthority& authority) const {
  const RegionSet allowed = registry_.Regions().AllowedFor(profile);
  PlacementView view;
  std::vector<Candidate> suspended;
  for (const PoolMember& member : members) {
    const Backend* backend = registry_.FindOpen(member.key);
    if (backend == nullptr || !allowed.Allows(backend->region)) continue;
    if (!MatchesVersion(profile, *backend)) continue;
    if (Contains(tried, member.key)) continue;
    const Duration wait = WaitForMetered(*backend, now, authority);
    if (wait > Duration(0)) {
      view.metered_wait = std::min(view.metered_wait.value_or(wait), wait);
      view.limited_per_s += LimitedRate(*backend, authority);
      continue;
    }
    Candidate candidate{backend, member.for_light};
    candidate.is_trial = cold_.IsDueForTrial(*backend, now);
    (IsSuspended(member.key, now) ? suspended : view.candidates).push_back(candidate);
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

// KV cache contents are not compatible between versions.
bool Dispatcher::MayShareMemory(const Backend& from, const Backend& to) const {
  return from.version == to.version && registry_.Regions().MayShareMemory(from.region, to.region);
}

// Engines that were already tried can still transfer their KV cache.
void Dispatcher::FindHolders(const RequestProfile& profile, const std::vector<PoolMember>& members,
                             const RegionSet& allowed, TimePoint now, PlacementView* view) const {
  for (const PoolMember& member : members) {
    const Backend* backend = registry_.FindOpen(member.key);
    if (backend == nullptr || !allowed.Allows(backend->region)) continue;
    if (IsSuspended(member.key, now)) continue;
    const int64_t known = prefixes_.HeldTokens(profile.prompt_parts, member.key, now);
    view->known_tokens = std::max(view->known_tokens, known);
    const int64_t held = prefixes_.ReadTokens(profile.prompt_parts, member.key, now);
    if (held > 0) NoteHolder({backend, held}, view);
  }
}

// Keeps the holder with the longest prefix for each region and version.
void Dispatcher::NoteHolder(const Holder& holder, PlacementView* view) {
  for (Holder& known : view->holders) {
    const bool is_same_group = known.backend->region == holder.backend->region &&
                               known.backend->version == holder.backend->version;
    if (!is_same_group) continue;
    if (holder.tokens > known.tokens) known = holder;
    return;
  }
  view->holders.push_back(holder);
}

// The engine that can transfer KV cache to `backend`; no engine (nullptr) when there is none.
Dispatcher::Holder Dispatcher::HolderFor(const Backend& backend, const PlacementView& view) const {
  for (const Holder& holder : view.holders) {
    if (holder.backend->region != backend.region) continue;
    if (MayShareMemory(*holder.backend, backend)) return holder;
  }
  return {};
}

std::optional<Placement> Dispatcher::Choose(const Requester& requester,
                                            const RequestProfile& profile,
                                            const std::vector<BackendKey>& tried, TimePoint now,
                                            const GrantAuthority& authority) {
  PlacementView view = View(requester, profile, tried, now, authority);
  if (view.candidates.empty()) return std::nullopt;
  view.requester = &requester;

  const Backend* best = nullptr;
  Estimate best_estimate;
  for (const Candidate& candidate : view.candidates) {
    const Estimate estimate = profile.is_generation
                                  ? EstimateGeneration(profile, candidate, view, now)
                                  : EstimatePlain(candidate, view, now);
    if (best != nullptr && !candidate.is_trial && estimate.loss >= best_estimate.loss) {
      continue;
    }
    best = candidate.backend;
    best_estimate = estimate;
    if (!candidate.is_trial) continue;
    cold_.NoteAsked(best->key, now);
    break;
  }
  Placement placement;
  placement.backend = *best;
  if (best_estimate.fetch_from != nullptr) {
    placement.fetch_prefix_from = best_estimate.fetch_from->address;
    placement.fetch_prefix_key = best_estimate.fetch_from->key;
  }
  placement.expected_loss = best_estimate.loss;
  placement.prefill_ms = best_estimate.prefill_ms;
  placement.first_output_ms = best_estimate.first_output_ms;
  placement.held_tokens = best_estimate.held_tokens;
  placement.load = best_estimate.load;
  placement.candidates = static_cast<int64_t>(view.candidates.size());
  placement.rate_notices_known = now;
  SetSendDeadline(&placement, now);
  return placement;
}

}  // namespace cartsail
