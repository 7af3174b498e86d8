#include "cartsail/scheduler/engine_selector.h"

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

// Stands in for a measured release rate before an engine has finished anything.
constexpr double kUnknownReleaseRate = 2.0;
constexpr int kUnknownWindow = 16;

}  // namespace

void EngineSelector::SetEngines(const std::vector<EngineInfo>& engines) {
  std::unordered_map<std::string, Engine> next;
  by_model_.clear();
  for (const EngineInfo& info : engines) {
    Engine engine;
    const auto known = engines_.find(info.id);
    if (known != engines_.end()) engine = known->second;
    engine.info = info;
    next.emplace(info.id, std::move(engine));
    by_model_[info.model].push_back(info.id);
  }
  engines_ = std::move(next);
}

void EngineSelector::MarkLeaving(const std::string& engine, TimePoint now) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) found->second.leaving_until = now + policy_.leaving_memory;
}

void EngineSelector::UpdateDigest(const std::string& engine, const QueueDigest& digest) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.digest = digest;
  found->second.has_digest = true;
  found->second.asked_since_digest = 0;
}

void EngineSelector::NoteAsked(const std::string& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) ++found->second.asked_since_digest;
}

void EngineSelector::NoteDone(const std::string& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) --found->second.asked_since_digest;
}

void EngineSelector::NoteFailure(const std::string& engine, TimePoint now) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  Engine& entry = found->second;
  const int doublings = std::min(entry.failures, 10);
  const Duration pause =
      std::min(policy_.quarantine_first * (1 << doublings), policy_.quarantine_longest);
  entry.quarantined_until = now + pause;
  ++entry.failures;
}

void EngineSelector::NoteSuccess(const std::string& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) found->second.failures = 0;
}

std::vector<const EngineSelector::Engine*> EngineSelector::Candidates(const SelectRequest& request,
                                                                      TimePoint now) const {
  std::vector<const Engine*> usable;
  std::vector<const Engine*> quarantined;
  const auto ids = by_model_.find(request.model);
  if (ids == by_model_.end()) return usable;
  for (const std::string& id : ids->second) {
    const Engine& engine = engines_.at(id);
    const bool leaving = engine.info.leaving || engine.leaving_until > now;
    if (leaving || request.excluded.contains(id)) continue;
    (engine.quarantined_until > now ? quarantined : usable).push_back(&engine);
  }
  // When all are quarantined, one of them is tried: better than giving up without an attempt.
  return usable.empty() ? quarantined : usable;
}

// Expected wait in seconds when it must wait, or below zero the share of free slots.
double EngineSelector::LoadOf(const Engine& engine, int tier) {
  const QueueDigest& digest = engine.digest;
  const int window = engine.has_digest ? std::max(1, digest.window) : kUnknownWindow;
  const int in_flight = digest.in_flight + engine.asked_since_digest;
  const int free = window - digest.headroom[tier] - in_flight;
  int ahead = 0;
  for (int t = 0; t <= tier; ++t) ahead += digest.waiting[t];
  if (free > 0 && ahead == 0) return -static_cast<double>(free) / window;
  const double rate = digest.release_rate > 0 ? digest.release_rate : kUnknownReleaseRate;
  return (ahead + 1 - std::min(free, 0)) / rate;
}

Duration EngineSelector::ExpectedWait(const std::string& engine, int tier) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return Duration(0);
  return FromSeconds(std::max(0.0, LoadOf(found->second, tier)));
}

std::optional<std::string> EngineSelector::Choose(const SelectRequest& request, TimePoint now,
                                                  std::mt19937_64& random) const {
  const std::vector<const Engine*> candidates = Candidates(request, now);
  if (candidates.empty()) return std::nullopt;
  if (policy_.prefix_affinity && request.prefix_hash != 0) {
    const Engine* home = nullptr;
    uint64_t best = 0;
    for (const Engine* engine : candidates) {
      const uint64_t weight = Hash64(engine->info.id, request.prefix_hash);
      if (home == nullptr || weight > best) {
        home = engine;
        best = weight;
      }
    }
    if (LoadOf(*home, request.tier) < ToSeconds(policy_.affinity_wait)) return home->info.id;
  }
  std::uniform_int_distribution<size_t> draw(0, candidates.size() - 1);
  const Engine* chosen = candidates[draw(random)];
  for (int i = 1; i < policy_.choices; ++i) {
    const Engine* candidate = candidates[draw(random)];
    if (LoadOf(*candidate, request.tier) < LoadOf(*chosen, request.tier)) chosen = candidate;
  }
  return chosen->info.id;
}

std::vector<std::string> EngineSelector::WithLowerTier(const SelectRequest& request,
                                                       TimePoint now) const {
  std::vector<std::string> found;
  const auto ids = by_model_.find(request.model);
  if (ids == by_model_.end()) return found;
  for (const std::string& id : ids->second) {
    const Engine& engine = engines_.at(id);
    const bool leaving = engine.info.leaving || engine.leaving_until > now;
    if (leaving || request.excluded.contains(id)) continue;
    int lower = 0;
    for (int tier = request.tier + 1; tier < kSchedulerTiers; ++tier) {
      lower += engine.digest.waiting[tier] + engine.digest.running[tier];
    }
    if (lower > 0 || !engine.has_digest) found.push_back(id);
  }
  return found;
}

}  // namespace cartsail
