// Periodic log of the traffic sent to other nodes, by kind of message. Helps to diagnose fleets
// whose nodes are busier than client traffic explains. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "cartsail/base/clock.h"
#include "cartsail/base/counters.h"

namespace cartsail {

// Bytes sent, except `fetches`, which counts catalog fetches.
struct TrafficSent {
  int64_t gossip = 0;
  int64_t digest = 0;
  int64_t placement = 0;
  int64_t document = 0;
  int64_t update = 0;
  int64_t far = 0;      // part of the above sent to other zones
  int64_t catalog = 0;  // catalogs served to other nodes
  int64_t fetches = 0;  // catalogs requested

  bool operator==(const TrafficSent& other) const = default;
};

TrafficSent operator-(const TrafficSent& total, const TrafficSent& before);

class TrafficLog {
 public:
  // Interval between log lines. At about 150 bytes per interval they are negligible next to request
  // logs.
  static constexpr Duration kInterval = seconds(10);

  explicit TrafficLog(TimePoint now) : since_(now) {}

  // Returns the traffic since the last line; empty when the interval has not passed or nothing was
  // sent.
  std::optional<TrafficSent> Take(const Counters& counters, TimePoint now);

 private:
  TimePoint since_;
  TrafficSent last_;
};

// Writes one log line at info level.
void LogTraffic(const TrafficSent& sent);

}  // namespace cartsail
