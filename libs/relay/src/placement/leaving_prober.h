// Probes the health path of back ends that restarted about when a leaving notice was read. Either
// process may have sent the notice, so that requests avoid the new one and no answer shows that it
// stays. Each node probes for itself, because the notice binds only the nodes that read it.
// Single-threaded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "cartsail/base/log.h"
#include "placement/health_query.h"
#include "relay_context.h"

namespace cartsail {

class LeavingProber {
 public:
  explicit LeavingProber(RelayContext& context) : context_(context) {}

  // Runs until the process ends.
  void Start();

 private:
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kLinesAtOnce = 100;

  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> Probe(Backend backend, std::string path);
  void ProbeDue(TimePoint now);

  RelayContext& context_;
  size_t probes_in_progress_ = 0;
  LogRateLimit lines_{kLinesPerSecond, kLinesAtOnce};
};

}  // namespace cartsail
