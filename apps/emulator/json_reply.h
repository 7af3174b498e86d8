// Answers of the stand-ins' HTTP interfaces.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "cartsail/base/json.h"
#include "cartsail/net/http_server.h"

namespace cartsail::emulator {

inline boost::asio::awaitable<void> SendJson(HttpExchange& exchange, int status,
                                             json::object body) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = json::serialize(body);
  co_await exchange.Respond(std::move(response));
}

// A back end's word that it did not start a request, and why.
inline boost::asio::awaitable<void> SendRefusal(HttpExchange& exchange, int status,
                                                std::string kind) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}, {"X-Not-Started", "true"}};
  response.body = "{\"error\":{\"kind\":\"" + kind + "\"}}";
  co_await exchange.Respond(std::move(response));
}

}  // namespace cartsail::emulator
