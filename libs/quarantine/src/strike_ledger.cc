#include "cartsail/quarantine/strike_ledger.h"

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

// Twice kQuarantineTime: the first exit after a quarantine still counts as the fourth strike.
constexpr Duration kStrikeRetention = seconds(1200);
// With 3,400 backends and 40 requests at each, the loss of a zone of 200 backends gives strikes to
// 8,000 requests, of which a node keeps 50. 10,000 records take 1 MB.
constexpr size_t kMaxRecords = 10000;

// From this number on, strikes count even if they are attributed to another request, because two
// requests that crash backends may have shared some. In 1,000 simulations with two such requests,
// each crashes at most 4 backends, but 5 if this limit is five; the price is that 1,645 instead of
// 1,355 of 180,000 harmless requests are refused.
constexpr size_t kStrikesDespiteAttribution = 4;

bool Contains(const std::vector<BackendKey>& backends, BackendKey backend) {
  return std::find(backends.begin(), backends.end(), backend) != backends.end();
}

}  // namespace

std::optional<Verdict> StrikeLedger::Note(const Strike& strike) {
  if (records_.size() >= kMaxRecords) EvictOlderHalf();
  const auto [entry, is_new] = records_.try_emplace(strike.request);
  Record& record = entry->second;
  if (Contains(record.backends, strike.backend)) return std::nullopt;
  record.backends.push_back(strike.backend);
  record.first = is_new ? strike.when : std::min(record.first, strike.when);
  record.last = is_new ? strike.when : std::max(record.last, strike.when);
  return VerdictOn(strike.request);
}

std::optional<Verdict> StrikeLedger::VerdictOn(RequestFingerprint request) const {
  const auto entry = records_.find(request);
  if (entry == records_.end()) return std::nullopt;
  const Record& record = entry->second;
  const size_t strikes = record.backends.size();
  if (strikes < kStrikesToQuarantine) return std::nullopt;
  const bool is_attributed = IsAttributed(request, record.backends);
  if (is_attributed && strikes < kStrikesDespiteAttribution) return std::nullopt;
  const bool is_simultaneous = record.last - record.first <= kSimultaneousExitWindow;
  return Verdict{request, record.backends, record.first, is_simultaneous};
}

void StrikeLedger::AttributeExits(const std::vector<BackendKey>& backends, RequestFingerprint by,
                                  TimePoint now) {
  attributions_[by] = {backends, now};
}

// True if some quarantined request leaves fewer than kStrikesToQuarantine of `backends` unaccounted
// for and also has a backend where `request` was not. If all backends of the quarantined request
// are among `backends`, either request may have caused the exits.
bool StrikeLedger::IsAttributed(RequestFingerprint request,
                                const std::vector<BackendKey>& backends) const {
  for (const auto& [by, attribution] : attributions_) {
    if (by == request) continue;
    const auto is_shared = [&backends](BackendKey backend) { return Contains(backends, backend); };
    const auto shared = static_cast<size_t>(
        std::count_if(attribution.backends.begin(), attribution.backends.end(), is_shared));
    if (shared == attribution.backends.size()) continue;
    if (backends.size() - shared < kStrikesToQuarantine) return true;
  }
  return false;
}

size_t StrikeLedger::StrikesOf(RequestFingerprint request) const {
  const auto record = records_.find(request);
  return record == records_.end() ? 0 : record->second.backends.size();
}

void StrikeLedger::Expire(TimePoint now) {
  std::erase_if(records_,
                [now](const auto& entry) { return now - entry.second.last > kStrikeRetention; });
  std::erase_if(attributions_,
                [now](const auto& entry) { return now - entry.second.since > kStrikeRetention; });
}

void StrikeLedger::EvictOlderHalf() {
  std::vector<TimePoint> times;
  times.reserve(records_.size());
  for (const auto& [request, record] : records_) times.push_back(record.last);
  const auto middle = times.begin() + static_cast<int64_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const TimePoint limit = *middle;
  std::erase_if(records_, [limit](const auto& entry) { return entry.second.last <= limit; });
}

std::vector<std::string> StrikeLedgerNodesOf(RequestFingerprint request,
                                             std::vector<std::string> hosts) {
  const auto ranks_before = [request](const std::string& left, const std::string& right) {
    return Hash64(left, request) > Hash64(right, request);
  };
  const size_t count = std::min(kStrikeLedgerReplicas, hosts.size());
  const auto end = hosts.begin() + static_cast<int64_t>(count);
  std::partial_sort(hosts.begin(), end, hosts.end(), ranks_before);
  hosts.resize(count);
  return hosts;
}

}  // namespace cartsail
