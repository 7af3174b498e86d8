// Which back ends are cold, as far as this node knows: slow after a start for a while. Their
// entries tell; a zone that was restored, and a back end that was lost and answers again, may have
// started before their entries tell. One that was lost is asked, since requests go elsewhere while
// it is held for cold. Only services with a warm-up count. Pure.
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

struct ColdPeriod {
  ColdReason reason = ColdReason::kEntry;
  TimePoint until;
  // What it got before does not count: if it is cold, another process got it.
  TimePoint since = TimePoint::min();
  bool needs_warmth_query = false;  // it has not told since it was lost how long it stays cold
};

struct ServiceWarmUp {
  Duration length{};
  GrantAllowance allowance;     // of one node to one cold back end
  bool reports_warmth = false;  // back ends can be asked how long they stay cold
};

// What a back end that was asked how long it stays cold has told.
struct WarmthReport {
  Duration cold_left{};  // 0: it is warm
  TimePoint asked;       // when the question was sent
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
  std::optional<ColdPeriod> ReportedColdPeriodOf(const Backend& backend, const ServiceWarmUp& rule,
                                                 const ZoneDrains& drains, TimePoint now) const;

  // The spell that ends last; nothing where the back end is warm.
  std::optional<ColdPeriod> ColdPeriodOf(const Backend& backend, const ServiceWarmUp& rule,
                                         const ZoneDrains& drains, TimePoint now) const;

  bool HasLosses() const { return !losses_.empty(); }

  // Those that were lost, have not told since how long they stay cold, and were not asked just
  // before.
  std::vector<BackendKey> DueForWarmthQuery(TimePoint now) const;

  void NoteAsked(BackendKey backend, TimePoint now);

  // The same for one that can't be asked: a request is to go there, whose answer tells that it is
  // back.
  bool IsDueForTrial(const Backend& backend, TimePoint now) const;

  // True when that ends or settles a spell after a loss: the question was sent after it.
  bool NoteWarmth(BackendKey backend, const WarmthReport& answer, TimePoint now);

  // Drops losses that no longer matter. To be called about once a second.
  void Expire(TimePoint now);

 private:
  struct Loss {
    TimePoint lost;
    TimePoint warm;  // unless it is lost again
    bool answered = false;
    bool told = false;  // how long it stays cold
    int questions = 0;  // since it was lost
    TimePoint next_question;
  };

  void NoteLoss(BackendKey backend, TimePoint warm, TimePoint now);

  std::map<std::string, ServiceWarmUp> rules_;
  std::unordered_map<BackendKey, Loss> losses_;
};

}  // namespace cartsail
