// A caller taking up a stream again, at any node.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>

#include "caller.h"
#include "cartsail/net/http_client.h"
#include "cartsail/net/http_server.h"

namespace cartsail {

// The name of a place in a stream: "ENGINE.ATTEMPT" or "ENGINE.ATTEMPT:OFFSET".
struct StreamPosition {
  std::string engine;
  std::string attempt;
  int64_t offset = 0;  // tokens already received
};

// False when `text` names no stream.
bool ParseStreamPosition(std::string_view text, StreamPosition* position);

// Streams the rest of the answer to the caller.
boost::asio::awaitable<void> ResumeStream(boost::asio::any_io_executor executor,
                                          HttpConnectionPool& pool, ControlPlane& control,
                                          HttpExchange& exchange, Caller caller,
                                          StreamPosition position);

}  // namespace cartsail
