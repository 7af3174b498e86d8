#include "placement/warmup_prober.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kInterval = milliseconds(25);
constexpr Duration kIdleInterval = milliseconds(200);  // while no back end is lost, the usual case
// A recovering zone has some dozens of back ends; a silent one occupies a slot until its query
// times out.
constexpr size_t kMaxConcurrent = 32;

}  // namespace

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
  const HealthReport report = co_await QueryHealth(context_, backend, path);
  --probes_in_progress_;
  const std::optional<Duration> cold_left = report.answer.cold_left;
  if (cold_left.has_value() &&
      context_.dispatcher.NoteWarmth(backend.key, {*cold_left, report.asked}, Now())) {
    GlobalCounters().warmth_told_total.Add();
  }
  if (!lines_.Take(Now())) co_return;
  Log(LogLevel::kInfo, "backend_warmth",
      {{"backend", backend.id},
       {"status", report.status.ok() ? std::to_string(report.http_status) : ""},
       {"of_another", report.answer.is_of_another ? "true" : "false"},
       {"cold_ms", cold_left.has_value() ? fmt::format("{:.0f}", ToMillis(*cold_left)) : ""},
       {"why", std::string(report.status.message())}});
}

}  // namespace cartsail
