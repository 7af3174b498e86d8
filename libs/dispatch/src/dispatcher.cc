#include "cartsail/dispatch/dispatcher.h"

#include <algorithm>
#include <set>

namespace cartsail {
namespace {

constexpr Duration kWorkWindow = seconds(5);
constexpr size_t kMaxDigestPrefixes = 64;
constexpr int64_t kMinEventsForPause = 12;  // fewest events of a stream that give a mean pause

// True if the back end has sent a complete answer.
bool HasAnswered(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kFailedAnswer ||
         outcome == AttemptOutcome::kRefused || outcome == AttemptOutcome::kWrongInstance;
}

}  // namespace

Dispatcher::Dispatcher(PlacementPolicy policy, std::string zone, RegionMap regions, uint32_t seed)
    : policy_(policy),
      zone_(std::move(zone)),
      registry_(std::move(regions)),
      run_times_(policy.stream_life),
      prefixes_(policy.prefix_lifetime),
      work_(kWorkWindow),
      pools_(policy.partition),
      draws_(seed) {}

std::optional<Placement> Dispatcher::Place(const RequestProfile& profile,
                                           const std::vector<BackendKey>& tried, TimePoint now,
                                           std::vector<BackendKey> connected,
                                           const GrantAuthority& authority) {
  std::optional<Placement> placement = Choose({"", zone_, std::move(connected)}, profile,
                                              ExcludedFor(profile, tried, now), now, authority);
  if (placement.has_value()) Begin(profile, AttemptOrigin::kOwn, &*placement, now);
  return placement;
}

std::optional<Placement> Dispatcher::PlaceFor(const Requester& requester,
                                              const RequestProfile& profile,
                                              const std::vector<BackendKey>& tried, TimePoint now,
                                              const GrantAuthority& authority) {
  std::optional<Placement> placement = Choose(requester, profile, tried, now, authority);
  if (placement.has_value()) Begin(profile, AttemptOrigin::kPeer, &*placement, now);
  return placement;
}

std::optional<Placement> Dispatcher::Adopt(const std::string& coordinator,
                                           const PlacementGrant& grant,
                                           const RequestProfile& profile,
                                           TimePoint rate_notices_known, TimePoint now) {
  const Backend* backend = registry_.FindByKey(grant.backend);
  if (backend == nullptr) return std::nullopt;
  // The coordinator may have another routing document in force.
  const RegionSet allowed = registry_.Regions().AllowedFor(profile);
  if (!registry_.MayReceive(*backend, allowed, now)) return std::nullopt;
  if (backend->service != profile.service) return std::nullopt;
  // Coordinators of earlier builds ignore the version.
  if (!MatchesVersion(profile, *backend)) return std::nullopt;
  const bool unknown_to_coordinator =
      IsReportedCold(*backend, now) || HasLaterRateLimit(backend->key, rate_notices_known);
  if (!grant.is_metered && unknown_to_coordinator) return std::nullopt;
  Placement placement;
  placement.rate_notices_known = rate_notices_known;
  placement.backend = *backend;
  placement.placed_by = coordinator;
  const Backend* holder = registry_.FindByKey(grant.fetch_prefix_from);
  if (holder != nullptr && MayShareMemory(*holder, *backend)) {
    placement.fetch_prefix_from = holder->address;
    placement.fetch_prefix_key = holder->key;
  }
  placement.expected_loss = grant.expected_loss;
  placement.prefill_ms = grant.prefill_ms;
  placement.first_output_ms = grant.first_output_ms;
  placement.held_tokens = grant.held_tokens;
  placement.candidates = grant.candidates;
  placement.load.requests = grant.load_requests;
  Begin(profile, AttemptOrigin::kOwn, &placement, now);
  return placement;
}

bool Dispatcher::MayReceive(BackendKey backend, const RequestProfile& profile,
                            TimePoint now) const {
  const Backend* known = registry_.FindByKey(backend);
  if (known == nullptr || !MatchesVersion(profile, *known)) return false;
  return registry_.MayReceive(*known, registry_.Regions().AllowedFor(profile), now);
}

NoticeChange Dispatcher::NoteNotice(BackendKey backend, const BackendNotice& notice,
                                    TimePoint now) {
  NoticeChange change;
  const NoticeTime told{now, notice.told};
  if (notice.leaving) change.leaves = registry_.MarkLeaving(backend, told);
  if (notice.backoff.has_value()) {
    change.backs_off = registry_.NoteBackoff(backend, *notice.backoff, told);
  }
  return change;
}

std::vector<BackendKey> Dispatcher::ExcludedFor(const RequestProfile& profile,
                                                const std::vector<BackendKey>& tried,
                                                TimePoint now) const {
  std::vector<BackendKey> excluded = tried;
  const std::vector<BackendKey> backing_off = registry_.BackingOffFrom(profile.service, now);
  excluded.insert(excluded.end(), backing_off.begin(), backing_off.end());
  return excluded;
}

Dispatcher::Backoffs Dispatcher::BackoffsFor(const RequestProfile& profile, TimePoint now) {
  Backoffs backoffs;
  if (registry_.BackingOffFrom(profile.service, now).empty()) return backoffs;
  const RegionSet allowed = registry_.Regions().AllowedFor(profile);
  const ServicePools::Inputs inputs{registry_, pauses_, loads_, work_};
  bool any_without_backoff = false;
  for (const PoolMember& member : pools_.Of(profile.service, inputs, now).Members()) {
    const Backend* backend = registry_.FindOpen(member.key);
    if (backend == nullptr || !allowed.Allows(backend->region)) continue;
    if (!MatchesVersion(profile, *backend)) continue;
    const std::optional<Duration> left = registry_.BackoffLeft(member.key, now);
    any_without_backoff = any_without_backoff || !left.has_value();
    if (left.has_value()) backoffs.shortest = std::min(backoffs.shortest.value_or(*left), *left);
  }
  backoffs.all = backoffs.shortest.has_value() && !any_without_backoff;
  return backoffs;
}

size_t Dispatcher::ReadyFor(const RequestProfile& profile, TimePoint now,
                            const std::vector<BackendKey>& excluded) {
  const RegionSet allowed = registry_.Regions().AllowedFor(profile);
  const ServicePools::Inputs inputs{registry_, pauses_, loads_, work_};
  const std::vector<PoolMember>& members = pools_.Of(profile.service, inputs, now).Members();
  const auto is_allowed = [&](const PoolMember& member) {
    const Backend* backend = registry_.FindOpen(member.key);
    return backend != nullptr && allowed.Allows(backend->region) &&
           MatchesVersion(profile, *backend) &&
           std::find(excluded.begin(), excluded.end(), member.key) == excluded.end();
  };
  return static_cast<size_t>(std::count_if(members.begin(), members.end(), is_allowed));
}

void Dispatcher::Begin(const RequestProfile& profile, AttemptOrigin origin, Placement* placement,
                       TimePoint now) {
  placement->ticket = next_ticket_++;
  grants_.NoteGrant(placement->backend.key, now);
  Running running;
  running.backend = placement->backend.key;
  running.prefill_ms = placement->prefill_ms;
  running.is_light =
      profile.is_generation &&
      !IsDisturbing(running.backend, running.prefill_ms * SlownessOf(running.backend, now));
  running.is_generation = profile.is_generation;
  running.origin = origin;
  running.placed_by = placement->placed_by;
  running.begun = now;
  running.expected_ms = placement->first_output_ms;
  running.service = profile.service;
  if (profile.is_generation) BeginPrompt(profile, &running, now);
  loads_.Begin(running.backend, running.prefill_ms, running.is_light);
  // Peers report their own work in digests.
  if (profile.is_generation && origin == AttemptOrigin::kOwn) {
    work_.Note(profile.service, running.is_light, running.prefill_ms, now);
  }
  NotePrefixes(profile, running.backend, origin, now);
  for (size_t i = 0; i + 1 < profile.prompt_parts.size(); ++i) {
    running.shared_parts.push_back(profile.prompt_parts[i].id);
  }
  running_[placement->ticket] = std::move(running);
}

// Accounts for the prompt's effect on the streams that run at the back end, and adds the request's
// own stream to them.
void Dispatcher::BeginPrompt(const RequestProfile& profile, Running* running, TimePoint now) {
  const BackendKey backend = running->backend;
  const double before_ms = BacklogMillis(backend, now);
  running->backlog_ms = running->prefill_ms * SlownessOf(backend, now);
  backlog_.Add(backend, running->backlog_ms, now);
  for (const Duration bound : risk_.Bounds()) {
    const double chance = PauseBreakProbability(backend, before_ms, running->backlog_ms, bound);
    risk_.NotePrompt(backend, bound, chance, now);
  }
  running->pause_bound = profile.longest_pause.value_or(Duration(0));
  running->risk = risk_.Begin(backend, running->pause_bound);
}

void Dispatcher::NotePrefixes(const RequestProfile& profile, BackendKey backend,
                              AttemptOrigin origin, TimePoint now) {
  // The last part belongs to this request only.
  for (size_t i = 0; i + 1 < profile.prompt_parts.size(); ++i) {
    const uint64_t part = profile.prompt_parts[i].id;
    prefixes_.Note(part, backend, now);
    const bool is_reported =
        origin == AttemptOrigin::kOwn && new_prefixes_.size() < kMaxDigestPrefixes;
    if (is_reported) new_prefixes_.push_back({part, backend});
  }
}

void Dispatcher::Output(PlacementTicket ticket, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  Running& running = entry->second;
  if (running.outputs++ > 0) {
    running.longest_pause = std::max(running.longest_pause, now - running.last_output);
    running.last_output = now;
    return;
  }
  running.last_output = now;
  running.first_output = now;
  backlog_.Answered(running.backend, running.backlog_ms, now);
  for (const uint64_t part : running.shared_parts) prefixes_.NoteRead(part, running.backend);
  loads_.FirstOutput(running.backend, running.prefill_ms);
  const Backend* known = registry_.FindByKey(running.backend);
  if (known != nullptr) cold_.NoteOutcome(*known, AttemptOutcome::kAnswered, running.begun, now);
  health_.NotePace(running.backend, ToMillis(now - running.begun) / running.expected_ms, now);
}

StreamPauses Dispatcher::PausesOf(PlacementTicket ticket) const {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return {};
  const Running& running = entry->second;
  if (!running.is_generation || running.outputs < 2) return {};
  StreamPauses pauses;
  pauses.longest_ms = ToMillis(running.longest_pause);
  if (running.outputs < kMinEventsForPause) return pauses;
  const double span_ms = ToMillis(running.last_output - running.first_output);
  pauses.mean_ms = span_ms / static_cast<double>(running.outputs - 1);
  return pauses;
}

void Dispatcher::NotePauses(PlacementTicket ticket, const StreamPauses& pauses, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  const Running& running = entry->second;
  if (!running.is_generation || running.outputs == 0) return;
  const double backlog_ms = backlog_.PeakMillisBetween(running.backend, running.first_output, now);
  pauses_.Note(running.backend, pauses, backlog_ms);
}

void Dispatcher::Drop(PlacementTicket ticket, TimePoint now) { End(ticket, false, now); }

void Dispatcher::End(PlacementTicket ticket, bool has_answered, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  const Running& running = entry->second;
  if (running.outputs == 0) {
    loads_.FirstOutput(running.backend, running.prefill_ms);
    RemoveFromBacklog(running, has_answered, now);
  }
  risk_.End(running.backend, running.risk);
  loads_.End(running.backend, running.is_light);
  running_.erase(entry);
}

void Dispatcher::RemoveFromBacklog(const Running& running, bool has_answered, TimePoint now) {
  if (has_answered) {
    backlog_.Answered(running.backend, running.backlog_ms, now);
  } else {
    backlog_.Remove(running.backend, running.backlog_ms, now);
  }
}

void Dispatcher::Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now) {
  const auto entry = running_.find(ticket);
  if (entry == running_.end()) return;
  const Running& running = entry->second;
  const BackendKey backend = running.backend;
  const AttemptOrigin origin = running.origin;
  const TimePoint begun = running.begun;
  if (origin == AttemptOrigin::kOwn) NotePauses(ticket, PausesOf(ticket), now);
  if (outcome == AttemptOutcome::kAnswered && running.outputs > 0) {
    run_times_.Note(running.service, running.pause_bound, now - running.first_output);
  }
  End(ticket, HasAnswered(outcome), now);
  const Backend* known = registry_.FindByKey(backend);
  if (known == nullptr) return;
  health_.Note(backend, outcome, origin, now);
  cold_.NoteOutcome(*known, outcome, begun, now);
  if (outcome == AttemptOutcome::kRefused) brittle_.NoteRejection(backend, now);
  if (outcome == AttemptOutcome::kWrongInstance) registry_.MarkLeaving(backend);
}

void Dispatcher::NoteHeld(BackendKey backend, const std::vector<PromptPart>& parts, TimePoint now) {
  if (registry_.FindByKey(backend) == nullptr) return;
  for (const PromptPart& part : parts) {
    prefixes_.Note(part.id, backend, now);
    prefixes_.NoteRead(part.id, backend);
  }
}

void Dispatcher::RemoveMissing(TimePoint now) {
  if (registry_.RemoveMissing(now)) ForgetRemovedBackends();
}

void Dispatcher::Tick(TimePoint now) {
  prefixes_.Expire(now);
  cold_.Expire(now);
  grants_.Expire(now);
  brittle_.Expire(now);
  registry_.ExpireNotices(now);
  RemoveMissing(now);
}

void Dispatcher::ForgetRemovedBackends() {
  const auto is_known = [this](BackendKey backend) {
    return registry_.FindByKey(backend) != nullptr;
  };
  prefixes_.ForgetUnless(is_known);
  health_.ForgetUnless(is_known);
  pauses_.ForgetUnless(is_known);
  risk_.ForgetUnless(is_known);
  backlog_.ForgetUnless(is_known);
}

// Adds entries for back ends without requests of this node at which attempts failed recently.
void Dispatcher::AddFailing(std::vector<BackendLoadEntry>* loads, TimePoint now) const {
  for (const BackendKey key : health_.RecentlyFailing(now)) {
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
    sum.light_requests += running.is_light ? 1 : 0;
    sum.prefill_ms += running.outputs == 0 ? running.prefill_ms : 0;
  }
  std::vector<BackendLoadEntry> loads;
  loads.reserve(sums.size());
  for (const auto& [backend, load] : sums) loads.push_back({backend, load, 0});
  AddFailing(&loads, now);
  for (BackendLoadEntry& entry : loads) {
    entry.least_pause_ms = pauses_.BasePause(entry.backend);
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

void Dispatcher::RequeuePrefixes(const std::vector<PrefixPlacement>& prefixes) {
  new_prefixes_.insert(new_prefixes_.end(), prefixes.begin(), prefixes.end());
}

void Dispatcher::ApplyDigest(std::string_view node, const DispatchDigest& digest, Duration lifetime,
                             TimePoint now) {
  loads_.SetPeer(node, digest.loads, now + lifetime);
  work_.SetPeer(node, digest.work, now + lifetime);
  for (const BackendLoadEntry& entry : digest.loads) {
    if (registry_.FindByKey(entry.backend) == nullptr) continue;
    pauses_.NotePeerBase(entry.backend, entry.least_pause_ms);
  }
  for (const PrefixPlacement& placed : digest.prefixes) {
    if (registry_.FindByKey(placed.backend) == nullptr) continue;
    prefixes_.Note(placed.part, placed.backend, now);
    prefixes_.NoteRead(placed.part, placed.backend);
  }
  for (const BackendKey key : digest.leaving) registry_.MarkLeaving(key);
}

}  // namespace cartsail
