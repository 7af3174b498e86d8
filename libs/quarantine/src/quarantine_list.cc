#include "cartsail/quarantine/quarantine_list.h"

#include <algorithm>

namespace cartsail {
namespace {

// Each entry costs three backends; more entries would be an attack that refusing single requests
// does not stop.
constexpr size_t kMaxQuarantined = 1000;
// Notices of a quarantine arrive within some seconds; the slowest way is with a catalog.
constexpr Duration kLiftRetention = seconds(30);

}  // namespace

bool QuarantineList::Add(const QuarantinedRequest& quarantined, TimePoint now) {
  if (quarantined.until <= now || IsOutdated(quarantined, now)) return false;
  const auto known = quarantined_.find(quarantined.request);
  const bool lacks_parts =
      known != quarantined_.end() && known->second.parts.empty() && !quarantined.parts.empty();
  if (known != quarantined_.end() && !lacks_parts) {
    const bool has_more = quarantined.backends.size() > known->second.backends.size();
    if (has_more) known->second.backends = quarantined.backends;
    return false;
  }
  if (quarantined_.size() >= kMaxQuarantined) {
    const auto ends_before = [](const auto& left, const auto& right) {
      return left.second.until < right.second.until;
    };
    const auto first = std::min_element(quarantined_.begin(), quarantined_.end(), ends_before);
    groups_.erase(first->first);
    quarantined_.erase(first);
  }
  quarantined_[quarantined.request] = quarantined;
  if (!quarantined.parts.empty()) groups_.insert(quarantined.request);
  ++changes_;
  return true;
}

// Without an exit that is new since the last lift, the quarantine is the one that was lifted.
bool QuarantineList::IsOutdated(const QuarantinedRequest& quarantined, TimePoint now) const {
  if (!WasLifted(quarantined.request, now)) return false;
  const Lifted& lifted = lifted_.at(quarantined.request);
  if (!lifted.may_return) return true;
  const std::set<BackendKey>& known = lifted.backends;
  return std::all_of(quarantined.backends.begin(), quarantined.backends.end(),
                     [&known](BackendKey backend) { return known.contains(backend); });
}

std::optional<QuarantinedRequest> QuarantineList::Find(RequestFingerprint request) const {
  const auto quarantined = quarantined_.find(request);
  if (quarantined == quarantined_.end()) return std::nullopt;
  return quarantined->second;
}

bool QuarantineList::Lift(RequestFingerprint request, TimePoint now,
                          const std::vector<BackendKey>& backends, bool may_return) {
  Lifted& lifted = lifted_[request];
  lifted.when = now;
  lifted.may_return = may_return;
  lifted.backends.insert(backends.begin(), backends.end());
  const auto quarantined = quarantined_.find(request);
  if (quarantined != quarantined_.end()) {
    const std::vector<BackendKey>& known = quarantined->second.backends;
    lifted.backends.insert(known.begin(), known.end());
  }
  const bool was_quarantined = quarantined_.erase(request) > 0;
  groups_.erase(request);
  if (was_quarantined) ++changes_;
  return was_quarantined;
}

bool QuarantineList::WasLifted(RequestFingerprint request, TimePoint now) const {
  const auto lifted = lifted_.find(request);
  return lifted != lifted_.end() && now - lifted->second.when < kLiftRetention;
}

std::optional<Duration> QuarantineList::RemainingTime(RequestFingerprint request,
                                                      TimePoint now) const {
  if (quarantined_.empty()) return std::nullopt;
  const auto quarantined = quarantined_.find(request);
  if (quarantined == quarantined_.end() || quarantined->second.until <= now) return std::nullopt;
  return quarantined->second.until - now;
}

std::vector<QuarantinedRequest> QuarantineList::MatchesOf(const RequestTraits& traits,
                                                          TimePoint now) const {
  std::vector<QuarantinedRequest> matches;
  const auto whole = quarantined_.find(traits.request);
  if (whole != quarantined_.end() && whole->second.until > now) matches.push_back(whole->second);
  if (traits.shared.parts.empty()) return matches;
  for (const RequestFingerprint group : groups_) {
    const QuarantinedRequest& entry = quarantined_.at(group);
    const bool is_match = AreAmong(entry.parts, traits.shared.parts);
    if (is_match && entry.until > now) matches.push_back(entry);
  }
  return matches;
}

std::vector<QuarantinedRequest> QuarantineList::GroupsWith(PartFingerprint part,
                                                           TimePoint now) const {
  std::vector<QuarantinedRequest> with;
  for (const RequestFingerprint group : groups_) {
    const QuarantinedRequest& entry = quarantined_.at(group);
    if (entry.until > now && AreAmong({part}, entry.parts)) with.push_back(entry);
  }
  return with;
}

std::vector<QuarantinedRequest> QuarantineList::All() const {
  std::vector<QuarantinedRequest> all;
  for (const auto& [request, entry] : quarantined_) all.push_back(entry);
  return all;
}

std::vector<QuarantinedRequest> QuarantineList::Newest(size_t max_count, TimePoint now) const {
  std::vector<QuarantinedRequest> all;
  for (const auto& [request, entry] : quarantined_) {
    if (entry.until > now) all.push_back(entry);
  }
  const auto is_newer = [](const QuarantinedRequest& left, const QuarantinedRequest& right) {
    return left.until > right.until;
  };
  std::sort(all.begin(), all.end(), is_newer);
  if (all.size() > max_count) all.resize(max_count);
  return all;
}

void QuarantineList::Expire(TimePoint now) {
  const size_t before = quarantined_.size();
  std::erase_if(quarantined_, [now](const auto& entry) { return entry.second.until <= now; });
  std::erase_if(groups_,
                [this](RequestFingerprint group) { return !quarantined_.contains(group); });
  if (quarantined_.size() != before) ++changes_;
  std::erase_if(lifted_,
                [now](const auto& entry) { return now - entry.second.when >= kLiftRetention; });
}

}  // namespace cartsail
