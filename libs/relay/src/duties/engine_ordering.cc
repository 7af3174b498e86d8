#include "duties/engine_ordering.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kDutyKey[] = "cartsail/duty/engines";
constexpr Duration kPlanInterval = milliseconds(250);

std::string_view NameOf(EngineKind kind) {
  return kind == EngineKind::kReclaimable ? "reclaimable" : "full_price";
}

std::string_view NameOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kNoCapacity:
      return "none_to_be_had";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace

EngineOrdering::EngineOrdering(RelayContext& context, KeyValueStore& store, DutyPlatform& platform)
    : context_(context),
      platform_(platform),
      holder_(context.io, store, kDutyKey, context.options.duties.lease,
              {context.options.node_id, context.options.first_start, [this] { return Rank(); }}) {}

void EngineOrdering::Start() {
  holder_.Start();
  asio::co_spawn(context_.io, Run(), asio::detached);
}

std::string EngineOrdering::FirstScaledService() const {
  if (context_.routing.Table() == nullptr) return {};
  for (const ServiceRule& service : context_.routing.Table()->Document().services) {
    if (service.scaling.has_value()) return service.name;
  }
  return {};
}

// The candidates are the nodes that place the first scaled service's requests: they know its load.
std::optional<size_t> EngineOrdering::Rank() const {
  const std::string service = FirstScaledService();
  if (service.empty()) return std::nullopt;
  return OwnRank(context_.peers.RankCoordinators(service, kDutyCandidates, Now()));
}

asio::awaitable<void> EngineOrdering::Run() {
  Timer timer(context_.io);
  while (true) {
    timer.expires_after(kPlanInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::optional<FencingToken> token = holder_.MayAct();
    if (!token.has_value() || context_.routing.Table() == nullptr) continue;
    if (*token != token_) {
      token_ = *token;
      planners_.clear();
    }
    PlanAll(*token, Now());
  }
}

void EngineOrdering::AddTo(CapacityView* view, const Backend& backend, TimePoint now) const {
  ZoneEngines& zone = view->engines[backend.zone];
  const bool is_cold = backend.cold_until.has_value() && now < *backend.cold_until;
  ++(backend.reclaimable ? zone.reclaimable : zone.full_price);
  if (is_cold) ++(backend.reclaimable ? zone.cold_reclaimable : zone.cold_full_price);
  const int64_t requests = context_.dispatcher.RequestsAt(backend.key);
  zone.requests += requests;
  view->requests += requests;
  view->slots = backend.slots;
}

CapacityView EngineOrdering::View(const ServiceRule& service, TimePoint now) const {
  const BackendRegistry& registry = context_.dispatcher.Registry();
  CapacityView view;
  view.scaling = *service.scaling;
  if (service.warm_up.has_value()) view.warm_up = service.warm_up->length;
  const std::vector<std::string> drained = registry.Drains().Zones();
  view.drained_zones = {drained.begin(), drained.end()};
  for (const Backend* backend : registry.ReadyOf(service.name)) AddTo(&view, *backend, now);
  for (const Backend* backend : registry.DrainedOf(service.name)) AddTo(&view, *backend, now);
  return view;
}

void EngineOrdering::PlanAll(FencingToken token, TimePoint now) {
  for (const ServiceRule& service : context_.routing.Table()->Document().services) {
    if (!service.scaling.has_value()) continue;
    CapacityPlanner& planner = planners_
                                   .try_emplace(service.name, context_.options.duties.capacity,
                                                context_.options.first_start)
                                   .first->second;
    const CapacityView view = View(service, now);
    for (const EngineOrder& order : planner.Plan(view, now)) {
      if (!in_progress_.insert({service.name, order.zone, order.kind}).second) continue;
      const auto zone = view.engines.find(order.zone);
      const ZoneEngines there = zone == view.engines.end() ? ZoneEngines() : zone->second;
      Log(LogLevel::kInfo, "engines_ordered",
          {{"service", service.name},
           {"zone", order.zone},
           {"kind", std::string(NameOf(order.kind))},
           {"engines", std::to_string(order.engines)},
           {"full_price_there", std::to_string(there.full_price)},
           {"reclaimable_there", std::to_string(there.reclaimable)},
           {"cold_there", std::to_string(there.cold_full_price + there.cold_reclaimable)},
           {"zone_drained", view.drained_zones.contains(order.zone) ? "true" : "false"},
           {"requests", std::to_string(view.requests)},
           {"wanted", std::to_string(planner.Wanted())},
           {"token", std::to_string(token)}});
      asio::co_spawn(context_.io, SendOrder(service.name, order, token), asio::detached);
    }
  }
}

asio::awaitable<void> EngineOrdering::SendOrder(std::string service, EngineOrder order,
                                                FencingToken token) {
  OrderOutcome outcome = OrderOutcome::kAccepted;
  if (context_.options.duties.capacity.sends_orders) {
    holder_.NoteAct();
    const DutyCredentials credentials{context_.options.node_id, token};
    const absl::Status status = co_await platform_.OrderEngines(credentials, service, order);
    holder_.NoteAct();
    GlobalCounters().engine_orders_total.Add();
    if (!status.ok()) {
      const bool is_refused = KindOf(status) == ErrorKind::kConflict;
      outcome = is_refused ? OrderOutcome::kNoCapacity : OrderOutcome::kUnknown;
      GlobalCounters().engine_orders_failed_total.Add();
      Log(LogLevel::kWarning, "engine_order_failed",
          {{"service", service},
           {"zone", order.zone},
           {"kind", std::string(NameOf(order.kind))},
           {"outcome", std::string(NameOf(outcome))},
           {"why", std::string(status.message())}});
      // If the platform refused because of a greater token, the record in the store is another
      // node's.
      if (is_refused) (void)co_await holder_.Confirm();
    }
  }
  in_progress_.erase({service, order.zone, order.kind});
  if (token != token_) co_return;
  const auto planner = planners_.find(service);
  if (planner != planners_.end()) planner->second.OnOrdered(order, outcome, Now());
}

}  // namespace cartsail
