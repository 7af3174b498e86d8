// What a node sent to other nodes, by kind of message, for a log line a few times a minute: a fleet
// whose nodes are busier than their callers explain is read off these lines. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "cartsail/base/clock.h"
#include "cartsail/base/counters.h"

namespace cartsail {

// Bytes, but for the fetches.
struct TrafficSent {
  int64_t gossip = 0;
  int64_t digest = 0;
  int64_t placement = 0;
  int64_t document = 0;
  int64_t update = 0;
  int64_t far = 0;      // of all these: to other zones
  int64_t catalog = 0;  // handed to other nodes
  int64_t fetches = 0;  // catalogs asked for

  bool operator==(const TrafficSent& other) const = default;
};

TrafficSent operator-(const TrafficSent& total, const TrafficSent& before);

class TrafficLog {
 public:
  // Between two lines: with some 150 bytes in that time they do not count beside those of requests.
  static constexpr Duration kInterval = seconds(10);

  explicit TrafficLog(TimePoint now) : since_(now) {}

  // What was sent since the last line; nothing when that is too recent or nothing was sent.
  std::optional<TrafficSent> Take(const Counters& counters, TimePoint now);

 private:
  TimePoint since_;
  TrafficSent told_;
};

// One line, at info.
void LogTraffic(const TrafficSent& sent);

}  // namespace cartsail
