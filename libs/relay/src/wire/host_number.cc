#include "wire/host_number.h"

#include <boost/asio/ip/address_v4.hpp>

namespace cartsail {

uint32_t HostNumber(const std::string& host) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(host, error);
  return error ? 0 : address.to_uint();
}

std::string HostText(uint32_t number) { return boost::asio::ip::address_v4(number).to_string(); }

}  // namespace cartsail
