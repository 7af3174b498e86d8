#include "request/answer_notices.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "placement/rate_notices.h"
#include "request/retry_after.h"

namespace cartsail {
namespace {

constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Requests per second. A larger limit is as good as none and is reduced to this.
constexpr double kMaxRate = 1e6;

bool IsRejection(int status) { return status == kUnavailable || status == kTooManyRequests; }

std::optional<RateNotice> ParseRateHeader(const NoticedAnswer& answer, const std::string& header,
                                          const WireNames& names) {
  if (answer.status == kMisdirected) return std::nullopt;
  RateNotice word;
  word.asked = answer.asked;
  const std::string_view named = FindHeader(answer.headers, header);
  if (named.empty()) {
    const bool is_of_run = !FindHeader(answer.headers, names.signature).empty();
    return is_of_run ? std::optional(word) : std::nullopt;
  }
  double per_s = 0;
  const bool is_rate =
      absl::SimpleAtod({named.data(), named.size()}, &per_s) && std::isfinite(per_s) && per_s >= 0;
  if (!is_rate) {
    Log(LogLevel::kWarning, "rate_unreadable", {{"header", header}, {"value", std::string(named)}});
    return std::nullopt;
  }
  word.per_s = std::min(per_s, kMaxRate);
  return word;
}

}  // namespace

BackendNotice ParseNotice(int status, const HttpHeaders& headers, const WireNames& names) {
  BackendNotice notice;
  if (status == kMisdirected) return notice;
  notice.leaving = !FindHeader(headers, names.leaving).empty();
  const std::string_view retry_after = FindHeader(headers, "Retry-After");
  if (!IsRejection(status) || retry_after.empty()) return notice;
  notice.backoff = ParseRetryAfter(retry_after, FindHeader(headers, "Date"));
  return notice;
}

std::optional<RateNotice> ParseRateLimit(const NoticedAnswer& answer, const WireNames& names) {
  return ParseRateHeader(answer, names.rate_limit, names);
}

std::optional<RateNotice> ParseBrittleLimit(const NoticedAnswer& answer, const WireNames& names) {
  return ParseRateHeader(answer, names.brittle, names);
}

void NoteAnswer(RelayContext& context, const Backend& backend, const NoticedAnswer& answer) {
  const auto& [status, headers, asked] = answer;
  std::optional<RateNotice> word = ParseRateLimit(answer, context.format.Names());
  if (word.has_value()) {
    word->read = {Now(), WallNow()};
    NoteRate(context.dispatcher, backend.key, *word, "answer");
  }
  std::optional<RateNotice> brittle = ParseBrittleLimit(answer, context.format.Names());
  if (brittle.has_value()) {
    brittle->read = {Now(), WallNow()};
    NoteBrittle(context.dispatcher, backend.key, *brittle, "answer");
  }
  BackendNotice notice = ParseNotice(status, headers, context.format.Names());
  notice.told = WallNow();
  const NoticeChange change = context.dispatcher.NoteNotice(backend.key, notice, Now());
  context.dispatcher.Registry().NoteSuccessor(backend);
  if (change.leaves) {
    Log(LogLevel::kInfo, "backend_leaves", {{"backend", backend.id}, {"source", "answer"}});
  }
  if (!change.backs_off) return;
  GlobalCounters().backend_backoffs_total.Add();
  Log(LogLevel::kWarning, "backend_backoff",
      {{"backend", backend.id},
       {"status", std::to_string(status)},
       {"retry_after", std::string(FindHeader(headers, "Retry-After"))},
       {"backoff_ms", fmt::format("{:.0f}", ToMillis(*notice.backoff))}});
}

}  // namespace cartsail
