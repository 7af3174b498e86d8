#include "placement/cache_inventory.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "request/answer_notices.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// After a restart of all nodes callers come back within tens of milliseconds.
constexpr Duration kFirstInterval = milliseconds(25);
constexpr Duration kInterval = milliseconds(500);
constexpr Duration kFirstIntervalsFor = seconds(6);  // ranks settle some seconds after a start
// A node that has heard others is first in rank for this long before it asks: nodes that start
// together hear of each other within it. One that has heard nobody waits longer, since others may
// be about to start.
constexpr Duration kSettled = milliseconds(100);
constexpr Duration kAlone = seconds(1);
// An engine holds its work up while it lists, so few nodes ask, and few engines at a time.
constexpr int kMostAtOnce = 8;
// Of one service, when this node becomes its coordinator: asking each of 10,000 engines would take
// longer than what they hold is remembered, and cost as many probes and new connections.
constexpr size_t kMostAsked = 256;
constexpr Duration kTimeout = milliseconds(500);  // a list of some thousand parts over a slow link
constexpr size_t kMostBytes = 4 << 20;
constexpr int kOk = 200;

}  // namespace

absl::StatusOr<std::vector<PromptPart>> CacheInventory::PartsOf(
    const absl::StatusOr<HttpResponse>& response) const {
  if (!response.ok()) return response.status();
  if (response->status != kOk) {
    return MakeError(ErrorKind::kBackendRefused, fmt::format("status {}", response->status));
  }
  return context_.format.ParseCachedParts(response->body);
}

void CacheInventory::Start() {
  if (context_.format.Names().cached_parts_path.empty()) return;
  if (context_.options.placement.disabled.Has(Mechanism::kCacheInventory)) return;
  started_ = Now();
  asio::co_spawn(context_.io, Watch(), asio::detached);
}

asio::awaitable<void> CacheInventory::Watch() {
  Timer timer(context_.io);
  while (true) {
    const bool just_started = Now() - started_ < kFirstIntervalsFor;
    timer.expires_after(just_started ? kFirstInterval : kInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    Check(Now());
  }
}

void CacheInventory::Check(TimePoint now) {
  if (context_.draining || context_.routing.Table() == nullptr) return;
  // All engines start empty together with the whole system.
  const bool all_empty = context_.options.first_start && now - started_ < kFirstIntervalsFor;
  const Duration wait = context_.peers.LiveCount() > 0 ? kSettled : kAlone;
  for (const std::string& service : context_.routing.Table()->EngineServices()) {
    Coordination& coordination = services_[service];
    const std::vector<std::string> ranks = context_.peers.RankCoordinators(service, 1, now);
    const bool is_first = !ranks.empty() && ranks.front().empty();
    if (is_first != coordination.is_first) coordination = {now, is_first, false};
    if (!is_first || coordination.asked || now - coordination.since < wait) continue;
    if (context_.dispatcher.Registry().ReadyOf(service).empty()) continue;
    coordination.asked = true;
    if (!all_empty) Enqueue(service);
  }
}

void CacheInventory::Enqueue(const std::string& service) {
  std::vector<const Backend*> engines = context_.dispatcher.Registry().ReadyOf(service);
  std::shuffle(engines.begin(), engines.end(), random_);
  const size_t asked = std::min(engines.size(), kMostAsked);
  for (size_t i = 0; i < engines.size(); ++i) {
    if (known_.insert(engines[i]->key).second && i < asked) waiting_.push_back(*engines[i]);
  }
  while (asking_ < kMostAtOnce && asking_ < static_cast<int>(waiting_.size())) {
    ++asking_;
    asio::co_spawn(context_.io, AskWaiting(), asio::detached);
  }
}

asio::awaitable<void> CacheInventory::AskWaiting() {
  while (!waiting_.empty()) {
    Backend engine = std::move(waiting_.front());
    waiting_.pop_front();
    co_await Ask(std::move(engine));
  }
  --asking_;
}

asio::awaitable<void> CacheInventory::Ask(Backend engine) {
  Endpoint endpoint;
  if (!ParseEndpoint(engine.address, &endpoint)) co_return;
  // It has asked this node to back off, takes a bounded rate, or leaves: what it holds is learned
  // from requests.
  if (!context_.dispatcher.Registry().MayAsk(engine.key, Now())) {
    Log(LogLevel::kInfo, "cache_inventory_skipped", {{"backend", engine.id}});
    co_return;
  }
  HttpRequest request;
  request.method = "GET";
  request.target = context_.format.Names().cached_parts_path;
  const TimePoint asked = Now();
  const auto response =
      co_await Fetch(context_.io.get_executor(), endpoint, request, kTimeout, kMostBytes);
  if (response.ok()) NoteAnswer(context_, engine, {response->status, response->headers, asked});
  const absl::StatusOr<std::vector<PromptPart>> parts = PartsOf(response);
  if (parts.ok()) context_.dispatcher.NoteHeld(engine.key, *parts, Now());
  Counters& counters = GlobalCounters();
  (parts.ok() ? counters.cache_inventories_total : counters.cache_inventories_failed_total).Add();
  Log(parts.ok() ? LogLevel::kInfo : LogLevel::kWarning, "cache_inventory",
      {{"backend", engine.id},
       {"parts", parts.ok() ? std::to_string(parts->size()) : ""},
       {"why", std::string(parts.status().message())}});
}

}  // namespace cartsail
