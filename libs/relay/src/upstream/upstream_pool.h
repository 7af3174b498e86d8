// Pool of idle connections, keyed by the back end's incarnation: connections to an earlier
// incarnation are never reused. Not thread-safe.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/connection_share.h"
#include "upstream/upstream_connection.h"

namespace cartsail {

class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::any_io_executor executor) : executor_(executor) {}

  // Sets the limit of idle connections per back end; kMaxIdleConnections by default.
  using MostIdle = std::function<size_t(BackendKey backend)>;
  void SetMostIdle(MostIdle most_idle) { most_idle_ = std::move(most_idle); }

  // Takes an idle connection that is still quiet and that `may_use` accepts; nullptr if none.
  using MayUse = std::function<bool(const UpstreamConnection& connection)>;
  std::shared_ptr<UpstreamConnection> TakeIdle(
      BackendKey backend, TimePoint now,
      const MayUse& may_use = [](const UpstreamConnection&) { return true; });

  // Creates a connection that is not yet connected.
  std::shared_ptr<UpstreamConnection> MakeNew();

  // Keeps a reusable connection, closes any other.
  void Return(BackendKey backend, std::shared_ptr<UpstreamConnection> connection);

  // Keeps a connection that was established but has not carried a request.
  void Keep(BackendKey backend, std::shared_ptr<UpstreamConnection> connection, TimePoint now);

  // Closes the idle connections to a back end: the next request gets a new one.
  void CloseIdle(BackendKey backend);

  // Closes all idle connections on paths of this node's own.
  void CloseOwn();

  // Up to `most` back ends to which there is an idle connection.
  std::vector<BackendKey> Connected(size_t most) const;

  // Closes idle connections that the peer closed or that expired. Called about once a second.
  void Sweep(TimePoint now);

 private:
  boost::asio::any_io_executor executor_;
  MostIdle most_idle_ = [](BackendKey) { return kMaxIdleConnections; };
  std::unordered_map<BackendKey, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
};

}  // namespace cartsail
