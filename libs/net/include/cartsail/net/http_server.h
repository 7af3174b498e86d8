// An HTTP/1.1 server over Boost.Beast. One instance serves one io_context; several may listen on
// the same port (SO_REUSEPORT), one per traffic thread.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "cartsail/base/clock.h"
#include "cartsail/net/http_types.h"

namespace cartsail {

struct HttpServerLimits {
  uint32_t header_bytes = 1 << 14;
  uint64_t body_bytes = 1 << 20;
  Duration idle_timeout = seconds(75);   // between requests and while one arrives
  Duration write_timeout = seconds(30);  // a reader that takes nothing for so long is cut
};

// One request being answered. Either Respond() once, or BeginStream(), any number of Write(),
// then EndStream().
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Sends a whole response. kConnectionLost when the peer has gone.
  virtual boost::asio::awaitable<absl::Status> Respond(HttpResponse response) = 0;

  // Sends the status line and headers of a chunked response.
  virtual boost::asio::awaitable<absl::Status> BeginStream(int status, HttpHeaders headers) = 0;

  // Sends one chunk and returns when the kernel has taken it, so that a slow reader slows its
  // producer. kConnectionLost or kTimeout when the peer has gone or takes nothing.
  virtual boost::asio::awaitable<absl::Status> Write(std::string_view chunk) = 0;
  virtual boost::asio::awaitable<absl::Status> EndStream() = 0;

  // Closes the connection without ending the response, so that the caller sees the cut.
  virtual void Abort() = 0;

  // Calls `on_closed` once if the peer closes while the request is being answered. Replaces the
  // earlier function; an empty one stops the watch.
  virtual void WatchPeer(std::function<void()> on_closed) = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

// Turns requests that do not parse (or exceed a limit) into a response.
using HttpParseErrorHandler = std::function<HttpResponse(const absl::Status&)>;

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Binds and starts accepting; kInvalidArgument when the address cannot be bound.
  virtual absl::Status Start() = 0;

  // Closes the listening socket. Running exchanges go on; kept-alive connections close after
  // their current exchange.
  virtual void StopAccepting() = 0;

  // The port bound (of use when the endpoint's port was 0).
  virtual uint16_t Port() const = 0;
};

// `on_parse_error` may be empty: a plain status line is sent then.
std::unique_ptr<HttpServer> MakeHttpServer(boost::asio::io_context& context, Endpoint endpoint,
                                           HttpServerLimits limits, HttpHandler handler,
                                           HttpParseErrorHandler on_parse_error = {});

}  // namespace cartsail
