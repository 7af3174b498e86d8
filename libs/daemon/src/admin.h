// The operators' HTTP port: /livez, /readyz, /metrics, /status, /requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cartsail/base/json.h"
#include "cartsail/net/http_server.h"

namespace cartsail {

struct AdminSources {
  std::function<bool()> ready;
  std::function<json::object()> status;
  std::function<std::string()> requests;  // the request log
};

std::unique_ptr<HttpServer> MakeAdminServer(boost::asio::io_context& context, Endpoint endpoint,
                                            AdminSources sources);

}  // namespace cartsail
