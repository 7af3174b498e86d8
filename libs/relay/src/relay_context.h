// State that all exchanges of one node share. Single-threaded.
#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "cartsail/base/hash.h"
#include "cartsail/base/timer.h"
#include "cartsail/dispatch/connection_share.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/relay/document_limits.h"
#include "cartsail/relay/relay_options.h"
#include "cartsail/relay/routing_state.h"
#include "cartsail/relay/wire_format.h"
#include "catalog/backend_list_state.h"
#include "duties/usage_counting.h"
#include "fleet/peer_table.h"
#include "fleet/peer_verification.h"
#include "fleet/standstill.h"
#include "placement/placement_service.h"
#include "quarantine/quarantine_service.h"
#include "request/memory_budget.h"
#include "retries/retry_service.h"
#include "streams/stream_service.h"
#include "upstream/path_service.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

// Share of the process's memory for requests and answers. The rest is for the node's view of the
// fleet and for fragmentation of the heap between large and small blocks.
inline constexpr double kRequestMemoryShare = 0.4;

// In bytes.
inline int64_t RequestMemoryLimit(const RelayOptions& options) {
  return static_cast<int64_t>(kRequestMemoryShare * static_cast<double>(options.memory_bytes));
}

class Exchange;

struct RelayContext {
  RelayContext(boost::asio::io_context& io_context, const RelayOptions& relay_options,
               const WireFormat& wire_format)
      : io(io_context),
        options(relay_options),
        // One read of the store serves all deadlines, so the shortest one sets the limits.
        document_limits(DocumentLimitsFor(
            std::min({relay_options.document_deadline, relay_options.zone_drain_deadline,
                      relay_options.backend_drain_deadline}))),
        format(wire_format),
        verification(document_limits.max_list_age_to_send),
        news(io_context, TimePoint::max()),
        dispatcher(relay_options.placement, relay_options.zone,
                   RegionMap(relay_options.zone_regions),
                   static_cast<uint32_t>(Hash64(relay_options.node_id))),
        peers({relay_options.node_id, relay_options.zone, false, relay_options.capacity, {}},
              Now()),
        request_memory(std::make_shared<MemoryBudget>(RequestMemoryLimit(relay_options))),
        pool(io_context.get_executor()),
        paths(io_context, options.connect_timeout, relay_options.BridgePort(), dispatcher, peers,
              pool),
        placement(io_context, dispatcher, peers, pool),
        quarantine(io_context, relay_options.peer.host, relay_options.connect_timeout, dispatcher,
                   peers, pool,
                   [this](Backend backend) {
                     return paths.Examine(std::move(backend), Now(), ConnectResult::kRefused);
                   }),
        usage(peers, relay_options.duties.usage, relay_options.duties.reports_usage),
        retries(io_context, peers, relay_options.retry_budget),
        streams(io_context, peers, dispatcher.Registry(), routing,
                document_limits.max_age_to_refuse_unknown) {
    pool.SetMostIdle([this](BackendKey backend) { return MaxIdleConnectionsTo(backend); });
  }

  // True once the node has the routing document and at least one back end.
  bool HasCatalog() const { return routing.Table() != nullptr && dispatcher.Registry().Size() > 0; }

  // Recomputes as of when this node's document and list of back ends are verified.
  void UpdateVerification(TimePoint now);

  // True if requests must not be sent yet: this node's list of back ends may be too old.
  bool MustWaitForNews(TimePoint now);

  // Waits until this node no longer MustWaitForNews().
  boost::asio::awaitable<void> WaitForNews();

  // Lets the requests in WaitForNews() go on if they need no longer wait. To be called after news,
  // and several times a second.
  void WakeWaiting(TimePoint now);

  // Maximum number of idle connections that this node keeps to the back end.
  size_t MaxIdleConnectionsTo(BackendKey backend) const {
    const Backend* known = dispatcher.Registry().FindByKey(backend);
    if (known == nullptr || routing.Table() == nullptr) return kMaxIdleConnections;
    const ServiceRule* service = routing.Table()->FindService(known->service);
    if (service == nullptr) return kMaxIdleConnections;
    return IdleConnectionsPerNode(service->max_connections, peers.NodesNotEnded());
  }

  boost::asio::io_context& io;
  RelayOptions options;
  DocumentLimits document_limits;
  const WireFormat& format;
  RoutingState routing;
  BackendListState backend_list;
  Standstill standstill;
  PeerVerification verification;
  Timer news;  // never expires; cancelled to wake what waits for news
  Dispatcher dispatcher;
  PeerTable peers;
  std::shared_ptr<MemoryBudget> request_memory;
  UpstreamPool pool;
  PathService paths;
  PlacementService placement;
  QuarantineService quarantine;
  UsageCounting usage;
  RetryService retries;
  StreamService streams;
  int64_t requests_in_flight = 0;
  std::set<Exchange*> running;  // requests that were admitted and have not ended
  bool draining = false;        // the node is stopping; running requests continue
  bool refusing = false;        // the node is about to exit: new requests are refused
};

}  // namespace cartsail
