#include "placement/warmth_inquiry.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_client.h"
#include "request/answer_notices.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kInterval = milliseconds(25);
// A zone that comes back has some dozens of back ends; a silent one keeps its place for kTimeout.
constexpr size_t kMostAtOnce = 32;
constexpr Duration kTimeout = milliseconds(500);
constexpr size_t kMostBytes = 64 << 10;
constexpr int kOk = 200;
// Far above what any back end tells.
constexpr double kLongestColdMs = 3.6e6;

}  // namespace

std::optional<Duration> ColdLeftIn(const HttpResponse& response, std::string_view id,
                                   const WireNames& names) {
  if (FindHeader(response.headers, names.instance) != id) return std::nullopt;
  const std::string_view told = FindHeader(response.headers, names.cold_left);
  if (told.empty()) return response.status == kOk ? std::optional(Duration(0)) : std::nullopt;
  double cold_ms = 0;
  const bool is_time = absl::SimpleAtod({told.data(), told.size()}, &cold_ms) && cold_ms >= 0 &&
                       cold_ms <= kLongestColdMs;
  if (!is_time) return std::nullopt;
  return FromSeconds(cold_ms / 1e3);
}

void WarmthInquiry::Start() { asio::co_spawn(context_.io, Watch(), asio::detached); }

asio::awaitable<void> WarmthInquiry::Watch() {
  Timer timer(context_.io);
  while (true) {
    timer.expires_after(kInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!context_.draining && context_.routing.Table() != nullptr) AskDue(Now());
  }
}

void WarmthInquiry::AskDue(TimePoint now) {
  Dispatcher& dispatcher = context_.dispatcher;
  for (const std::string& service : dispatcher.ServicesWithWarmUp()) {
    if (asking_ >= kMostAtOnce || !context_.placement.GrantsToCold(service, now)) continue;
    const ServiceRule* rule = context_.routing.Table()->FindService(service);
    if (rule == nullptr) continue;
    for (Backend& backend : dispatcher.TakeWarmthQuestions(service, kMostAtOnce - asking_, now)) {
      ++asking_;
      asio::co_spawn(context_.io, Ask(std::move(backend), rule->health_path), asio::detached);
    }
  }
}

asio::awaitable<void> WarmthInquiry::Ask(Backend backend, std::string path) {
  GlobalCounters().warmth_questions_total.Add();
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(path);
  Endpoint endpoint;
  (void)ParseEndpoint(backend.address, &endpoint);
  const TimePoint asked = Now();
  const absl::StatusOr<HttpResponse> response =
      co_await Fetch(context_.io.get_executor(), endpoint, request, kTimeout, kMostBytes);
  --asking_;
  std::optional<Duration> cold_left;
  if (response.ok()) {
    NoteAnswer(context_, backend, {response->status, response->headers, asked});
    cold_left = ColdLeftIn(*response, backend.id, context_.format.Names());
  }
  const bool settles = cold_left.has_value() &&
                       context_.dispatcher.NoteWarmth(backend.key, {*cold_left, asked}, Now());
  if (settles) GlobalCounters().warmth_told_total.Add();
  Log(settles ? LogLevel::kInfo : LogLevel::kDebug, "backend_warmth",
      {{"backend", backend.id},
       {"status", response.ok() ? std::to_string(response->status) : ""},
       {"cold_ms", cold_left.has_value() ? fmt::format("{:.0f}", ToMillis(*cold_left)) : ""},
       {"why", std::string(response.status().message())}});
}

}  // namespace cartsail
