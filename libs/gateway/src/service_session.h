// One call of a plain service.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>

#include "caller.h"
#include "cartsail/net/http_client.h"
#include "cartsail/net/http_server.h"

namespace cartsail {

// What a plain back end serves, as the scheduler's model name.
std::string ServiceModel(const std::string& backend_group);

// Forwards the exchange's request to a back end of the class's group, as `path`.
boost::asio::awaitable<void> ForwardCall(boost::asio::any_io_executor executor,
                                         HttpConnectionPool& pool, ControlPlane& control,
                                         HttpExchange& exchange, Caller caller, std::string path);

}  // namespace cartsail
