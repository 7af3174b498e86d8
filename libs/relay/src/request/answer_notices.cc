#include "request/answer_notices.h"

#include <fmt/format.h>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "request/retry_after.h"

namespace cartsail {
namespace {

constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

bool TurnsAway(int status) { return status == kUnavailable || status == kTooManyRequests; }

}  // namespace

BackendNotice NoticeIn(int status, const HttpHeaders& headers, const WireNames& names) {
  BackendNotice notice;
  if (status == kMisdirected) return notice;
  notice.leaving = !FindHeader(headers, names.leaving).empty();
  const std::string_view retry_after = FindHeader(headers, "Retry-After");
  if (!TurnsAway(status) || retry_after.empty()) return notice;
  notice.backoff = ParseRetryAfter(retry_after, FindHeader(headers, "Date"));
  return notice;
}

void NoteAnswer(RelayContext& context, const Backend& backend, int status,
                const HttpHeaders& headers) {
  BackendNotice notice = NoticeIn(status, headers, context.format.Names());
  notice.told = WallNow();
  const NoticeChange change = context.dispatcher.NoteNotice(backend.key, notice, Now());
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
