#include "status/service_capacity.h"

namespace cartsail {

ServiceCapacity CapacityOf(const std::string& service, const Dispatcher& dispatcher,
                           TimePoint now) {
  ServiceCapacity capacity;
  capacity.service = service;
  for (const Backend* backend : dispatcher.Registry().ReadyOf(service)) {
    ++capacity.backends;
    if (backend->cold_until.has_value() && now < *backend->cold_until) ++capacity.cold;
    capacity.slots += backend->slots;
    capacity.requests += dispatcher.RequestsAt(backend->key);
  }
  for (const Backend* backend : dispatcher.Registry().DrainedOf(service)) {
    ++capacity.drained_backends;
    capacity.drained_requests += dispatcher.RequestsAt(backend->key);
  }
  return capacity;
}

std::vector<ServiceCapacity> CapacityOfAll(const RoutingDocument& document,
                                           const Dispatcher& dispatcher, TimePoint now) {
  std::vector<ServiceCapacity> capacities;
  capacities.reserve(document.services.size());
  for (const ServiceRule& service : document.services) {
    capacities.push_back(CapacityOf(service.name, dispatcher, now));
  }
  return capacities;
}

}  // namespace cartsail
