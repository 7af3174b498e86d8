// The callers' HTTP interface, on one traffic thread.
//
//   POST /v1/chat/completions       model traffic, streaming or not
//   GET  /v1/streams/STREAM         resumes a stream (Last-Event-ID or ?offset=)
//   any  /services/SERVICE/PATH     plain services
//
// Headers: Authorization: Bearer KEY; X-Service and X-Class name the class; Idempotency-Key for
// classes that may not run twice.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>

#include "cartsail/gateway/control_plane.h"
#include "cartsail/net/http_server.h"

namespace cartsail {

class Gateway {
 public:
  virtual ~Gateway() = default;
  virtual boost::asio::awaitable<void> Handle(HttpExchange& exchange) = 0;
};

// `control` must outlive the gateway. `executor` is the traffic thread's.
std::unique_ptr<Gateway> MakeGateway(boost::asio::any_io_executor executor, ControlPlane& control);

// The response for a request that does not parse.
HttpResponse ParseErrorResponse(const absl::Status& status);

}  // namespace cartsail
