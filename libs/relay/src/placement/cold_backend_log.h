// Tells in the log which back ends the coordinator holds for cold, why and until when, and that
// requests were refused because only cold ones were left. One thread.
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
  // The cold back ends of `service` now: logs those that have become cold or warm.
  void NoteCold(const std::string& service, const std::vector<ColdBackEnd>& cold, TimePoint now);

  // This node grants nothing to cold back ends of `service` any more.
  void Forget(const std::string& service) { services_.erase(service); }

  // A request was refused; it may be tried again after `wait`.
  void NoteRefused(const std::string& service, Duration wait);

 private:
  using SpellsById = std::map<std::string, ColdPeriod>;

  // A zone that comes back has some dozens of back ends; more lines tell nothing new.
  static constexpr double kChangesPerSecond = 20;
  static constexpr double kChangesAtOnce = 100;

  std::map<std::string, SpellsById> services_;
  LogRateLimit changes_{kChangesPerSecond, kChangesAtOnce};
  LogRateLimit refusals_{1, 2};  // lines a second; the counter tells how many there were
};

}  // namespace cartsail
