#include "placement/leaving_prober.h"

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
constexpr Duration kIdleInterval = milliseconds(200);  // while no back end is to be probed
constexpr size_t kMaxConcurrent = 32;

}  // namespace

void LeavingProber::Start() { asio::co_spawn(context_.io, Watch(), asio::detached); }

asio::awaitable<void> LeavingProber::Watch() {
  Timer timer(context_.io);
  while (true) {
    const bool is_idle = !context_.dispatcher.Registry().HasAmbiguousLeaving();
    timer.expires_after(is_idle ? kIdleInterval : kInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!context_.draining && context_.routing.Table() != nullptr) ProbeDue(Now());
  }
}

void LeavingProber::ProbeDue(TimePoint now) {
  Dispatcher& dispatcher = context_.dispatcher;
  if (!dispatcher.Registry().HasAmbiguousLeaving()) return;
  const std::shared_ptr<const RouteTable> table = context_.routing.Table();
  for (const ServiceRule& rule : table->Document().services) {
    if (rule.health_path.empty() || probes_in_progress_ >= kMaxConcurrent) continue;
    const GrantAuthority authority = context_.placement.GrantRightFor(rule.name, now);
    for (Backend& backend : dispatcher.TakeLeavingQueries(
             rule.name, kMaxConcurrent - probes_in_progress_, now, authority)) {
      ++probes_in_progress_;
      asio::co_spawn(context_.io, Probe(std::move(backend), rule.health_path), asio::detached);
    }
  }
}

asio::awaitable<void> LeavingProber::Probe(Backend backend, std::string path) {
  GlobalCounters().leaving_questions_total.Add();
  const HealthReport report = co_await QueryHealth(context_, backend, path);
  --probes_in_progress_;
  const bool is_not_leaving = report.answer.is_not_leaving;
  if (is_not_leaving) context_.dispatcher.Registry().NoteNotLeaving(backend.key, report.asked);
  if (!lines_.Take(Now())) co_return;
  Log(LogLevel::kInfo, "backend_stays",
      {{"backend", backend.id},
       {"status", report.status.ok() ? std::to_string(report.http_status) : ""},
       {"of_another", report.answer.is_of_another ? "true" : "false"},
       {"stays", is_not_leaving ? "true" : "false"},
       {"why", std::string(report.status.message())}});
}

}  // namespace cartsail
