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

// After a restart of all nodes, callers reconnect within tens of milliseconds.
constexpr Duration kStartupInterval = milliseconds(25);
constexpr Duration kInterval = milliseconds(500);
constexpr Duration kStartupPeriod = seconds(6);  // ranks settle within some seconds of a start
// Time for which a node must be first in rank before it queries engines. Nodes that start together
// discover each other within the shorter time. A node that has discovered no other waits longer,
// since others may be about to start.
constexpr Duration kSettleTime = milliseconds(100);
constexpr Duration kSettleTimeAlone = seconds(1);
// An engine delays its work while it lists its cache, so few engines are queried at a time, and
// only by the coordinator.
constexpr int kMaxConcurrent = 8;
// Engines of one service to query when this node becomes its coordinator. Querying each of 10,000
// engines would take longer than their answers are remembered, and would cost as many probes and
// new connections.
constexpr size_t kMaxQueried = 256;
constexpr Duration kTimeout = milliseconds(500);  // a list of some thousand parts over a slow link
constexpr size_t kMaxBytes = 4 << 20;
constexpr int kOk = 200;

}  // namespace

absl::StatusOr<std::vector<PromptPart>> CacheInventory::PartsOf(
    const absl::StatusOr<HttpResponse>& response) const {
  if (!response.ok()) return response.status();
  if (response->status != kOk) {
    return MakeError(ErrorKind::kBackendRefused,
                     fmt::format("engine answered with status {}", response->status));
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
    const bool just_started = Now() - started_ < kStartupPeriod;
    timer.expires_after(just_started ? kStartupInterval : kInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    Check(Now());
  }
}

void CacheInventory::Check(TimePoint now) {
  if (context_.draining || context_.routing.Table() == nullptr) return;
  // When the whole system starts, all caches are empty.
  const bool all_empty = context_.options.first_start && now - started_ < kStartupPeriod;
  const Duration wait = context_.peers.LiveCount() > 0 ? kSettleTime : kSettleTimeAlone;
  for (const std::string& service : context_.routing.Table()->EngineServices()) {
    Coordination& coordination = services_[service];
    const std::vector<std::string> ranks = context_.peers.RankCoordinators(service, 1, now);
    const bool is_first = !ranks.empty() && ranks.front().empty();
    if (is_first != coordination.is_first) coordination = {now, is_first, false};
    if (!is_first || coordination.queried || now - coordination.since < wait) continue;
    if (context_.dispatcher.Registry().ReadyOf(service).empty()) continue;
    coordination.queried = true;
    if (!all_empty) Enqueue(service);
  }
}

void CacheInventory::Enqueue(const std::string& service) {
  std::vector<const Backend*> engines = context_.dispatcher.Registry().ReadyOf(service);
  std::shuffle(engines.begin(), engines.end(), random_);
  const size_t queried = std::min(engines.size(), kMaxQueried);
  for (size_t i = 0; i < engines.size(); ++i) {
    if (seen_.insert(engines[i]->key).second && i < queried) queue_.push_back(*engines[i]);
  }
  while (queries_in_progress_ < kMaxConcurrent &&
         queries_in_progress_ < static_cast<int>(queue_.size())) {
    ++queries_in_progress_;
    asio::co_spawn(context_.io, QueryQueued(), asio::detached);
  }
}

asio::awaitable<void> CacheInventory::QueryQueued() {
  while (!queue_.empty()) {
    Backend engine = std::move(queue_.front());
    queue_.pop_front();
    co_await Query(std::move(engine));
  }
  --queries_in_progress_;
}

asio::awaitable<void> CacheInventory::Query(Backend engine) {
  Endpoint endpoint;
  if (!ParseEndpoint(engine.address, &endpoint)) co_return;
  // The engine has requested a back-off, limits its rate, or is shutting down. Its cache becomes
  // known from requests instead.
  if (!context_.dispatcher.Registry().MayAsk(engine.key, Now())) {
    Log(LogLevel::kInfo, "cache_inventory_skipped", {{"backend", engine.id}});
    co_return;
  }
  HttpRequest request;
  request.method = "GET";
  request.target = context_.format.Names().cached_parts_path;
  const TimePoint queried = Now();
  const auto response =
      co_await Fetch(context_.io.get_executor(), endpoint, request, kTimeout, kMaxBytes);
  if (response.ok()) NoteAnswer(context_, engine, {response->status, response->headers, queried});
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
