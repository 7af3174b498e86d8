// Learns how long streams run after their first output, by service and longest pause. Performs no
// I/O.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "cartsail/base/clock.h"

namespace cartsail {

class RunTimes {
 public:
  explicit RunTimes(Duration initial) : initial_(initial) {}

  void Note(const std::string& service, Duration longest_pause, Duration run_time);

  // Moving average over recent streams; `initial` until one was recorded.
  Duration Mean(const std::string& service, Duration longest_pause) const;

 private:
  using Kind = std::pair<std::string, Duration>;  // service and longest pause

  Duration initial_;
  std::map<Kind, Duration> means_;
};

}  // namespace cartsail
