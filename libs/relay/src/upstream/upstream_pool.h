// Idle connections to back ends, by the back end's incarnation: those of an earlier one are never
// used again. One thread.
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

  // How many idle connections may be kept to a back end; kMaxIdleConnections where it is not set.
  using MostIdle = std::function<size_t(BackendKey backend)>;
  void SetMostIdle(MostIdle most_idle) { most_idle_ = std::move(most_idle); }

  // An idle connection that is still quiet and of which `may_use` says so, or nullptr.
  using MayUse = std::function<bool(const UpstreamConnection& connection)>;
  std::shared_ptr<UpstreamConnection> TakeIdle(
      BackendKey backend, TimePoint now,
      const MayUse& may_use = [](const UpstreamConnection&) { return true; });

  // Not yet connected.
  std::shared_ptr<UpstreamConnection> MakeNew();

  // Keeps a reusable connection, closes any other.
  void Return(BackendKey backend, std::shared_ptr<UpstreamConnection> connection);

  // Keeps a connection that was made and not used yet.
  void Keep(BackendKey backend, std::shared_ptr<UpstreamConnection> connection, TimePoint now);

  // Closes the idle connections to a back end: the next request gets a new one.
  void CloseIdle(BackendKey backend);

  // Closes all idle connections on paths of this node's own.
  void CloseOwn();

  // Back ends to which there is an idle connection, `most` at most.
  std::vector<BackendKey> Connected(size_t most) const;

  // Closes idle connections that ended or may not be used any more. About once a second.
  void Sweep(TimePoint now);

 private:
  boost::asio::any_io_executor executor_;
  MostIdle most_idle_ = [](BackendKey) { return kMaxIdleConnections; };
  std::unordered_map<BackendKey, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
};

}  // namespace cartsail
