#include "cartsail/dispatch/backend_registry.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cartsail/base/hash.h"

namespace cartsail {

BackendKey KeyOf(std::string_view backend_id, int64_t started_ms) {
  return static_cast<BackendKey>(Hash64(backend_id, static_cast<uint64_t>(started_ms)));
}

namespace {

// Replaces `backend` by `known` when its entry is of an earlier incarnation and therefore outdated.
void KeepIfNewer(const Backend& known, Backend* backend) {
  if (backend->started_ms < known.started_ms) *backend = known;
}

}  // namespace

// Records that the entry of `backend` was removed. A later process may have sent notices before its
// own entry arrives.
void BackendRegistry::NoteDeparture(const Backend& backend) {
  if (IsNoticed(backend.key)) departed_[backend.id] = backend.key;
}

// True when notices of the back end are recorded.
bool BackendRegistry::IsNoticed(BackendKey key) const {
  return notices_.Knows(key) || limits_.Knows(key) || brittle_.Knows(key);
}

// The previous incarnation with the id of `backend`. `known`: the entry replaced; nullptr: none.
std::optional<BackendKey> BackendRegistry::EarlierOf(const Backend* known, const Backend& backend) {
  if (known != nullptr) return known->key;
  const auto departed = departed_.find(backend.id);
  if (departed == departed_.end()) return std::nullopt;
  const BackendKey key = departed->second;
  departed_.erase(departed);
  return key;
}

void BackendRegistry::CarryToSuccessor(BackendKey earlier, const Backend& later) {
  const milliseconds start(later.started_ms);
  notices_.CarryToSuccessor(earlier, later.key, start);
  limits_.CarryToSuccessor(earlier, later.key, start);
  brittle_.CarryToSuccessor(earlier, later.key, start);
}

void BackendRegistry::NoteSuccessor(const Backend& asked) {
  const Backend* current = Find(asked.id);
  if (current != nullptr && current->key != asked.key) CarryToSuccessor(asked.key, *current);
}

// Sets the derived fields of `backend`. `known`: the entry replaced; nullptr: none.
void BackendRegistry::Identify(const Backend* known, Backend* backend) {
  backend->key = KeyOf(backend->id, backend->started_ms);
  const std::optional<BackendKey> earlier = EarlierOf(known, *backend);
  if (earlier.has_value() && *earlier != backend->key) {
    CarryToSuccessor(*earlier, *backend);
  }
  backend->region = regions_.IndexOfZone(backend->zone);
  if (backend->state == BackendState::kLeaving) notices_.NoteLeaving(backend->key);
  if (notices_.IsLeaving(backend->key)) backend->state = BackendState::kLeaving;
}

// Adds to `backends` the known ready ones that it lacks, marked as missing until `until`.
void BackendRegistry::KeepMissing(std::vector<Backend>* backends, TimePoint until) const {
  std::set<std::string_view> listed;
  for (const Backend& backend : *backends) listed.insert(backend.id);
  std::vector<Backend> missing;
  for (const auto& [id, backend] : backends_) {
    if (backend.state == BackendState::kLeaving || listed.contains(id)) continue;
    missing.push_back(backend);
    missing.back().missing_until = backend.missing_until.value_or(until);
  }
  for (Backend& backend : missing) backends->push_back(std::move(backend));
}

void BackendRegistry::ReplaceAll(std::vector<Backend> backends,
                                 std::optional<TimePoint> missing_until) {
  if (missing_until.has_value()) KeepMissing(&backends, *missing_until);
  std::map<std::string, Backend, std::less<>> before = std::move(backends_);
  backends_.clear();
  by_key_.clear();
  ++changes_;
  for (Backend& backend : backends) {
    const auto known = before.find(backend.id);
    if (known != before.end()) KeepIfNewer(known->second, &backend);
    Identify(known == before.end() ? nullptr : &known->second, &backend);
    if (backend.missing_until.has_value()) {
      next_gone_ = std::min(next_gone_, *backend.missing_until);
    }
    Keep(std::move(backend));
  }
  for (const auto& [id, backend] : before) {
    if (!backends_.contains(id)) NoteDeparture(backend);
  }
}

void BackendRegistry::Put(Backend backend) {
  const auto known = backends_.find(backend.id);
  if (known != backends_.end()) {
    KeepIfNewer(known->second, &backend);
    by_key_.erase(known->second.key);
  }
  Identify(known == backends_.end() ? nullptr : &known->second, &backend);
  if (backend.missing_until.has_value()) next_gone_ = std::min(next_gone_, *backend.missing_until);
  Keep(std::move(backend));
  ++changes_;
}

void BackendRegistry::Keep(Backend backend) {
  Backend& kept = backends_[backend.id];
  kept = std::move(backend);
  by_key_[kept.key] = &kept;
}

bool BackendRegistry::RemoveMissing(TimePoint now) {
  if (now < next_gone_) return false;
  next_gone_ = TimePoint::max();
  std::vector<std::string> gone;
  for (const auto& [id, backend] : backends_) {
    if (!backend.missing_until.has_value()) continue;
    if (now >= *backend.missing_until) {
      gone.push_back(id);
    } else {
      next_gone_ = std::min(next_gone_, *backend.missing_until);
    }
  }
  for (const std::string& id : gone) Remove(id);
  return !gone.empty();
}

void BackendRegistry::Remove(std::string_view id, std::optional<TimePoint> missing_until) {
  const auto entry = backends_.find(id);
  if (entry == backends_.end()) return;
  if (missing_until.has_value() && entry->second.state != BackendState::kLeaving) {
    if (!entry->second.missing_until.has_value()) entry->second.missing_until = missing_until;
    next_gone_ = std::min(next_gone_, *missing_until);
    return;
  }
  NoteDeparture(entry->second);
  by_key_.erase(entry->second.key);
  backends_.erase(entry);
  ++changes_;
}

bool BackendRegistry::MarkLeaving(BackendKey backend, const NoticeTime& told) {
  if (!notices_.NoteLeaving(backend, told)) return false;
  const auto known = by_key_.find(backend);
  if (known != by_key_.end()) known->second->state = BackendState::kLeaving;
  ++changes_;
  return true;
}

void BackendRegistry::ExpireNotices(TimePoint now) {
  notices_.Expire(now);
  const auto is_known = [this](BackendKey key) { return FindByKey(key) != nullptr; };
  limits_.Expire(is_known, now);
  brittle_.Expire(is_known, now);
  std::erase_if(departed_, [this](const auto& entry) { return !IsNoticed(entry.second); });
}

std::vector<BackendRateNotice> BackendRegistry::RateNoticesOf(std::string_view service, size_t most,
                                                              TimePoint now) const {
  return NoticesOf(limits_, service, most, now);
}

std::vector<BackendRateNotice> BackendRegistry::BrittleNoticesOf(std::string_view service,
                                                                 size_t most, TimePoint now) const {
  return NoticesOf(brittle_, service, most, now);
}

std::vector<BackendRateNotice> BackendRegistry::NoticesOf(const RateLimits& limits,
                                                          std::string_view service, size_t most,
                                                          TimePoint now) const {
  const auto is_of_service = [this, service](BackendKey key) {
    const Backend* backend = FindByKey(key);
    return backend != nullptr && backend->service == service;
  };
  return limits.Latest(is_of_service, most, now);
}

bool BackendRegistry::MayContact(BackendKey key, TimePoint now) const {
  const Backend* backend = FindByKey(key);
  return backend != nullptr && backend->state == BackendState::kReady &&
         !backend->missing_until.has_value() && !notices_.BackoffLeft(key, now).has_value();
}

std::vector<BackendKey> BackendRegistry::BackingOffFrom(std::string_view service,
                                                        TimePoint now) const {
  std::vector<BackendKey> backing_off = notices_.BackingOff(now);
  std::erase_if(backing_off, [this, service](BackendKey key) {
    const Backend* backend = FindByKey(key);
    return backend == nullptr || backend->service != service;
  });
  return backing_off;
}

const Backend* BackendRegistry::Find(std::string_view id) const {
  const auto entry = backends_.find(id);
  return entry == backends_.end() ? nullptr : &entry->second;
}

const Backend* BackendRegistry::FindByKey(BackendKey key) const {
  const auto known = by_key_.find(key);
  return known == by_key_.end() ? nullptr : known->second;
}

std::vector<Backend> BackendRegistry::All() const {
  std::vector<Backend> all;
  all.reserve(backends_.size());
  for (const auto& [id, backend] : backends_) all.push_back(backend);
  return all;
}

void BackendRegistry::SetServices(std::set<std::string> services) {
  if (services_ == services) return;
  services_ = std::move(services);
  ++changes_;
}

bool BackendRegistry::IsService(const std::string& service) const {
  return !services_.has_value() || services_->contains(service);
}

std::vector<const Backend*> BackendRegistry::NewestReadyOf(std::string_view service) const {
  std::unordered_map<std::string_view, const Backend*> newest_at;
  newest_at.reserve(backends_.size());
  for (const auto& [id, backend] : backends_) {
    if (!IsService(backend.service)) continue;
    const Backend*& newest = newest_at[backend.address];
    if (newest == nullptr || backend.created_revision > newest->created_revision) {
      newest = &backend;
    }
  }
  std::vector<const Backend*> ready;
  for (const auto& [id, backend] : backends_) {
    if (backend.service != service || backend.state != BackendState::kReady) continue;
    if (newest_at[backend.address] == &backend) ready.push_back(&backend);
  }
  return ready;
}

std::vector<const Backend*> BackendRegistry::ReadyOf(std::string_view service) const {
  std::vector<const Backend*> ready = NewestReadyOf(service);
  std::erase_if(ready, [this](const Backend* backend) { return !IsOpen(*backend); });
  return ready;
}

std::vector<const Backend*> BackendRegistry::DrainedOf(std::string_view service) const {
  if (drains_.IsEmpty()) return {};
  std::vector<const Backend*> drained = NewestReadyOf(service);
  std::erase_if(drained, [this](const Backend* backend) { return IsOpen(*backend); });
  return drained;
}

bool BackendRegistry::NoteChange(bool changed) {
  if (changed) ++changes_;
  return changed;
}

bool BackendRegistry::DrainZone(const std::string& zone, TimePoint now) {
  return NoteChange(drains_.Drain(zone, now));
}

bool BackendRegistry::RestoreZone(const std::string& zone, TimePoint now) {
  return NoteChange(drains_.Restore(zone, now));
}

bool BackendRegistry::ReplaceDrainedZones(const std::set<std::string>& zones, TimePoint now) {
  return NoteChange(drains_.ReplaceAll(zones, now));
}

std::vector<BackendKey> BackendRegistry::Leaving() const {
  std::vector<BackendKey> leaving;
  for (const auto& [id, backend] : backends_) {
    if (backend.state == BackendState::kLeaving) leaving.push_back(backend.key);
  }
  return leaving;
}

}  // namespace cartsail
