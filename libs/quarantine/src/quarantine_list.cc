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
  if (quarantined.until <= now || WasLifted(quarantined.request, now)) return false;
  if (quarantined_.contains(quarantined.request)) return false;
  if (quarantined_.size() >= kMaxQuarantined) {
    const auto ends_before = [](const auto& left, const auto& right) {
      return left.second < right.second;
    };
    quarantined_.erase(std::min_element(quarantined_.begin(), quarantined_.end(), ends_before));
  }
  quarantined_[quarantined.request] = quarantined.until;
  ++changes_;
  return true;
}

bool QuarantineList::Lift(RequestFingerprint request, TimePoint now) {
  lifted_[request] = now;
  const bool was_quarantined = quarantined_.erase(request) > 0;
  if (was_quarantined) ++changes_;
  return was_quarantined;
}

bool QuarantineList::WasLifted(RequestFingerprint request, TimePoint now) const {
  const auto lifted = lifted_.find(request);
  return lifted != lifted_.end() && now - lifted->second < kLiftRetention;
}

std::optional<Duration> QuarantineList::RemainingTime(RequestFingerprint request,
                                                      TimePoint now) const {
  if (quarantined_.empty()) return std::nullopt;
  const auto quarantined = quarantined_.find(request);
  if (quarantined == quarantined_.end() || quarantined->second <= now) return std::nullopt;
  return quarantined->second - now;
}

std::vector<QuarantinedRequest> QuarantineList::Newest(size_t max_count, TimePoint now) const {
  std::vector<QuarantinedRequest> all;
  for (const auto& [request, until] : quarantined_) {
    if (until > now) all.push_back({request, until});
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
  std::erase_if(quarantined_, [now](const auto& entry) { return entry.second <= now; });
  if (quarantined_.size() != before) ++changes_;
  std::erase_if(lifted_, [now](const auto& entry) { return now - entry.second >= kLiftRetention; });
}

}  // namespace cartsail
