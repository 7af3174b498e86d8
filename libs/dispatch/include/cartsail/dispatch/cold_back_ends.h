// Which back ends are cold, as far as this node knows: slow after a start for a while. Their
// entries tell; a zone that was restored, and a back end that was lost and answers again, may have
// started before their entries tell. Only services with a warm-up count. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/attempt_outcome.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/grant_allowances.h"
#include "cartsail/dispatch/zone_drains.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

enum class ColdReason {
  kEntry,     // its entry tells
  kRestored,  // its zone was restored after a drain
  kLost,      // connections to it were lost, and it may have started again
};

std::string_view ColdReasonName(ColdReason reason);

struct ColdSpell {
  ColdReason reason = ColdReason::kEntry;
  TimePoint until;
  // What it got before does not count: if it is cold, another process got it.
  TimePoint since = TimePoint::min();
};

struct ServiceWarmUp {
  Duration length{};
  GrantAllowance allowance;  // of one node to one cold back end
};

class ColdBackEnds {
 public:
  void SetRules(const std::vector<ServiceRule>& services, const ColdBound& bound);

  // nullptr: the service's back ends are never cold.
  const ServiceWarmUp* RuleOf(const std::string& service) const;

  // Services with a warm-up.
  std::vector<std::string> Services() const;

  // An attempt at `backend` that began at `begun` has ended, or its first output has come.
  void NoteOutcome(const Backend& backend, AttemptOutcome outcome, TimePoint begun, TimePoint now);

  // As its entry and the drained zones tell, which all nodes hear.
  std::optional<ColdSpell> ToldSpellOf(const Backend& backend, const ServiceWarmUp& rule,
                                       const ZoneDrains& drains, TimePoint now) const;

  // The spell that ends last; nothing where the back end is warm.
  std::optional<ColdSpell> SpellOf(const Backend& backend, const ServiceWarmUp& rule,
                                   const ZoneDrains& drains, TimePoint now) const;

  // Drops losses that no longer matter. To be called about once a second.
  void Expire(TimePoint now);

 private:
  struct Loss {
    TimePoint lost;
    TimePoint warm;  // unless it is lost again
    bool answered = false;
  };

  std::map<std::string, ServiceWarmUp> rules_;
  std::unordered_map<BackendKey, Loss> losses_;
};

}  // namespace cartsail
