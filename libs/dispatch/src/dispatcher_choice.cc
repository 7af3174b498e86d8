// How the dispatcher weighs back ends against each other for one request.
#include <algorithm>

#include "cartsail/base/hash.h"
#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {
namespace {

constexpr double kFullSlots = 0.9;  // share of its slots from which an engine counts as full
// A prompt whose subject nobody is known to hold goes to the engine that every coordinator would
// choose for it, unless another one is better by this much: it may hold it from before.
constexpr double kHomeBonusMsPerToken = 0.05;
constexpr double kMostHomeBonusMs = 100;
constexpr double kSendingMs = 20;  // from the choice to the first output beside reading the prompt

bool Contains(const std::vector<BackendKey>& keys, BackendKey key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

// The part that names what a prompt is about: the last one that other requests share.
uint64_t SubjectOf(const RequestProfile& profile) {
  const size_t parts = profile.prompt_parts.size();
  if (parts == 0) return 0;
  return profile.prompt_parts[parts >= 2 ? parts - 2 : 0].id;
}

// Tokens up to and with that part.
int64_t SubjectTokens(const RequestProfile& profile) {
  int64_t tokens = 0;
  for (size_t i = 0; i + 1 < profile.prompt_parts.size(); ++i) {
    tokens += profile.prompt_parts[i].tokens;
  }
  return tokens;
}

uint64_t HomeScore(uint64_t subject, const Backend& backend) { return Hash64(backend.id, subject); }

}  // namespace

bool Dispatcher::IsPatient(const RequestProfile& profile) const {
  return profile.first_output_goal >= policy_.patient_goal;
}

double Dispatcher::ReadingMillis(int64_t held_tokens, int64_t prompt_tokens) const {
  const auto unread = static_cast<double>(std::max<int64_t>(prompt_tokens - held_tokens, 0));
  const double pairs = unread * (static_cast<double>(held_tokens) + unread / 2);
  return unread / policy_.read_tokens_per_ms + policy_.attention_ms_per_million * pairs / 1e6;
}

// Peers' attempts are told in digests; a coordinator has followed them itself.
double Dispatcher::FailureShareOf(BackendKey backend, TimePoint now) const {
  const RecentAttempts own = health_.Recent(backend, AttemptOrigin::kOwn, now);
  const RecentAttempts followed = health_.Recent(backend, AttemptOrigin::kPeer, now);
  const BackendLoad told = loads_.OfPeers(backend);
  const RecentAttempts of_peers =
      followed.attempts > told.attempts ? followed : RecentAttempts{told.attempts, told.failures};
  return FailureShare({own.attempts + of_peers.attempts, own.failures + of_peers.failures});
}

double Dispatcher::DisturbanceMillis(const BackendLoad& load, double reading_ms) const {
  if (reading_ms < policy_.disturbing_reading_ms) return 0;
  const int64_t streams = std::min(load.even_streams, policy_.most_streams_disturbed);
  return static_cast<double>(streams) * policy_.disturbed_stream_ms;
}

// What it costs to reach the back end.
double Dispatcher::WayMillis(const Backend& backend, const Requester& requester) const {
  const double zone_ms = backend.zone == requester.zone ? 0 : policy_.other_zone_ms;
  const bool connected = Contains(requester.connected, backend.key);
  return zone_ms + (connected ? 0 : policy_.new_connection_ms);
}

Dispatcher::PlacementView Dispatcher::View(const RequestProfile& profile,
                                           const std::vector<BackendKey>& tried, TimePoint now) {
  loads_.ExpirePeers(now);
  RemoveMissing(now);
  const ServicePools::Inputs inputs{registry_, health_, loads_, work_};
  const std::vector<PoolMember>& members = pools_.Of(profile.service, inputs, now);
  PlacementView view;
  view.patient = IsPatient(profile);
  std::vector<Candidate> suspended;
  for (const PoolMember& member : members) {
    const BackendKey key = member.backend->key;
    if (Contains(tried, key)) continue;
    const Candidate candidate{member.backend, member.for_urgent, 0};
    (health_.IsSuspended(key, now) ? suspended : view.candidates).push_back(candidate);
  }
  if (view.candidates.empty()) view.candidates = std::move(suspended);
  if (!profile.is_generation) return view;
  for (Candidate& candidate : view.candidates) {
    candidate.held_tokens = prefixes_.HeldTokens(profile.prompt_parts, candidate.backend->key, now);
  }
  FindHolder(profile, members, now, &view);
  FindHome(profile, &view);
  return view;
}

// Also engines that were tried may hand their memory over.
void Dispatcher::FindHolder(const RequestProfile& profile, const std::vector<PoolMember>& members,
                            TimePoint now, PlacementView* view) const {
  for (const PoolMember& member : members) {
    const BackendKey key = member.backend->key;
    if (health_.IsSuspended(key, now)) continue;
    const int64_t known = prefixes_.HeldTokens(profile.prompt_parts, key, now);
    view->known_tokens = std::max(view->known_tokens, known);
    const int64_t held = prefixes_.ReadTokens(profile.prompt_parts, key, now);
    if (held <= view->holder_tokens) continue;
    view->holder = member.backend;
    view->holder_tokens = held;
  }
}

void Dispatcher::FindHome(const RequestProfile& profile, PlacementView* view) const {
  if (view->known_tokens >= SubjectTokens(profile)) return;
  const uint64_t subject = SubjectOf(profile);
  uint64_t best_score = 0;
  for (const Candidate& candidate : view->candidates) {
    if (candidate.for_urgent == view->patient) continue;
    const uint64_t score = HomeScore(subject, *candidate.backend);
    if (view->home != nullptr && score <= best_score) continue;
    view->home = candidate.backend;
    best_score = score;
  }
}

Dispatcher::Estimate Dispatcher::EstimatePlain(const Candidate& candidate,
                                               const PlacementView& view, TimePoint now) const {
  const Backend& backend = *candidate.backend;
  Estimate estimate;
  estimate.load = loads_.Total(backend.key);
  const double slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  const double busy = static_cast<double>(estimate.load.requests) / slots;
  estimate.cost_ms = policy_.plain_request_ms * (1 + busy) * health_.Slowness(backend.key);
  estimate.cost_ms += WayMillis(backend, *view.requester);
  estimate.cost_ms += policy_.failure_cost_ms * FailureShareOf(backend.key, now);
  return estimate;
}

// What the prompt costs at the candidate: the time to read what no engine hands over, and the
// price of what is moved or read again.
Dispatcher::Estimate Dispatcher::EstimatePrompt(const RequestProfile& profile,
                                                const Candidate& candidate,
                                                const PlacementView& view) const {
  Estimate estimate;
  estimate.held_tokens = candidate.held_tokens;
  int64_t held = estimate.held_tokens;
  const int64_t missing = view.holder_tokens - held;
  if (missing > 0) {
    const auto tokens = static_cast<double>(missing);
    if (profile.bytes_per_token > 0) {
      estimate.fetch_from = view.holder;
      estimate.cost_ms = tokens * policy_.move_price_ms + policy_.move_setup_ms +
                         tokens / policy_.move_tokens_per_ms;
      held = view.holder_tokens;
    } else {
      estimate.cost_ms = tokens * policy_.reread_price_ms;
    }
  }
  // What another engine is still reading can't be had from there.
  const int64_t read_twice = view.known_tokens - held;
  if (read_twice > 0) estimate.cost_ms += static_cast<double>(read_twice) * policy_.reread_price_ms;
  estimate.reading_ms = ReadingMillis(held, profile.prompt_tokens);
  return estimate;
}

Dispatcher::Estimate Dispatcher::EstimateGeneration(const RequestProfile& profile,
                                                    const Candidate& candidate,
                                                    const PlacementView& view,
                                                    TimePoint now) const {
  const Backend& backend = *candidate.backend;
  Estimate estimate = EstimatePrompt(profile, candidate, view);
  estimate.load = loads_.Total(backend.key);
  const auto running = static_cast<double>(estimate.load.requests);
  const auto slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  // This request included.
  const double over = std::max(0.0, running + 1 - slots * kFullSlots);
  const double time_ms = estimate.load.reading_ms + estimate.reading_ms +
                         running * policy_.stream_cost_ms + over * policy_.over_full_ms;
  estimate.cost_ms += time_ms * health_.Slowness(backend.key);
  estimate.cost_ms += DisturbanceMillis(estimate.load, estimate.reading_ms);
  if (view.patient && candidate.for_urgent) estimate.cost_ms += policy_.patient_elsewhere_ms;
  if (!view.patient && !candidate.for_urgent) estimate.cost_ms += policy_.urgent_elsewhere_ms;
  estimate.cost_ms += WayMillis(backend, *view.requester);
  estimate.cost_ms += policy_.failure_cost_ms * FailureShareOf(backend.key, now);
  if (&backend == view.home) {
    const auto tokens = static_cast<double>(SubjectTokens(profile));
    estimate.cost_ms -= std::min(tokens * kHomeBonusMsPerToken, kMostHomeBonusMs);
  }
  return estimate;
}

std::optional<Placement> Dispatcher::Choose(const Requester& requester,
                                            const RequestProfile& profile,
                                            const std::vector<BackendKey>& tried, TimePoint now) {
  PlacementView view = View(profile, tried, now);
  if (view.candidates.empty()) return std::nullopt;
  view.requester = &requester;

  const Backend* best = nullptr;
  Estimate best_estimate;
  for (const Candidate& candidate : view.candidates) {
    const Estimate estimate = profile.is_generation
                                  ? EstimateGeneration(profile, candidate, view, now)
                                  : EstimatePlain(candidate, view, now);
    if (best != nullptr && estimate.cost_ms >= best_estimate.cost_ms) continue;
    best = candidate.backend;
    best_estimate = estimate;
  }
  Placement placement;
  placement.backend = *best;
  if (best_estimate.fetch_from != nullptr) {
    placement.fetch_prefix_from = best_estimate.fetch_from->address;
    placement.fetch_prefix_key = best_estimate.fetch_from->key;
  }
  placement.cost_ms = best_estimate.cost_ms;
  placement.reading_ms = best_estimate.reading_ms;
  placement.first_output_ms =
      profile.is_generation ? best_estimate.load.reading_ms + best_estimate.reading_ms + kSendingMs
                            : policy_.plain_request_ms;
  placement.held_tokens = best_estimate.held_tokens;
  placement.load = best_estimate.load;
  placement.candidates = static_cast<int64_t>(view.candidates.size());
  return placement;
}

}  // namespace cartsail
