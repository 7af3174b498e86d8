#include "cartsail/dispatch/rate_limits.h"

#include <algorithm>
#include <limits>

namespace cartsail {
namespace {

double RateOf(const RateNotice& notice) {
  return notice.per_s.value_or(std::numeric_limits<double>::infinity());
}

RateChange ChangeBetween(const RateNotice& before, const RateNotice& after) {
  if (before.per_s == after.per_s) return RateChange::kNone;
  if (!before.per_s.has_value()) return RateChange::kNamed;
  return after.per_s.has_value() ? RateChange::kChanged : RateChange::kWithdrawn;
}

}  // namespace

void RateLimits::Keep(BackendKey backend, const RateNotice& notice, Known* known) {
  const bool was_limited = known != nullptr && known->notice.per_s.has_value();
  const bool is_limited = notice.per_s.has_value();
  if (is_limited && !was_limited) ++limited_;
  if (!is_limited && was_limited) --limited_;
  if (known == nullptr) {
    notices_[backend] = {notice, notice.read.at};
    return;
  }
  known->notice = notice;
}

RateChange RateLimits::Note(BackendKey backend, const RateNotice& notice) {
  const auto entry = notices_.find(backend);
  if (entry == notices_.end()) {
    // Most back ends advertise no rate; only those that did are stored.
    if (!notice.per_s.has_value()) return RateChange::kNone;
    Keep(backend, notice, nullptr);
    return RateChange::kNamed;
  }
  Known& known = entry->second;
  const bool is_looser = RateOf(notice) > RateOf(known.notice);
  const TimePoint effective = is_looser ? notice.asked : notice.read.at;
  if (effective <= known.notice.read.at) return RateChange::kNone;
  const RateChange change = ChangeBetween(known.notice, notice);
  Keep(backend, notice, &known);
  return change;
}

std::optional<RateLimit> RateLimits::Of(BackendKey backend) const {
  const auto entry = notices_.find(backend);
  if (entry == notices_.end() || !entry->second.notice.per_s.has_value()) return std::nullopt;
  const Known& known = entry->second;
  return RateLimit{*known.notice.per_s, known.first_named, known.notice.read.at};
}

bool RateLimits::WasWithdrawnRecently(BackendKey backend, TimePoint now) const {
  const auto entry = notices_.find(backend);
  if (entry == notices_.end() || entry->second.notice.per_s.has_value()) return false;
  return now - entry->second.notice.read.at < kWithdrawnTold;
}

void RateLimits::CarryToSuccessor(BackendKey earlier, BackendKey later,
                                  std::chrono::milliseconds start) {
  const auto entry = notices_.find(earlier);
  if (entry == notices_.end() || !entry->second.notice.per_s.has_value()) return;
  const RateNotice notice = entry->second.notice;
  if (notice.read.wall + BackendNotices::kMaxClockSkew < start) return;
  (void)Note(later, notice);
}

std::vector<BackendRateNotice> RateLimits::Latest(const std::function<bool(BackendKey)>& is_wanted,
                                                  size_t most, TimePoint now) const {
  std::vector<BackendRateNotice> latest;
  for (const auto& [backend, known] : notices_) {
    const bool is_sent =
        known.notice.per_s.has_value() || now - known.notice.read.at < kWithdrawnTold;
    if (is_sent && is_wanted(backend)) latest.push_back({backend, known.notice});
  }
  const auto is_newer = [](const BackendRateNotice& one, const BackendRateNotice& other) {
    return one.notice.read.at > other.notice.read.at;
  };
  const size_t kept = std::min(most, latest.size());
  std::partial_sort(latest.begin(), latest.begin() + static_cast<std::ptrdiff_t>(kept),
                    latest.end(), is_newer);
  latest.resize(kept);
  return latest;
}

void RateLimits::Expire(const std::function<bool(BackendKey)>& is_known, TimePoint now) {
  std::erase_if(notices_, [this, &is_known, now](const auto& entry) {
    if (now - entry.second.notice.read.at < kForgottenAfter || is_known(entry.first)) return false;
    if (entry.second.notice.per_s.has_value()) --limited_;
    return true;
  });
}

}  // namespace cartsail
