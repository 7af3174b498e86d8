// Lets the handlers of an io_context run until something has come about, in tests whose steps may
// be held up with the machine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace cartsail::testing {

// False when it takes more than 30 s.
inline bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kPatience(30);
  constexpr std::chrono::milliseconds kStep(10);
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    io.restart();
    io.run_for(kStep);
  }
  return true;
}

}  // namespace cartsail::testing
