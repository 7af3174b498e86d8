// Relays exchanges with back ends for nodes whose own path is cut. A bridge couples one connection
// from another node with one to the back end and forwards bytes as they arrive. The node that has
// the caller decides on the back end, on repeats and on time limits. Not thread-safe.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/net/http_types.h"
#include "upstream/path_service.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

class Bridge;

struct BridgeServerOptions {
  Endpoint listen;
  int64_t memory_bytes = 0;  // memory limit of all bridges; at least one bridge is allowed
};

class BridgeServer {
 public:
  BridgeServer(boost::asio::io_context& io, BridgeServerOptions options,
               const Dispatcher& dispatcher, PathService& paths, UpstreamPool& pool);
  ~BridgeServer();

  // Sets what a bridge waits for before it decides whether to forward a request; nothing by
  // default.
  void SetBeforeRequest(std::function<boost::asio::awaitable<void>()> wait) {
    before_request_ = std::move(wait);
  }

  // Starts listening; kInvalidArgument if the address is invalid or cannot be bound.
  absl::Status Start();

  // Stops forwarding new requests; those in progress continue.
  void Drain() { draining_ = true; }

  // Number of bridges with a request in progress.
  size_t InUse() const;

 private:
  friend class Bridge;

  boost::asio::awaitable<void> Accept();

  boost::asio::io_context& io_;
  BridgeServerOptions options_;
  const Dispatcher& dispatcher_;
  PathService& paths_;
  UpstreamPool& pool_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Bridge>> bridges_;
  size_t most_bridges_;
  std::function<boost::asio::awaitable<void>()> before_request_;
  bool draining_ = false;
};

}  // namespace cartsail
