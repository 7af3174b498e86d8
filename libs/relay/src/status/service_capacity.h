// What the back ends of a service have room for, and what still runs where no new request goes.
// Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// Requests as this node knows them: the node that places a service's requests knows all.
struct ServiceCapacity {
  std::string service;
  int64_t backends = 0;  // that may receive
  int64_t cold = 0;      // of these, still slow after their start
  int64_t slots = 0;
  int64_t requests = 0;
  int64_t drained_backends = 0;  // in drained zones
  int64_t drained_requests = 0;

  // Also those that run in drained zones: those that follow them come here.
  int64_t AllRequests() const { return requests + drained_requests; }
};

ServiceCapacity CapacityOf(const std::string& service, const Dispatcher& dispatcher, TimePoint now);

// Of all services of the document, in its order.
std::vector<ServiceCapacity> CapacityOfAll(const RoutingDocument& document,
                                           const Dispatcher& dispatcher, TimePoint now);

}  // namespace cartsail
