// Probes the health path of lost back ends for their remaining warm-up time, on the node that
// grants requests to cold back ends. Most requests avoid a back end that is considered cold, so
// without probes seconds may pass before an answer shows that it never restarted. Single-threaded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "cartsail/base/log.h"
#include "placement/health_query.h"
#include "relay_context.h"

namespace cartsail {

class WarmupProber {
 public:
  explicit WarmupProber(RelayContext& context) : context_(context) {}

  // Runs until the process ends.
  void Start();

 private:
  // A recovering zone has some dozens of back ends.
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
