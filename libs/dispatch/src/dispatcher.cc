#include "cartsail/dispatch/dispatcher.h"

#include <algorithm>
#include <limits>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kWorkWindow = seconds(5);
constexpr size_t kMostDigestPrefixes = 64;
// An engine whose events follow each other that much slower than the fastest one's is kept for
// patient requests.
constexpr double kSlowEngineRatio = 1.15;
constexpr double kFullSlots = 0.9;  // share of its slots from which an engine counts as full
constexpr int64_t kLeastEventsForPause = 12;  // of a stream whose pace is measured
// A prompt that nobody holds goes to the engine that all nodes would choose for it, unless another
// one is better by this much.
constexpr double kHomeBonusMs = 60;

bool WasTried(const std::vector<std::string>& tried, const std::string& id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

bool Contains(const std::vector<const Backend*>& backends, const Backend* backend) {
  return std::find(backends.begin(), backends.end(), backend) != backends.end();
}

// The engines of a service in an order that all nodes agree on; the first ones serve urgent
// requests.
std::vector<const Backend*> InShareOrder(std::vector<const Backend*> backends,
                                         const BackendHealth& health) {
  const double fastest = health.FastestPause();
  const auto is_slow = [&health, fastest](const Backend* backend) {
    return health.LeastPause(backend->id) > fastest * kSlowEngineRatio;
  };
  std::sort(backends.begin(), backends.end(),
            [&is_slow](const Backend* left, const Backend* right) {
              const bool left_slow = is_slow(left);
              const bool right_slow = is_slow(right);
              if (left_slow != right_slow) return right_slow;
              return Hash64(left->id) < Hash64(right->id);
            });
  return backends;
}

// The part that names what a prompt is about: the last one that other requests share.
uint64_t SubjectOf(const RequestProfile& profile) {
  const size_t parts = profile.prompt_parts.size();
  if (parts == 0) return 0;
  return profile.prompt_parts[parts >= 2 ? parts - 2 : 0].id;
}

uint64_t HomeScore(uint64_t subject, const Backend& backend) { return Hash64(backend.id, subject); }

}  // namespace

Dispatcher::Dispatcher(PlacementPolicy policy, std::string zone)
    : policy_(policy),
      zone_(std::move(zone)),
      prefixes_(policy.prefix_lifetime),
      work_(kWorkWindow) {}

bool Dispatcher::IsPatient(const RequestProfile& profile) const {
  return profile.first_output_goal >= policy_.patient_goal;
}

double Dispatcher::ReadingMillis(int64_t held_tokens, int64_t prompt_tokens) const {
  const auto unread = static_cast<double>(std::max<int64_t>(prompt_tokens - held_tokens, 0));
  const double pairs = unread * (static_cast<double>(held_tokens) + unread / 2);
  return unread / policy_.read_tokens_per_ms + policy_.attention_ms_per_million * pairs / 1e6;
}

std::vector<const Backend*> Dispatcher::Usable(const RequestProfile& profile,
                                               const std::vector<std::string>& tried,
                                               TimePoint now) const {
  std::vector<const Backend*> usable;
  std::vector<const Backend*> suspended;
  for (const Backend* backend : registry_.ReadyOf(profile.service)) {
    if (WasTried(tried, backend->id)) continue;
    (health_.IsSuspended(backend->id, now) ? suspended : usable).push_back(backend);
  }
  return usable.empty() ? suspended : usable;
}

Dispatcher::Estimate Dispatcher::EstimatePlain(const Backend& backend, TimePoint now) const {
  Estimate estimate;
  estimate.load = loads_.Total(backend.key, now);
  const double slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  const double busy = static_cast<double>(estimate.load.requests) / slots;
  estimate.cost_ms = policy_.plain_request_ms * (1 + busy) * health_.Slowness(backend.id);
  if (backend.zone != zone_) estimate.cost_ms += policy_.other_zone_ms;
  estimate.cost_ms += policy_.failure_cost_ms * FailureShareOf(backend, estimate.load, now);
  return estimate;
}

// Of this node's attempts and those of its peers: `load` has the peers' only.
double Dispatcher::FailureShareOf(const Backend& backend, const BackendLoad& load,
                                  TimePoint now) const {
  RecentAttempts recent = health_.Recent(backend.id, now);
  recent.attempts += load.attempts;
  recent.failures += load.failures;
  return FailureShare(recent);
}

double Dispatcher::DisturbanceMillis(const BackendLoad& load, double reading_ms) const {
  if (reading_ms < policy_.disturbing_reading_ms) return 0;
  const int64_t streams = std::min(load.even_streams, policy_.most_streams_disturbed);
  return static_cast<double>(streams) * policy_.disturbed_stream_ms;
}

Dispatcher::GenerationView Dispatcher::ViewGeneration(const RequestProfile& profile,
                                                      const std::vector<const Backend*>& usable,
                                                      TimePoint now) {
  GenerationView view;
  view.patient = IsPatient(profile);
  view.urgent_engines = UrgentEngines(profile.service, now);
  for (const Backend* backend : registry_.ReadyOf(profile.service)) {
    const int64_t held = prefixes_.HeldTokens(profile.prompt_parts, backend->key, now);
    if (held <= view.holder_tokens || health_.IsSuspended(backend->id, now)) continue;
    view.holder = backend;
    view.holder_tokens = held;
  }
  const uint64_t subject = SubjectOf(profile);
  uint64_t best_score = 0;
  for (const Backend* backend : usable) {
    if (Contains(view.urgent_engines, backend) == view.patient) continue;
    const uint64_t score = HomeScore(subject, *backend);
    if (view.home != nullptr && score <= best_score) continue;
    view.home = backend;
    best_score = score;
  }
  return view;
}

// What the prompt costs at `backend`: the time to read what no engine hands over, and the price of
// what is moved or read again.
Dispatcher::Estimate Dispatcher::EstimatePrompt(const RequestProfile& profile,
                                                const Backend& backend, const GenerationView& view,
                                                TimePoint now) const {
  Estimate estimate;
  estimate.held_tokens = prefixes_.HeldTokens(profile.prompt_parts, backend.key, now);
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
  estimate.reading_ms = ReadingMillis(held, profile.prompt_tokens);
  return estimate;
}

Dispatcher::Estimate Dispatcher::EstimateGeneration(const RequestProfile& profile,
                                                    const Backend& backend,
                                                    const GenerationView& view,
                                                    TimePoint now) const {
  Estimate estimate = EstimatePrompt(profile, backend, view, now);
  estimate.load = loads_.Total(backend.key, now);
  const auto running = static_cast<double>(estimate.load.requests);
  const auto slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  const double over = std::max(0.0, running - slots * kFullSlots);
  const double time_ms = estimate.load.reading_ms + estimate.reading_ms +
                         running * policy_.stream_cost_ms + over * policy_.over_full_ms;
  estimate.cost_ms += time_ms * health_.Slowness(backend.id);
  estimate.cost_ms += DisturbanceMillis(estimate.load, estimate.reading_ms);
  const bool for_urgent = Contains(view.urgent_engines, &backend);
  if (view.patient && for_urgent) estimate.cost_ms += policy_.patient_elsewhere_ms;
  if (!view.patient && !for_urgent) estimate.cost_ms += policy_.urgent_elsewhere_ms;
  if (backend.zone != zone_) estimate.cost_ms += policy_.other_zone_ms;
  estimate.cost_ms += policy_.failure_cost_ms * FailureShareOf(backend, estimate.load, now);
  if (&backend == view.home) estimate.cost_ms -= kHomeBonusMs;
  return estimate;
}

std::vector<const Backend*> Dispatcher::UrgentEngines(const std::string& service, TimePoint now) {
  std::vector<const Backend*> engines = InShareOrder(registry_.ReadyOf(service), health_);
  const ServiceWork rates = work_.Total(service, now);
  EngineWork work;
  work.urgent_ms_per_s = rates.urgent_ms_per_s;
  work.patient_ms_per_s = rates.patient_ms_per_s;
  for (const Backend* engine : engines) {
    const BackendLoad load = loads_.Total(engine->key, now);
    work.urgent_streams += static_cast<double>(load.even_streams);
    work.patient_streams += static_cast<double>(load.requests - load.even_streams);
    work.slots = std::max(work.slots, static_cast<double>(engine->slots));
  }
  const auto total = static_cast<int64_t>(engines.size());
  const double wanted = WantedUrgentEngines(policy_.partition, work, total);
  const int64_t count = urgent_targets_[service].Update(wanted, total);
  engines.resize(static_cast<size_t>(count));
  return engines;
}

std::optional<Placement> Dispatcher::Place(const RequestProfile& profile,
                                           const std::vector<std::string>& tried, TimePoint now) {
  const std::vector<const Backend*> usable = Usable(profile, tried, now);
  if (usable.empty()) return std::nullopt;

  GenerationView view;
  if (profile.is_generation) view = ViewGeneration(profile, usable, now);
  const Backend* best = nullptr;
  Estimate best_estimate;
  for (const Backend* backend : usable) {
    const Estimate estimate = profile.is_generation
                                  ? EstimateGeneration(profile, *backend, view, now)
                                  : EstimatePlain(*backend, now);
    if (best != nullptr && estimate.cost_ms >= best_estimate.cost_ms) continue;
    best = backend;
    best_estimate = estimate;
  }
  Placement placement = Begin(profile, *best, best_estimate, now);
  placement.candidates = static_cast<int64_t>(usable.size());
  return placement;
}

Placement Dispatcher::Begin(const RequestProfile& profile, const Backend& backend,
                            const Estimate& estimate, TimePoint now) {
  Placement placement;
  placement.ticket = next_ticket_++;
  placement.backend = backend;
  if (estimate.fetch_from != nullptr) placement.fetch_prefix_from = estimate.fetch_from->address;
  placement.cost_ms = estimate.cost_ms;
  placement.held_tokens = estimate.held_tokens;
  placement.load = estimate.load;

  Running running;
  running.backend = backend.id;
  running.key = backend.key;
  running.reading_ms = estimate.reading_ms;
  running.even_stream = profile.is_generation && !IsPatient(profile);
  running.is_generation = profile.is_generation;
  running.begun = now;
  running.expected_ms = profile.is_generation ? estimate.load.reading_ms + estimate.reading_ms + 20
                                              : policy_.plain_request_ms;
  loads_.Begin(backend.key, running.reading_ms, running.even_stream);
  if (profile.is_generation) {
    work_.Note(profile.service, running.even_stream, running.reading_ms, now);
  }
  placement.first_output_ms = running.expected_ms;
  running_[placement.ticket] = running;

  for (size_t i = 0; i + 1 < profile.prompt_parts.size(); ++i) {
    const uint64_t part = profile.prompt_parts[i].id;
    prefixes_.Note(part, backend.key, now);
    if (new_prefixes_.size() < kMostDigestPrefixes) new_prefixes_.push_back({part, backend.key});
  }
  return placement;
}

void Dispatcher::Output(PlacementTicket ticket, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  Running& running = entry->second;
  running.last_output = now;
  if (running.outputs++ > 0) return;
  running.first_output = now;
  loads_.FirstOutput(running.key, running.reading_ms);
  health_.NotePace(running.backend, ToMillis(now - running.begun) / running.expected_ms);
}

void Dispatcher::Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  const Running running = entry->second;
  running_.erase(entry);
  if (running.outputs == 0) loads_.FirstOutput(running.key, running.reading_ms);
  loads_.End(running.key, running.even_stream);
  if (registry_.Find(running.backend) == nullptr) return;
  health_.Note(running.backend, outcome, now);
  if (running.is_generation && running.outputs >= kLeastEventsForPause) {
    const double span_ms = ToMillis(running.last_output - running.first_output);
    health_.NotePause(running.backend, span_ms / static_cast<double>(running.outputs - 1));
  }
  if (outcome == AttemptOutcome::kWrongInstance) registry_.MarkLeaving(running.backend);
}

void Dispatcher::ForgetGone() {
  for (const BackendKey backend : prefixes_.Backends()) {
    if (registry_.FindByKey(backend) == nullptr) prefixes_.Forget(backend);
  }
  health_.ForgetUnless([this](const std::string& id) { return registry_.Find(id) != nullptr; });
}

// Back ends without requests of this node are told of when they failed lately.
void Dispatcher::AddFailing(std::vector<BackendLoadEntry>* loads, TimePoint now) const {
  for (const std::string& id : health_.FailingLately(now)) {
    const BackendKey key = KeyOf(id);
    const auto is_there = [key](const BackendLoadEntry& entry) { return entry.backend == key; };
    if (std::any_of(loads->begin(), loads->end(), is_there)) continue;
    BackendLoadEntry entry;
    entry.backend = key;
    loads->push_back(entry);
  }
}

DispatchDigest Dispatcher::TakeDigest(TimePoint now) {
  DispatchDigest digest;
  digest.loads = loads_.OwnLoads();
  AddFailing(&digest.loads, now);
  for (BackendLoadEntry& entry : digest.loads) {
    const Backend* backend = registry_.FindByKey(entry.backend);
    if (backend == nullptr) continue;
    entry.least_pause_ms = health_.LeastPause(backend->id);
    const RecentAttempts recent = health_.Recent(backend->id, now);
    entry.load.attempts = recent.attempts;
    entry.load.failures = recent.failures;
  }
  digest.prefixes = std::move(new_prefixes_);
  new_prefixes_.clear();
  digest.leaving = registry_.Leaving();
  digest.work = work_.Own(now);
  return digest;
}

void Dispatcher::ApplyDigest(std::string_view node, const DispatchDigest& digest, Duration lifetime,
                             TimePoint now) {
  loads_.SetPeer(node, digest.loads, now + lifetime);
  work_.SetPeer(node, digest.work, now + lifetime);
  for (const BackendLoadEntry& entry : digest.loads) {
    const Backend* backend = registry_.FindByKey(entry.backend);
    if (backend != nullptr) health_.NotePeerPause(backend->id, entry.least_pause_ms);
  }
  for (const PrefixPlacement& placed : digest.prefixes) {
    if (registry_.FindByKey(placed.backend) == nullptr) continue;
    prefixes_.Note(placed.part, placed.backend, now);
  }
  for (const BackendKey key : digest.leaving) {
    const Backend* backend = registry_.FindByKey(key);
    if (backend != nullptr) registry_.MarkLeaving(backend->id);
  }
}

}  // namespace cartsail
