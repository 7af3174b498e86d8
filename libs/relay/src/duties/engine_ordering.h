// Autoscaling: orders engines for the services whose number of engines the platform allows to be
// chosen, while this node holds the ordering duty. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "cartsail/duties/capacity_planner.h"
#include "cartsail/relay/duty_options.h"
#include "cartsail/relay/duty_platform.h"
#include "cartsail/store/key_value_store.h"
#include "duties/duty_holder.h"
#include "relay_context.h"

namespace cartsail {

class EngineOrdering {
 public:
  EngineOrdering(RelayContext& context, KeyValueStore& store, DutyPlatform& platform);

  // Starts the planning, which runs until the process ends.
  void Start();

  // Releases the duty, for a planned shutdown.
  boost::asio::awaitable<void> Stop() { return holder_.Stop(); }

 private:
  // Identifies an order in progress: at most one for each service, zone and kind.
  using OrderKey = std::tuple<std::string, std::string, EngineKind>;

  boost::asio::awaitable<void> Run();
  std::optional<size_t> Rank() const;
  std::string FirstScaledService() const;
  void PlanAll(FencingToken token, TimePoint now);
  CapacityView View(const ServiceRule& service, TimePoint now) const;
  void AddTo(CapacityView* view, const Backend& backend, TimePoint now) const;
  boost::asio::awaitable<void> SendOrder(std::string service, EngineOrder order,
                                         FencingToken token);

  RelayContext& context_;
  DutyPlatform& platform_;
  DutyHolder holder_;
  FencingToken token_ = 0;                           // under which `planners_` were made; 0: none
  std::map<std::string, CapacityPlanner> planners_;  // by service
  std::set<OrderKey> in_progress_;
};

}  // namespace cartsail
