#include "cartsail/dispatch/rate_limits.h"

#include <algorithm>
#include <limits>

namespace cartsail {
namespace {

double RateOf(const RateNotice& word) {
  return word.per_s.value_or(std::numeric_limits<double>::infinity());
}

RateChange ChangeBetween(const RateNotice& before, const RateNotice& after) {
  if (before.per_s == after.per_s) return RateChange::kNone;
  if (!before.per_s.has_value()) return RateChange::kNamed;
  return after.per_s.has_value() ? RateChange::kChanged : RateChange::kWithdrawn;
}

}  // namespace

void RateLimits::Keep(BackendKey backend, const RateNotice& word, Known* known) {
  const bool was_limited = known != nullptr && known->notice.per_s.has_value();
  const bool is_limited = word.per_s.has_value();
  if (is_limited && !was_limited) ++limited_;
  if (!is_limited && was_limited) --limited_;
  if (known == nullptr) {
    words_[backend] = {word, word.read.at};
    return;
  }
  known->notice = word;
}

RateChange RateLimits::Note(BackendKey backend, const RateNotice& word) {
  const auto entry = words_.find(backend);
  if (entry == words_.end()) {
    // Most back ends name none: only those that did are kept.
    if (!word.per_s.has_value()) return RateChange::kNone;
    Keep(backend, word, nullptr);
    return RateChange::kNamed;
  }
  Known& known = entry->second;
  const bool is_looser = RateOf(word) > RateOf(known.notice);
  const TimePoint said = is_looser ? word.asked : word.read.at;
  if (said <= known.notice.read.at) return RateChange::kNone;
  const RateChange change = ChangeBetween(known.notice, word);
  Keep(backend, word, &known);
  return change;
}

std::optional<RateLimit> RateLimits::Of(BackendKey backend) const {
  const auto entry = words_.find(backend);
  if (entry == words_.end() || !entry->second.notice.per_s.has_value()) return std::nullopt;
  const Known& known = entry->second;
  return RateLimit{*known.notice.per_s, known.first_named, known.notice.read.at};
}

bool RateLimits::WasWithdrawnRecently(BackendKey backend, TimePoint now) const {
  const auto entry = words_.find(backend);
  if (entry == words_.end() || entry->second.notice.per_s.has_value()) return false;
  return now - entry->second.notice.read.at < kWithdrawnTold;
}

void RateLimits::CarryToSuccessor(BackendKey earlier, BackendKey later,
                                  std::chrono::milliseconds start) {
  const auto entry = words_.find(earlier);
  if (entry == words_.end() || !entry->second.notice.per_s.has_value()) return;
  const RateNotice word = entry->second.notice;
  if (word.read.wall + BackendNotices::kMaxClockSkew < start) return;
  (void)Note(later, word);
}

std::vector<BackendRateNotice> RateLimits::Latest(const std::function<bool(BackendKey)>& is_wanted,
                                                  size_t most, TimePoint now) const {
  std::vector<BackendRateNotice> latest;
  for (const auto& [backend, known] : words_) {
    const bool is_told =
        known.notice.per_s.has_value() || now - known.notice.read.at < kWithdrawnTold;
    if (is_told && is_wanted(backend)) latest.push_back({backend, known.notice});
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
  std::erase_if(words_, [this, &is_known, now](const auto& entry) {
    if (now - entry.second.notice.read.at < kForgottenAfter || is_known(entry.first)) return false;
    if (entry.second.notice.per_s.has_value()) --limited_;
    return true;
  });
}

}  // namespace cartsail
