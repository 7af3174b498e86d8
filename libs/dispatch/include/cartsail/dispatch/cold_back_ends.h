// Which back ends are cold, that is, still slow after a start, as far as this node knows. Sources
// are the back ends' entries, zones that were restored after a drain, and lost back ends that
// answer again, since these may have restarted before their entries say so. A lost back end is
// queried, because requests go elsewhere while it counts as cold. Only services with a warm-up are
// covered. Performs no I/O.
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
  kEntry,     // its entry says so
  kRestored,  // its zone was restored after a drain
  kLost,      // connections to it were lost; it may have restarted
};

std::string_view ColdReasonName(ColdReason reason);

struct ColdPeriod {
  ColdReason reason = ColdReason::kEntry;
  TimePoint until;
  // Requests granted before this time do not count against the allowance: if the back end is cold,
  // an earlier process received them.
  TimePoint since = TimePoint::min();
  bool needs_warmth_query = false;  // lost, and has not reported since then how long it stays cold
};

struct ServiceWarmUp {
  Duration length{};
  GrantAllowance allowance;     // what one node may grant to one cold back end
  bool reports_warmth = false;  // back ends can be queried for how long they stay cold
};

// The answer of a back end to the query how long it stays cold.
struct WarmthReport {
  Duration cold_left{};  // 0: it is warm
  TimePoint asked;       // when the query was sent
};

class ColdBackEnds {
 public:
  void SetRules(const std::vector<ServiceRule>& services, const ColdBound& bound);

  // The warm-up of `service`; nullptr: its back ends are never cold.
  const ServiceWarmUp* RuleOf(const std::string& service) const;

  // Names of the services with a warm-up.
  std::vector<std::string> Services() const;

  // Records that an attempt at `backend` that began at `begun` has ended, or has produced its first
  // output.
  void NoteOutcome(const Backend& backend, AttemptOutcome outcome, TimePoint begun, TimePoint now);

  // The cold period according to the entry and the zone of the back end; all nodes learn of these.
  std::optional<ColdPeriod> ReportedColdPeriodOf(const Backend& backend, const ServiceWarmUp& rule,
                                                 const ZoneDrains& drains, TimePoint now) const;

  // The cold period that ends last, from any source; nothing when the back end is warm.
  std::optional<ColdPeriod> ColdPeriodOf(const Backend& backend, const ServiceWarmUp& rule,
                                         const ZoneDrains& drains, TimePoint now) const;

  bool HasLosses() const { return !losses_.empty(); }

  // Lost back ends that have not reported since how long they stay cold, and whose next query is
  // due.
  std::vector<BackendKey> DueForWarmthQuery(TimePoint now) const;

  // Records that a query or a trial request was sent, and schedules the next one.
  void NoteAsked(BackendKey backend, TimePoint now);

  // As DueForWarmthQuery(), for a back end that cannot be queried: one request is to be sent to it,
  // and the answer shows that it is back.
  bool IsDueForTrial(const Backend& backend, TimePoint now) const;

  // Returns true when the report decides the cold period after a loss, which requires that the
  // query was sent after the loss.
  bool NoteWarmth(BackendKey backend, const WarmthReport& report, TimePoint now);

  // Forgets losses whose cold period has ended. To be called about once a second.
  void Expire(TimePoint now);

 private:
  struct Loss {
    TimePoint lost;
    TimePoint warm;  // end of the cold period, unless it is lost again
    bool answered = false;
    bool reported = false;  // has reported since the loss how long it stays cold
    int queries = 0;        // queries sent since the loss
    TimePoint next_query;
  };

  void NoteLoss(BackendKey backend, TimePoint warm, TimePoint now);

  std::map<std::string, ServiceWarmUp> rules_;
  std::unordered_map<BackendKey, Loss> losses_;
};

}  // namespace cartsail
