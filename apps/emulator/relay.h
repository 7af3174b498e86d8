// A TCP relay that a scenario puts into a link, to cut or delay it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "cartsail/base/clock.h"
#include "cartsail/net/http_types.h"

namespace cartsail::emulator {

enum class RelayMode {
  kPass,
  kRefuse,     // closes connections and refuses new ones
  kBlackHole,  // accepts and swallows: nothing passes, nothing is closed
};

// Runs on its io_context's thread; the setters may be called from any thread.
class Relay {
 public:
  virtual ~Relay() = default;
  virtual uint16_t Port() const = 0;
  // Existing connections follow too: kRefuse closes them, kBlackHole stops their traffic.
  virtual void SetMode(RelayMode mode) = 0;
  // Holds each piece of data back for `delay`.
  virtual void SetDelay(Duration delay) = 0;
};

std::unique_ptr<Relay> MakeRelay(boost::asio::io_context& context, uint16_t port, Endpoint target);

}  // namespace cartsail::emulator
