// HTTP messages as plain structs. Beast stays inside this library's sources.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cartsail/net/body_end.h"

namespace cartsail {

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The first header called `name` (case-insensitive), or an empty view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// Answers of these statuses have no body.
inline bool HasNoBody(int status) { return status == 204 || status == 304; }

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  // path and query as sent
  HttpHeaders headers;
  std::string body;

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
  // The target up to the query.
  std::string_view Path() const;
  // The value of query parameter `name`, not decoded; empty when absent.
  std::string_view QueryParameter(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  BodyEnd body_end = BodyEnd::kWhole;  // of one that was received

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

// A TCP address. `host` is an IP number.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  std::string ToString() const;
  bool operator==(const Endpoint&) const = default;
};

// Parses "IP:PORT"; false when it is not that.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

}  // namespace cartsail
