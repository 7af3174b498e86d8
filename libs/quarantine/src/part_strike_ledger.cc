#include "cartsail/quarantine/part_strike_ledger.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "cartsail/quarantine/strike.h"

namespace cartsail {
namespace {

// Twice the quarantine: the first exit after it still counts as one more strike.
constexpr Duration kStrikeRetention = seconds(1200);
// Reports of strikes arrive within a second of the completions that speak against them.
constexpr Duration kCompletionRetention = seconds(60);
// The loss of a zone with 200 back ends and 40 requests of 3 parts at each gives strikes to 24,000
// parts at most, mostly to the same ones. 10,000 records take 2 MB.
constexpr size_t kMaxRecords = 10000;
// More exits say nothing new of a part, and each is compared with those of other parts.
constexpr size_t kMaxExitsPerPart = 64;

// Exits that a part may lack of those of the most struck one, and be suspected together with it.
constexpr size_t kMaxExitsApart = 1;

using Exits = std::map<BackendKey, TimePoint>;

Exits WithoutExplained(const Exits& exits, const std::set<BackendKey>& explained) {
  Exits left;
  for (const auto& exit : exits) {
    if (!explained.contains(exit.first)) left.insert(exit);
  }
  return left;
}

// What is in flight everywhere is in flight at all back ends that exit for a common reason.
bool IsOneMoment(const Exits& exits) {
  const auto is_earlier = [](const auto& left, const auto& right) {
    return left.second < right.second;
  };
  const auto [first, last] = std::minmax_element(exits.begin(), exits.end(), is_earlier);
  return last->second - first->second <= kSimultaneousExitWindow;
}

bool IsEnough(const Exits& exits) {
  return exits.size() >= kStrikesToQuarantine && !IsOneMoment(exits);
}

TimePoint FirstOf(const Exits& exits) {
  TimePoint first = TimePoint::max();
  for (const auto& [backend, when] : exits) first = std::min(first, when);
  return first;
}

struct Suspect {
  PartFingerprint part = 0;
  Exits exits;  // that no group explains yet
};

// The suspect with the most exits; of several the one with the smallest fingerprint, so that all
// nodes with the same strikes choose alike.
const Suspect* MostStruck(const std::vector<Suspect>& suspects) {
  const Suspect* most = nullptr;
  for (const Suspect& suspect : suspects) {
    if (!IsEnough(suspect.exits)) continue;
    if (most == nullptr || suspect.exits.size() > most->exits.size()) most = &suspect;
  }
  return most;
}

std::vector<BackendKey> BackendsOf(const Exits& exits) {
  std::vector<BackendKey> backends;
  for (const auto& [backend, when] : exits) backends.push_back(backend);
  return backends;
}

bool IsExplainedByOne(const Exits& exits, const std::vector<std::vector<BackendKey>>& by_requests) {
  const std::vector<BackendKey> backends = BackendsOf(exits);
  return std::any_of(by_requests.begin(), by_requests.end(), [&backends](const auto& request) {
    return std::includes(request.begin(), request.end(), backends.begin(), backends.end());
  });
}

// True if the other part may be to blame as well: it was in flight at all exits of the most struck
// one but one, and at enough of them. A single exit may have another cause.
bool IsHardlyApart(const Exits& most, const Exits& other) {
  const auto is_shared = [&other](const auto& exit) { return other.contains(exit.first); };
  const auto shared = static_cast<size_t>(std::count_if(most.begin(), most.end(), is_shared));
  return shared >= kStrikesToQuarantine && most.size() - shared <= kMaxExitsApart;
}

// `all`: the exits of the most struck part, also those that another group explains.
SuspectedGroup GroupWith(const Exits& exits, const Exits& all,
                         const std::vector<Suspect>& suspects) {
  SuspectedGroup group;
  group.first_strike = FirstOf(all);
  group.backends = BackendsOf(all);
  for (const Suspect& suspect : suspects) {
    if (IsHardlyApart(exits, suspect.exits)) group.parts.push_back(suspect.part);
  }
  return group;
}

}  // namespace

bool PartStrikeLedger::IsExonerated(PartFingerprint part, TimePoint strike) const {
  const auto completed = completed_.find(part);
  return completed != completed_.end() && strike <= completed->second + kPartExonerationTime;
}

std::vector<PartFingerprint> PartStrikeLedger::Note(const PartStrikes& strikes) {
  std::vector<PartFingerprint> struck;
  for (const PartFingerprint part : strikes.in_flight.parts) {
    if (IsExonerated(part, strikes.when)) continue;
    if (records_.size() >= kMaxRecords) EvictOlderHalf();
    Record& record = records_[part];
    record.service = strikes.in_flight.service;
    record.last = std::max(record.last, strikes.when);
    if (record.exits.size() >= kMaxExitsPerPart) continue;
    const bool is_new = record.exits.emplace(strikes.backend, strikes.when).second;
    if (is_new) struck.push_back(part);
  }
  return struck;
}

void PartStrikeLedger::NoteCompleted(PartFingerprint part, TimePoint when) {
  TimePoint& completed = completed_[part];
  completed = std::max(completed, when);
  const auto record = records_.find(part);
  if (record == records_.end()) return;
  std::erase_if(record->second.exits,
                [&](const auto& exit) { return IsExonerated(part, exit.second); });
  if (record->second.exits.empty()) records_.erase(record);
}

std::vector<SuspectedGroup> PartStrikeLedger::GroupsOf(
    ServiceKey service, const std::vector<std::vector<BackendKey>>& by_requests) const {
  std::vector<Suspect> suspects;
  for (const auto& [part, record] : records_) {
    const bool has_enough = record.exits.size() >= kStrikesToQuarantine;
    if (record.service != service || !has_enough) continue;
    if (!IsExplainedByOne(record.exits, by_requests)) suspects.push_back({part, record.exits});
  }
  std::sort(suspects.begin(), suspects.end(),
            [](const Suspect& left, const Suspect& right) { return left.part < right.part; });
  std::vector<SuspectedGroup> groups;
  while (const Suspect* most = MostStruck(suspects)) {
    groups.push_back(GroupWith(most->exits, records_.at(most->part).exits, suspects));
    groups.back().service = service;
    const std::set<BackendKey> explained(groups.back().backends.begin(),
                                         groups.back().backends.end());
    for (Suspect& suspect : suspects) {
      suspect.exits = WithoutExplained(suspect.exits, explained);
    }
  }
  return groups;
}

TimePoint PartStrikeLedger::FirstStrikeOf(PartFingerprint part, TimePoint otherwise) const {
  const auto record = records_.find(part);
  return record == records_.end() ? otherwise : FirstOf(record->second.exits);
}

void PartStrikeLedger::Expire(TimePoint now) {
  std::erase_if(records_,
                [now](const auto& entry) { return now - entry.second.last > kStrikeRetention; });
  std::erase_if(completed_,
                [now](const auto& entry) { return now - entry.second > kCompletionRetention; });
}

void PartStrikeLedger::EvictOlderHalf() {
  std::vector<TimePoint> times;
  times.reserve(records_.size());
  for (const auto& [part, record] : records_) times.push_back(record.last);
  const auto middle = times.begin() + static_cast<int64_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const TimePoint limit = *middle;
  std::erase_if(records_, [limit](const auto& entry) { return entry.second.last <= limit; });
}

}  // namespace cartsail
