// Accepts callers' connections and runs the exchanges of each connection one after the other.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "relay_context.h"
#include "request/caller_connection.h"

namespace cartsail {

class RelayServer {
 public:
  explicit RelayServer(RelayContext& context);

  // Returns kInvalidArgument if the listen address is not an IP address or cannot be bound.
  absl::Status Start();

  // Closes the listening socket; open connections stay open.
  void StopAccepting();

  // Closes the connections that are between two requests.
  void CloseIdle();

  size_t OpenConnections() const { return callers_.size(); }
  uint16_t Port() const { return port_; }

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<CallerConnection> caller);
  boost::asio::awaitable<void> AnswerFault(CallerConnection& caller, ErrorKind fault);

  RelayContext& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<CallerConnection>> callers_;
  uint16_t port_ = 0;
};

}  // namespace cartsail
