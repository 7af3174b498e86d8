#include "cartsail/relay/relay_node.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <optional>

#include "cartsail/base/counters.h"
#include "cartsail/base/hash.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/signals.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_server.h"
#include "catalog/catalog_path.h"
#include "catalog/catalog_sync.h"
#include "catalog/residency_audit.h"
#include "duties/duty_holder.h"
#include "duties/engine_ordering.h"
#include "duties/usage_reporter.h"
#include "fleet/peer_exchange.h"
#include "fleet/traffic_log.h"
#include "placement/cache_inventory.h"
#include "placement/warmup_prober.h"
#include "quarantine/quarantine_recorder.h"
#include "request/exchange.h"
#include "request/relay_server.h"
#include "status/drain_alarm.h"
#include "status/node_status.h"
#include "streams/stream_store.h"
#include "upstream/bridge_server.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kHousekeepingInterval = milliseconds(500);
constexpr char kRetryExtraKey[] = "cartsail/duty/retry-extra";
constexpr std::string_view kMetricsPath = "/metrics";
// When a whole fleet starts, all nodes fetch the catalog from the few that have it. A node that is
// refused soon learns of other sources. A link of 10 Mbit/s carries six catalogs of 3,000 back ends
// within the time limit of a fetch.
constexpr int kMaxConcurrentCatalogs = 6;
constexpr Duration kPathCheckInterval = milliseconds(100);
constexpr Duration kDrainPollInterval = milliseconds(50);
constexpr Duration kGraceMargin = milliseconds(400);  // left before the process would be killed
// For the final answers of requests that still run, before the process exits.
constexpr Duration kFinalAnswerTime = milliseconds(100);

// Share of the process's memory for requests bridged for other nodes. This node's own requests and
// answers have a separate limit.
constexpr double kBridgeShare = 0.1;

int64_t BridgeMemory(const RelayOptions& options) {
  return static_cast<int64_t>(kBridgeShare * static_cast<double>(options.memory_bytes));
}

Duration WatchTimeout(const DocumentLimits& limits, const std::string& node_id) {
  const auto spread = std::chrono::duration_cast<milliseconds>(limits.watch_jitter);
  const int64_t spread_ms = std::max<int64_t>(1, spread.count());
  return limits.min_watch + milliseconds(Hash64(node_id) % static_cast<uint64_t>(spread_ms));
}

class RelayNode {
 public:
  RelayNode(const RelayOptions& options, const RelayDeployment& deployment)
      : deployment_(deployment),
        io_(1),
        context_(io_, options, *deployment.format),
        store_(deployment.make_store(io_, WatchTimeout(context_.document_limits, options.node_id))),
        catalog_(context_, context_.peers, *store_, *deployment.codec, deployment.keys),
        stream_store_(*store_, deployment.keys.stream_prefix, options.node_id),
        recorder_(io_, *store_, deployment.keys.quarantine_prefix, context_.quarantine),
        retry_extra_(io_, *store_, kRetryExtraKey, kRetryExtraLease,
                     {options.node_id, options.first_start, [this] { return RetryExtraRank(); }}),
        exchange_(context_, catalog_),
        inventory_(context_),
        warmup_prober_(context_),
        server_(context_),
        bridges_(io_, {{options.peer.host, options.BridgePort()}, BridgeMemory(options)},
                 context_.dispatcher, context_.paths, context_.pool),
        signals_(io_, SIGTERM, SIGINT, SIGHUP) {
    UnblockSignals();
  }

  absl::Status Run() {
    context_.peers.SetLends(true);
    context_.peers.SetKeepsStreams(true);
    if (!deployment_.keys.stream_prefix.empty()) context_.streams.SetStore(&stream_store_);
    context_.streams.ProcessVerifier().SetEntryReader(
        [this](std::string id) { return ReadEntry(std::move(id)); });
    context_.retries.SetExtraLease([this] { return retry_extra_.Token(); });
    const absl::Status started = Start();
    if (!started.ok()) return started;
    Log(LogLevel::kInfo, "start",
        {{"node", context_.options.node_id},
         {"zone", context_.options.zone},
         {"listen", context_.options.listen.ToString()}});
    io_.run();
    Log(LogLevel::kInfo, "stop", {{"node", context_.options.node_id}});
    FlushLog();
    return absl::OkStatus();
  }

 private:
  absl::Status Start() {
    const auto handler = [this](HttpExchange& exchange) { return AnswerStatus(exchange); };
    status_server_ = MakeHttpServer(io_, context_.options.ready, HttpServerLimits(), handler);
    peer_server_ = MakeHttpServer(io_, context_.options.peer, HttpServerLimits(), handler);
    absl::Status status = status_server_->Start();
    if (status.ok()) status = peer_server_->Start();
    if (status.ok() && context_.options.metrics.port != 0) {
      metrics_server_ = MakeHttpServer(io_, context_.options.metrics, HttpServerLimits(), handler);
      status = metrics_server_->Start();
    }
    if (status.ok()) status = exchange_.Start();
    if (status.ok()) status = server_.Start();
    bridges_.SetBeforeRequest([this] { return context_.WaitForNews(); });
    if (status.ok()) status = bridges_.Start();
    if (!status.ok()) return status;
    const DisabledMechanisms& disabled = context_.options.placement.disabled;
    if (!disabled.IsEmpty()) {
      Log(LogLevel::kWarning, "mechanisms_off", {{"names", disabled.ToString()}});
    }
    context_.peers.SetBridges(true);
    context_.retries.Start();
    context_.streams.Start();
    if (context_.options.retry_budget.extra > 0) retry_extra_.Start();
    catalog_.Start();
    inventory_.Start();
    warmup_prober_.Start();
    StartDuties();
    asio::co_spawn(io_, HandleSignals(), asio::detached);
    asio::co_spawn(io_, RunHousekeeping(), asio::detached);
    asio::co_spawn(io_, WatchPaths(), asio::detached);
    return absl::OkStatus();
  }

  void StartDuties() {
    const DutyOptions& duties = context_.options.duties;
    if (!deployment_.make_duty_platform || !(duties.reports_usage || duties.orders_engines)) return;
    duty_platform_ = deployment_.make_duty_platform(io_);
    if (duties.reports_usage) {
      usage_reporter_.emplace(context_, *store_, *duty_platform_);
      usage_reporter_->Start();
    }
    if (duties.orders_engines) {
      engine_ordering_.emplace(context_, *store_, *duty_platform_);
      engine_ordering_->Start();
    }
  }

  asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>> ReadEntry(std::string id) {
    const absl::StatusOr<std::optional<Backend>> backend =
        co_await catalog_.ReadBackend(std::move(id));
    if (!backend.ok()) co_return backend.status();
    if (!backend->has_value()) co_return std::optional<EngineEntry>();
    co_return std::make_optional(EngineEntry{(*backend)->version, (*backend)->started_ms});
  }

  // This node's rank among the candidates for the lease on the extra retries; nullopt: not among
  // them.
  std::optional<size_t> RetryExtraRank() const {
    return OwnRank(context_.peers.RankLenders(kRetryExtraPurpose, kDutyCandidates, Now()));
  }

  asio::awaitable<void> StopDuties() {
    co_await retry_extra_.Stop();
    if (usage_reporter_.has_value()) co_await usage_reporter_->Stop();
    if (engine_ordering_.has_value()) co_await engine_ordering_->Stop();
  }

  bool IsReady() const { return !context_.draining && context_.HasCatalog(); }

  void UpdateGauges() {
    const TimePoint now = Now();
    Counters& counters = GlobalCounters();
    counters.ready.Set(IsReady() ? 1 : 0);
    counters.backends_known.Set(static_cast<int64_t>(context_.dispatcher.Registry().Size()));
    counters.requests_followed.Set(static_cast<int64_t>(context_.placement.Followed()));
    counters.held_bytes.Set(context_.request_memory->Total());
    counters.paths_cut.Set(static_cast<int64_t>(context_.paths.CutPaths()));
    counters.bridges_in_use.Set(static_cast<int64_t>(bridges_.InUse()));
    counters.members_live.Set(static_cast<int64_t>(context_.peers.LiveCount()) + 1);
    counters.catalog_reader.Set(catalog_.IsReading(now) ? 1 : 0);
    counters.zones_drained.Set(DrainedZones());
    counters.requests_quarantined.Set(static_cast<int64_t>(context_.quarantine.List().Size()));
    counters.drained_requests.Set(DrainedRequests(now));
    const Duration age = now - context_.routing.Confirmed();
    counters.config_age_milliseconds.Set(static_cast<int64_t>(ToMillis(age)));
  }

  int64_t DrainedZones() const {
    return static_cast<int64_t>(context_.dispatcher.Registry().Drains().Zones().size());
  }

  std::vector<ServiceCapacity> Rooms(TimePoint now) const {
    if (context_.routing.Table() == nullptr) return {};
    return CapacityOfAll(context_.routing.Table()->Document(), context_.dispatcher, now);
  }

  int64_t DrainedRequests(TimePoint now) const {
    if (context_.dispatcher.Registry().Drains().IsEmpty()) return 0;
    int64_t requests = 0;
    for (const ServiceCapacity& room : Rooms(now)) requests += room.drained_requests;
    return requests;
  }

  void CheckDrains(TimePoint now) {
    if (context_.dispatcher.Registry().Drains().IsEmpty()) return;
    for (const ServiceCapacity& room : Rooms(now)) {
      if (!drain_alarm_.IsDue(room, now)) continue;
      GlobalCounters().drain_alarms_total.Add();
      Log(LogLevel::kWarning, "drain_leaves_little_room",
          {{"service", room.service},
           {"requests", std::to_string(room.AllRequests())},
           {"of_these_in_drained_zones", std::to_string(room.drained_requests)},
           {"slots_left", std::to_string(room.slots)},
           {"share", fmt::format("{:.2f}", DrainAlarm::kMaxLoadShare)},
           {"backends_left", std::to_string(room.backends)},
           {"cold", std::to_string(room.cold)},
           {"backends_drained", std::to_string(room.drained_backends)}});
    }
  }

  // The status that operators' tools read: of the node, or of the back end named in the query.
  HttpResponse DescribeSelf(const HttpRequest& request) const {
    HttpResponse response;
    if (context_.routing.Table() == nullptr) {
      response.status = 503;
      return response;
    }
    const RelayOptions& options = context_.options;
    const NodeView view{options.node_id,      options.zone,
                        options.region,       IsReady(),
                        options.zone_regions, context_.routing.Table()->Document(),
                        context_.dispatcher,  context_.quarantine.List()};
    const std::string_view id = request.QueryParameter(kBackendParameter);
    const TimePoint now = Now();
    const std::optional<json::object> described =
        id.empty() ? DescribeNode(view, now) : DescribeBackend(view, id, now);
    if (!described.has_value()) {
      response.status = 404;
      return response;
    }
    response.headers = {{"Content-Type", "application/json"}};
    response.body = json::serialize(*described);
    return response;
  }

  asio::awaitable<void> AnswerStatus(HttpExchange& exchange) {
    HttpResponse response;
    const std::string_view path = exchange.Request().Path();
    if (path == deployment_.format->Names().ready_path) {
      response.status = IsReady() ? 200 : 503;
    } else if (path == kMetricsPath) {
      UpdateGauges();
      response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
      response.body = RenderCounters(GlobalCounters()) + RenderHistograms(GlobalHistograms());
    } else if (path == kStatusPath) {
      response = DescribeSelf(exchange.Request());
    } else if (path == kCatalogPath && context_.routing.Table() != nullptr) {
      co_await AnswerCatalog(exchange);
      co_return;
    } else {
      response.status = 404;
    }
    (void)co_await exchange.Respond(std::move(response));
  }

  asio::awaitable<void> AnswerCatalog(HttpExchange& exchange) {
    HttpResponse response;
    if (catalogs_in_progress_ >= kMaxConcurrentCatalogs) {
      response.status = 503;
      (void)co_await exchange.Respond(std::move(response));
      co_return;
    }
    ++catalogs_in_progress_;
    response.body = catalog_.AnswerPeer(exchange.Request());
    GlobalCounters().catalog_bytes_sent_total.Add(static_cast<int64_t>(response.body.size()));
    (void)co_await exchange.Respond(std::move(response));
    --catalogs_in_progress_;
  }

  asio::awaitable<void> RunHousekeeping() {
    Timer timer(io_);
    while (true) {
      timer.expires_after(kHousekeepingInterval);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      const TimePoint now = Now();
      context_.pool.Sweep(now);
      context_.dispatcher.Tick(now);
      context_.placement.Tick(now);
      context_.quarantine.Tick(now);
      AuditResidency(now);
      const std::optional<TrafficSent> sent = traffic_.Take(GlobalCounters(), now);
      if (sent.has_value()) LogTraffic(*sent);
      CheckDrains(now);
      FlushLog();
    }
  }

  asio::awaitable<void> WatchPaths() {
    Timer timer(io_);
    while (true) {
      timer.expires_after(kPathCheckInterval);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      context_.paths.Tick(Now());
    }
  }

  void AuditResidency(TimePoint now) {
    if (!context_.HasCatalog()) return;
    const RoutingDocument& document = context_.routing.Table()->Document();
    const BackendRegistry& registry = context_.dispatcher.Registry();
    for (const ResidencyFault& fault : residency_audit_.Check(document, registry, now)) {
      Log(LogLevel::kWarning, "residency_fault",
          {{"field", fault.field},
           {"value", fault.value},
           {"why", fault.why},
           {"service", fault.service},
           {"config", std::to_string(document.version)}});
    }
  }

  asio::awaitable<void> HandleSignals() {
    while (true) {
      boost::system::error_code error;
      const int signal =
          co_await signals_.async_wait(asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      if (signal == SIGHUP) {
        Reload();
        continue;
      }
      if (context_.draining) continue;
      asio::co_spawn(io_, Drain(), asio::detached);
    }
  }

  void Reload() {
    const absl::StatusOr<RelayOptions> options = deployment_.reload();
    const bool ok = options.ok();
    Log(ok ? LogLevel::kInfo : LogLevel::kError, "reload",
        {{"ok", ok ? "true" : "false"}, {"why", std::string(options.status().message())}});
    if (ok) exchange_.AddSeeds(options->seeds);
  }

  // Reports unready at once and keeps serving until the balancer has noticed. Then refuses new
  // requests and stops when all running ones have ended or the grace period is over.
  asio::awaitable<void> Drain() {
    const TimePoint begun = Now();
    context_.draining = true;
    bridges_.Drain();
    context_.peers.SetStopping();
    asio::co_spawn(io_, StopDuties(), asio::detached);
    Log(LogLevel::kInfo, "drain",
        {{"in_flight", std::to_string(context_.requests_in_flight)},
         {"connections", std::to_string(server_.OpenConnections())}});
    const TimePoint last = begun + context_.options.grace - kGraceMargin;
    const TimePoint noticed = std::min(begun + context_.options.balancer_delay, last);
    Timer timer(io_);
    boost::system::error_code ignored;
    timer.expires_at(noticed);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    server_.StopAccepting();
    context_.refusing = true;
    const TimePoint final_answers = last - kFinalAnswerTime;
    while (Now() < last) {
      if (Now() >= final_answers) EndRequests();
      server_.CloseIdle();
      const bool is_idle = context_.requests_in_flight == 0 && bridges_.InUse() == 0;
      if (is_idle && server_.OpenConnections() == 0) break;
      timer.expires_after(kDrainPollInterval);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    io_.stop();
  }

  // A request whose back end is silent would otherwise end with a closed connection.
  void EndRequests() {
    const std::set<Exchange*> running = std::exchange(context_.running, {});
    for (Exchange* exchange : running) exchange->OnProcessEnding();
  }

  const RelayDeployment& deployment_;
  asio::io_context io_;
  RelayContext context_;
  std::unique_ptr<KeyValueStore> store_;
  CatalogSync catalog_;
  StreamStore stream_store_;
  QuarantineRecorder recorder_;
  DutyHolder retry_extra_;
  PeerExchange exchange_;
  CacheInventory inventory_;
  WarmupProber warmup_prober_;
  ResidencyAudit residency_audit_;
  RelayServer server_;
  BridgeServer bridges_;
  DrainAlarm drain_alarm_;
  std::unique_ptr<DutyPlatform> duty_platform_;
  std::optional<UsageReporter> usage_reporter_;
  std::optional<EngineOrdering> engine_ordering_;
  std::unique_ptr<HttpServer> status_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  asio::signal_set signals_;
  TrafficLog traffic_{Now()};
  int catalogs_in_progress_ = 0;
};

}  // namespace

absl::Status RunRelayNode(const RelayOptions& options, const RelayDeployment& deployment) {
  RelayNode node(options, deployment);
  return node.Run();
}

}  // namespace cartsail
