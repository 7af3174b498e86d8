// Orders engines for the services whose number of engines the platform lets be chosen, while this
// node holds that duty. One thread.
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

  // Runs until the process ends.
  void Start();

  // Gives the duty up, for a planned stop.
  boost::asio::awaitable<void> Stop() { return holder_.Stop(); }

 private:
  // An order under way: one at a time for each service, zone and kind.
  using LineKey = std::tuple<std::string, std::string, EngineKind>;

  boost::asio::awaitable<void> Run();
  std::optional<size_t> Rank() const;
  std::string FirstScaledService() const;
  void PlanAll(FencingToken token, TimePoint now);
  CapacityView View(const ServiceRule& service, TimePoint now) const;
  void AddTo(CapacityView* view, const Backend& backend, TimePoint now) const;
  boost::asio::awaitable<void> Give(std::string service, EngineOrder order, FencingToken token);

  RelayContext& context_;
  DutyPlatform& platform_;
  DutyHolder holder_;
  FencingToken token_ = 0;                           // under which `planners_` were made
  std::map<std::string, CapacityPlanner> planners_;  // by service
  std::set<LineKey> under_way_;
};

}  // namespace cartsail
