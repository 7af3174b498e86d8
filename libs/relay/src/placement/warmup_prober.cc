#include "placement/warmup_prober.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"
#include "cartsail/dispatch/cold_limits.h"
#include "cartsail/net/http_client.h"
#include "request/answer_notices.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kInterval = milliseconds(25);
constexpr Duration kIdleInterval = milliseconds(200);  // while no back end is lost, the usual case
// A recovering zone has some dozens of back ends; a silent one occupies a slot for kTimeout.
constexpr size_t kMaxConcurrent = 32;
constexpr Duration kTimeout = milliseconds(500);
constexpr size_t kMaxBytes = 64 << 10;
constexpr int kOk = 200;

}  // namespace

HealthAnswer ParseHealthAnswer(const HttpResponse& response, std::string_view id,
                               const WireNames& names) {
  HealthAnswer answer;
  const std::string_view instance = FindHeader(response.headers, names.instance);
  answer.is_of_another = !instance.empty() && instance != id;
  if (instance != id) return answer;
  const std::string_view told = FindHeader(response.headers, names.cold_left);
  if (told.empty()) {
    if (response.status == kOk) answer.cold_left = Duration(0);
    return answer;
  }
  double cold_ms = 0;
  const bool is_time = absl::SimpleAtod({told.data(), told.size()}, &cold_ms) && cold_ms >= 0 &&
                       cold_ms <= ToMillis(kMaxColdPeriod);
  if (is_time) answer.cold_left = FromSeconds(cold_ms / 1e3);
  return answer;
}

void WarmupProber::Start() { asio::co_spawn(context_.io, Watch(), asio::detached); }

asio::awaitable<void> WarmupProber::Watch() {
  Timer timer(context_.io);
  while (true) {
    timer.expires_after(context_.dispatcher.HasLostBackEnds() ? kInterval : kIdleInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!context_.draining && context_.routing.Table() != nullptr) ProbeDue(Now());
  }
}

void WarmupProber::ProbeDue(TimePoint now) {
  Dispatcher& dispatcher = context_.dispatcher;
  for (const std::string& service : dispatcher.ServicesWithWarmUp()) {
    if (probes_in_progress_ >= kMaxConcurrent || !context_.placement.GrantsToCold(service, now))
      continue;
    const ServiceRule* rule = context_.routing.Table()->FindService(service);
    if (rule == nullptr) continue;
    for (Backend& backend :
         dispatcher.TakeWarmthQueries(service, kMaxConcurrent - probes_in_progress_, now)) {
      ++probes_in_progress_;
      asio::co_spawn(context_.io, Probe(std::move(backend), rule->health_path), asio::detached);
    }
  }
}

asio::awaitable<void> WarmupProber::Probe(Backend backend, std::string path) {
  GlobalCounters().warmth_questions_total.Add();
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(path);
  Endpoint endpoint;
  (void)ParseEndpoint(backend.address, &endpoint);
  const TimePoint asked = Now();
  const absl::StatusOr<HttpResponse> response =
      co_await Fetch(context_.io.get_executor(), endpoint, request, kTimeout, kMaxBytes);
  --probes_in_progress_;
  HealthAnswer answer;
  if (response.ok()) {
    NoteAnswer(context_, backend, {response->status, response->headers, asked});
    answer = ParseHealthAnswer(*response, backend.id, context_.format.Names());
    NoteHealth(backend, answer, asked);
  }
  if (!lines_.Take(Now())) co_return;
  const std::optional<Duration> cold_left = answer.cold_left;
  Log(LogLevel::kInfo, "backend_warmth",
      {{"backend", backend.id},
       {"status", response.ok() ? std::to_string(response->status) : ""},
       {"of_another", answer.is_of_another ? "true" : "false"},
       {"cold_ms", cold_left.has_value() ? fmt::format("{:.0f}", ToMillis(*cold_left)) : ""},
       {"why", std::string(response.status().message())}});
}

void WarmupProber::NoteHealth(const Backend& backend, const HealthAnswer& answer, TimePoint asked) {
  Dispatcher& dispatcher = context_.dispatcher;
  // As when another instance rejects a request: the process with this id has ended.
  if (answer.is_of_another) dispatcher.Registry().MarkLeaving(backend.key);
  if (!answer.cold_left.has_value()) return;
  if (dispatcher.NoteWarmth(backend.key, {*answer.cold_left, asked}, Now())) {
    GlobalCounters().warmth_told_total.Add();
  }
}

}  // namespace cartsail
