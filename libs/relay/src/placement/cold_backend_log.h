// Logs which back ends the coordinator considers cold, why and until when, and that requests were
// refused because only metered back ends were left. Single-threaded.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/log.h"
#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {

class ColdBackendLog {
 public:
  // `cold`: all cold back ends of `service` at `now`. Logs those that have become cold or warm.
  void NoteCold(const std::string& service, const std::vector<ColdBackEnd>& cold, TimePoint now);

  // Call when this node no longer grants requests to cold back ends of `service`.
  void Forget(const std::string& service) { services_.erase(service); }

  // Counts and logs a refused request, which may be retried after `wait`.
  void NoteRefused(const std::string& service, Duration wait);

 private:
  using SpellsById = std::map<std::string, ColdPeriod>;

  // A recovering zone has some dozens of back ends; further lines would add nothing.
  static constexpr double kChangesPerSecond = 20;
  static constexpr double kChangesAtOnce = 100;

  std::map<std::string, SpellsById> services_;
  LogRateLimit changes_{kChangesPerSecond, kChangesAtOnce};
  LogRateLimit refusals_{1, 2};  // lines per second and at once; a counter has the total
};

}  // namespace cartsail
