#include "cartsail/dispatch/dispatcher.h"

#include <algorithm>
#include <set>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kWorkWindow = seconds(5);
constexpr size_t kMostDigestPrefixes = 64;
constexpr double kFullSlots = 0.9;  // share of its slots from which an engine counts as full
constexpr int64_t kLeastEventsForPause = 12;  // of a stream whose pace is measured
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

Dispatcher::Dispatcher(PlacementPolicy policy, std::string zone)
    : policy_(policy),
      zone_(std::move(zone)),
      prefixes_(policy.prefix_lifetime),
      work_(kWorkWindow),
      pools_(policy.partition) {}

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
  const double over = std::max(0.0, running - slots * kFullSlots);
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

std::optional<Placement> Dispatcher::Place(const RequestProfile& profile,
                                           const std::vector<std::string>& tried, TimePoint now,
                                           std::vector<BackendKey> connected) {
  std::vector<BackendKey> keys;
  keys.reserve(tried.size());
  for (const std::string& id : tried) keys.push_back(KeyOf(id));
  std::optional<Placement> placement =
      Choose({"", zone_, std::move(connected)}, profile, keys, now);
  if (placement.has_value()) Begin(profile, AttemptOrigin::kOwn, &*placement, now);
  return placement;
}

std::optional<Placement> Dispatcher::PlaceFor(const Requester& requester,
                                              const RequestProfile& profile,
                                              const std::vector<BackendKey>& tried, TimePoint now) {
  std::optional<Placement> placement = Choose(requester, profile, tried, now);
  if (placement.has_value()) Begin(profile, AttemptOrigin::kPeer, &*placement, now);
  return placement;
}

std::optional<Placement> Dispatcher::Adopt(const std::string& coordinator,
                                           const PlacementGrant& grant,
                                           const RequestProfile& profile, TimePoint now) {
  const Backend* backend = registry_.FindByKey(grant.backend);
  if (backend == nullptr || backend->state != BackendState::kReady) return std::nullopt;
  if (backend->service != profile.service) return std::nullopt;
  Placement placement;
  placement.backend = *backend;
  placement.placed_by = coordinator;
  const Backend* holder = registry_.FindByKey(grant.fetch_prefix_from);
  if (holder != nullptr) {
    placement.fetch_prefix_from = holder->address;
    placement.fetch_prefix_key = holder->key;
  }
  placement.cost_ms = grant.cost_ms;
  placement.reading_ms = grant.reading_ms;
  placement.first_output_ms = grant.first_output_ms;
  placement.held_tokens = grant.held_tokens;
  placement.candidates = grant.candidates;
  placement.load.requests = grant.load_requests;
  Begin(profile, AttemptOrigin::kOwn, &placement, now);
  return placement;
}

void Dispatcher::Begin(const RequestProfile& profile, AttemptOrigin origin, Placement* placement,
                       TimePoint now) {
  placement->ticket = next_ticket_++;
  Running running;
  running.backend = placement->backend.key;
  running.reading_ms = placement->reading_ms;
  running.even_stream = profile.is_generation && !IsPatient(profile);
  running.is_generation = profile.is_generation;
  running.origin = origin;
  running.placed_by = placement->placed_by;
  running.begun = now;
  running.expected_ms = placement->first_output_ms;
  loads_.Begin(running.backend, running.reading_ms, running.even_stream);
  // Peers tell of their own work in digests.
  if (profile.is_generation && origin == AttemptOrigin::kOwn) {
    work_.Note(profile.service, running.even_stream, running.reading_ms, now);
  }
  NotePrefixes(profile, running.backend, origin, now);
  for (size_t i = 0; i + 1 < profile.prompt_parts.size(); ++i) {
    running.shared_parts.push_back(profile.prompt_parts[i].id);
  }
  running_[placement->ticket] = std::move(running);
}

void Dispatcher::NotePrefixes(const RequestProfile& profile, BackendKey backend,
                              AttemptOrigin origin, TimePoint now) {
  // The last part is the request's own.
  for (size_t i = 0; i + 1 < profile.prompt_parts.size(); ++i) {
    const uint64_t part = profile.prompt_parts[i].id;
    prefixes_.Note(part, backend, now);
    const bool is_told =
        origin == AttemptOrigin::kOwn && new_prefixes_.size() < kMostDigestPrefixes;
    if (is_told) new_prefixes_.push_back({part, backend});
  }
}

void Dispatcher::Output(PlacementTicket ticket, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  Running& running = entry->second;
  running.last_output = now;
  if (running.outputs++ > 0) return;
  running.first_output = now;
  for (const uint64_t part : running.shared_parts) prefixes_.NoteRead(part, running.backend);
  loads_.FirstOutput(running.backend, running.reading_ms);
  health_.NotePace(running.backend, ToMillis(now - running.begun) / running.expected_ms);
}

double Dispatcher::MeanPauseMillis(PlacementTicket ticket) const {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return 0;
  const Running& running = entry->second;
  if (!running.is_generation || running.outputs < kLeastEventsForPause) return 0;
  const double span_ms = ToMillis(running.last_output - running.first_output);
  return span_ms / static_cast<double>(running.outputs - 1);
}

void Dispatcher::NotePause(PlacementTicket ticket, double pause_ms) {
  const auto entry = running_.find(ticket);
  if (entry != running_.end() && pause_ms > 0) health_.NotePause(entry->second.backend, pause_ms);
}

void Dispatcher::Drop(PlacementTicket ticket) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  const Running& running = entry->second;
  if (running.outputs == 0) loads_.FirstOutput(running.backend, running.reading_ms);
  loads_.End(running.backend, running.even_stream);
  running_.erase(entry);
}

void Dispatcher::Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  NotePause(ticket, MeanPauseMillis(ticket));
  const BackendKey backend = entry->second.backend;
  const AttemptOrigin origin = entry->second.origin;
  Drop(ticket);
  const Backend* known = registry_.FindByKey(backend);
  if (known == nullptr) return;
  health_.Note(backend, outcome, origin, now);
  if (outcome == AttemptOutcome::kWrongInstance) registry_.MarkLeaving(known->id);
}

void Dispatcher::RemoveMissing(TimePoint now) {
  if (registry_.RemoveMissing(now)) ForgetGone();
}

void Dispatcher::Tick(TimePoint now) {
  prefixes_.Expire(now);
  RemoveMissing(now);
}

void Dispatcher::ForgetGone() {
  for (const BackendKey backend : prefixes_.Backends()) {
    if (registry_.FindByKey(backend) == nullptr) prefixes_.Forget(backend);
  }
  health_.ForgetUnless(
      [this](BackendKey backend) { return registry_.FindByKey(backend) != nullptr; });
}

// Back ends without requests of this node are told of when they failed lately.
void Dispatcher::AddFailing(std::vector<BackendLoadEntry>* loads, TimePoint now) const {
  for (const BackendKey key : health_.FailingLately(now)) {
    const auto is_there = [key](const BackendLoadEntry& entry) { return entry.backend == key; };
    if (std::any_of(loads->begin(), loads->end(), is_there)) continue;
    BackendLoadEntry entry;
    entry.backend = key;
    loads->push_back(entry);
  }
}

std::vector<BackendLoadEntry> Dispatcher::OwnLoads(const std::string& without,
                                                   TimePoint now) const {
  std::unordered_map<BackendKey, BackendLoad> sums;
  for (const auto& [ticket, running] : running_) {
    if (running.origin != AttemptOrigin::kOwn) continue;
    if (!without.empty() && running.placed_by == without) continue;
    BackendLoad& sum = sums[running.backend];
    ++sum.requests;
    sum.even_streams += running.even_stream ? 1 : 0;
    sum.reading_ms += running.outputs == 0 ? running.reading_ms : 0;
  }
  std::vector<BackendLoadEntry> loads;
  loads.reserve(sums.size());
  for (const auto& [backend, load] : sums) loads.push_back({backend, load, 0});
  AddFailing(&loads, now);
  for (BackendLoadEntry& entry : loads) {
    entry.least_pause_ms = health_.LeastPause(entry.backend);
    const RecentAttempts recent = health_.Recent(entry.backend, AttemptOrigin::kOwn, now);
    entry.load.attempts = recent.attempts;
    entry.load.failures = recent.failures;
  }
  return loads;
}

std::vector<BackendLoadEntry> Dispatcher::LoadsFor(const std::string& coordinator,
                                                   TimePoint now) const {
  return OwnLoads(coordinator, now);
}

std::vector<std::string> Dispatcher::Coordinators() const {
  std::set<std::string> coordinators;
  for (const auto& [ticket, running] : running_) {
    if (!running.placed_by.empty()) coordinators.insert(running.placed_by);
  }
  return {coordinators.begin(), coordinators.end()};
}

DispatchDigest Dispatcher::TakeDigest(TimePoint now) {
  DispatchDigest digest;
  digest.loads = OwnLoads({}, now);
  digest.prefixes = std::move(new_prefixes_);
  new_prefixes_.clear();
  digest.leaving = registry_.Leaving();
  digest.work = work_.Own(now);
  return digest;
}

void Dispatcher::TellAgain(const std::vector<PrefixPlacement>& prefixes) {
  new_prefixes_.insert(new_prefixes_.end(), prefixes.begin(), prefixes.end());
}

void Dispatcher::ApplyDigest(std::string_view node, const DispatchDigest& digest, Duration lifetime,
                             TimePoint now) {
  loads_.SetPeer(node, digest.loads, now + lifetime);
  work_.SetPeer(node, digest.work, now + lifetime);
  for (const BackendLoadEntry& entry : digest.loads) {
    if (registry_.FindByKey(entry.backend) == nullptr) continue;
    health_.NotePeerPause(entry.backend, entry.least_pause_ms);
  }
  for (const PrefixPlacement& placed : digest.prefixes) {
    if (registry_.FindByKey(placed.backend) == nullptr) continue;
    prefixes_.Note(placed.part, placed.backend, now);
    prefixes_.NoteRead(placed.part, placed.backend);
  }
  for (const BackendKey key : digest.leaving) {
    const Backend* backend = registry_.FindByKey(key);
    if (backend != nullptr) registry_.MarkLeaving(backend->id);
  }
}

}  // namespace cartsail
