// Capacity and load of the backends of a service, including requests still running in drained
// zones. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// Request counts are this node's view; only the node that places a service's requests knows all of
// them.
struct ServiceCapacity {
  std::string service;
  int64_t backends = 0;          // that may receive requests
  int64_t cold = 0;              // of `backends`, still cold after their start
  int64_t slots = 0;             // of `backends`
  int64_t requests = 0;          // running on `backends`
  int64_t drained_backends = 0;  // in drained zones
  int64_t drained_requests = 0;

  // Includes requests in drained zones, whose successors will run on `backends`.
  int64_t AllRequests() const { return requests + drained_requests; }
};

ServiceCapacity CapacityOf(const std::string& service, const Dispatcher& dispatcher, TimePoint now);

// For all services of the document, in document order.
std::vector<ServiceCapacity> CapacityOfAll(const RoutingDocument& document,
                                           const Dispatcher& dispatcher, TimePoint now);

}  // namespace cartsail
