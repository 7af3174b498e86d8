#include "cartsail/net/http_types.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>

namespace cartsail {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(absl::string_view(header.name),
                               absl::string_view(name.data(), name.size()))) {
      return header.value;
    }
  }
  return {};
}

std::string_view HttpRequest::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::QueryParameter(std::string_view name) const {
  const std::string_view all = target;
  size_t position = all.find('?');
  while (position != std::string_view::npos) {
    const size_t start = position + 1;
    const size_t end = all.find('&', start);
    const std::string_view pair =
        all.substr(start, end == std::string_view::npos ? end : end - start);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    position = end;
  }
  return {};
}

std::string Endpoint::ToString() const { return fmt::format("{}:{}", host, port); }

bool ParseEndpoint(std::string_view text, Endpoint* endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  uint32_t port = 0;
  const std::string_view port_text = text.substr(colon + 1);
  if (!absl::SimpleAtoi(absl::string_view(port_text.data(), port_text.size()), &port)) return false;
  if (port > 65535) return false;
  const std::string host(text.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  if (error) return false;
  endpoint->host = host;
  endpoint->port = static_cast<uint16_t>(port);
  return true;
}

}  // namespace cartsail
