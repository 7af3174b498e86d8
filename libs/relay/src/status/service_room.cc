#include "status/service_room.h"

namespace cartsail {

ServiceRoom RoomOf(const std::string& service, const Dispatcher& dispatcher, TimePoint now) {
  ServiceRoom room;
  room.service = service;
  for (const Backend* backend : dispatcher.Registry().ReadyOf(service)) {
    ++room.backends;
    if (backend->cold_until.has_value() && now < *backend->cold_until) ++room.cold;
    room.slots += backend->slots;
    room.requests += dispatcher.RequestsAt(backend->key);
  }
  for (const Backend* backend : dispatcher.Registry().DrainedOf(service)) {
    ++room.drained_backends;
    room.drained_requests += dispatcher.RequestsAt(backend->key);
  }
  return room;
}

std::vector<ServiceRoom> RoomOfAll(const RoutingDocument& document, const Dispatcher& dispatcher,
                                   TimePoint now) {
  std::vector<ServiceRoom> rooms;
  rooms.reserve(document.services.size());
  for (const ServiceRule& service : document.services) {
    rooms.push_back(RoomOf(service.name, dispatcher, now));
  }
  return rooms;
}

}  // namespace cartsail
