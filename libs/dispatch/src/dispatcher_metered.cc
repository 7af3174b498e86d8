// How the dispatcher keeps metered back ends, cold ones and those that named a rate, from more
// requests than they bear.
#include <algorithm>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_allowances.h"

namespace cartsail {
namespace {

// A node without the right cannot tell when a window opens. By then the caller may reach a node
// that can, or a coordinator has taken over.
constexpr Duration kRetryWithoutRight = milliseconds(500);

}  // namespace

std::optional<ColdPeriod> Dispatcher::ColdPeriodOf(const Backend& backend, TimePoint now) const {
  const ServiceWarmUp* warm_up = cold_.RuleOf(backend.service);
  if (warm_up == nullptr) return std::nullopt;
  return cold_.ColdPeriodOf(backend, *warm_up, registry_.Drains(), now);
}

// 0: it is warm, or may get a request now.
Duration Dispatcher::WaitForCold(const Backend& backend, TimePoint now,
                                 const GrantAuthority& right) const {
  const std::optional<ColdPeriod> spell = ColdPeriodOf(backend, now);
  if (!spell.has_value()) return Duration(0);
  const Duration left = spell->until - now;
  if (!right.to_cold) return std::min<Duration>(left, kRetryWithoutRight);
  GrantAllowance allowance = cold_.RuleOf(backend.service)->allowance;
  allowance.since = spell->since;
  // Left for the question, which ends the spell: requests would take each grant as it comes about.
  if (spell->needs_warmth_query) allowance.most = std::max<int64_t>(allowance.most - 1, 1);
  return std::min(left, grants_.WaitFor(backend.key, allowance, now));
}

// 0: it named no rate, or may get a request now.
Duration Dispatcher::WaitForLimited(const Backend& backend, TimePoint now,
                                    const GrantAuthority& right) const {
  const std::optional<RateLimit> limit = registry_.Limits().Of(backend.key);
  if (!limit.has_value()) return Duration(0);
  if (right.limited_share <= 0) return kRetryWithoutRight;
  Duration wait(0);
  for (const GrantAllowance& allowance :
       AllowancesOfLimited(limit->per_s, right.limited_share, limit->first_named)) {
    wait = std::max(wait, grants_.WaitFor(backend.key, allowance, now));
  }
  return wait;
}

// 0: it is not brittle, or may get a request now.
Duration Dispatcher::WaitForBrittle(const Backend& backend, TimePoint now,
                                    const GrantAuthority& right) const {
  const std::optional<RateLimit> bears = registry_.Brittle().Of(backend.key);
  if (!bears.has_value()) return Duration(0);
  if (right.limited_share <= 0) return kRetryWithoutRight;
  const BrittleAllowance allowance =
      AllowanceOfBrittle(bears->per_s, right.limited_share, backend.slots);
  const int64_t requests = loads_.Total(backend.key).requests;
  return brittle_.WaitFor(backend.key, allowance, requests, grants_, now);
}

Duration Dispatcher::WaitForMetered(const Backend& backend, TimePoint now,
                                    const GrantAuthority& right) const {
  return std::max({WaitForCold(backend, now, right), WaitForLimited(backend, now, right),
                   WaitForBrittle(backend, now, right)});
}

// What this node may grant to it in the long run, in requests a second.
double Dispatcher::LimitedRate(const Backend& backend, const GrantAuthority& right) const {
  const std::optional<RateLimit> limit = registry_.Limits().Of(backend.key);
  return limit.has_value() ? GrantedRate(limit->per_s, right.limited_share) : 0;
}

// Known by its entry or its zone. What nodes saw lost differs from node to node, and the
// coordinator hears most of it.
bool Dispatcher::IsReportedCold(const Backend& backend, TimePoint now) const {
  const ServiceWarmUp* warm_up = cold_.RuleOf(backend.service);
  if (warm_up == nullptr) return false;
  return cold_.ReportedColdPeriodOf(backend, *warm_up, registry_.Drains(), now).has_value();
}

// It is limited by a word that whoever knew those read by `words_known` did not know.
bool Dispatcher::HasLaterRateLimit(BackendKey backend, TimePoint words_known) const {
  const std::optional<RateLimit> limit = registry_.Limits().Of(backend);
  return limit.has_value() && limit->read > words_known;
}

bool Dispatcher::MaySend(const Placement& placement, const RequestProfile& profile,
                         TimePoint now) const {
  if (!MayReceive(placement.backend.key, profile, now)) return false;
  if (placement.send_by.has_value()) return now <= *placement.send_by;
  const Backend* known = registry_.FindByKey(placement.backend.key);
  return !IsReportedCold(*known, now) &&
         !HasLaterRateLimit(known->key, placement.rate_notices_known);
}

bool Dispatcher::IsMetered(const Backend& backend, TimePoint now) const {
  return ColdPeriodOf(backend, now).has_value() || registry_.Limits().Of(backend.key).has_value() ||
         registry_.Brittle().Of(backend.key).has_value();
}

// Each choice of a metered back end is a grant, which holds for a short time.
void Dispatcher::NoteMetered(Placement* placement, TimePoint now) const {
  if (IsMetered(placement->backend, now)) placement->send_by = now + kGrantLifetime;
}

std::optional<Duration> Dispatcher::MeteredWait(const RequestProfile& profile,
                                                const std::vector<BackendKey>& tried, TimePoint now,
                                                const GrantAuthority& right) {
  const PlacementView view = View({"", zone_, {}}, profile, tried, now, right);
  if (!view.candidates.empty() || !view.metered_wait.has_value()) return std::nullopt;
  if (view.limited_per_s <= 0) return view.metered_wait;
  return returns_[profile.service].Next(*view.metered_wait, view.limited_per_s, now);
}

std::vector<Backend> Dispatcher::TakeWarmthQueries(const std::string& service, size_t most,
                                                   TimePoint now) {
  std::vector<Backend> questions;
  const ServiceWarmUp* warm_up = cold_.RuleOf(service);
  if (warm_up == nullptr || !warm_up->reports_warmth) return questions;
  for (const BackendKey key : cold_.DueForWarmthQuery(now)) {
    if (questions.size() >= most) break;
    const Backend* backend = registry_.FindOpen(key);
    if (backend == nullptr || backend->service != service || !registry_.MayAsk(key, now)) continue;
    if (grants_.WaitFor(key, warm_up->allowance, now) > Duration(0)) continue;
    grants_.NoteGrant(key, now);
    cold_.NoteAsked(key, now);
    questions.push_back(*backend);
  }
  return questions;
}

std::vector<ColdBackEnd> Dispatcher::ColdOf(const std::string& service, TimePoint now) const {
  std::vector<ColdBackEnd> cold;
  for (const Backend* backend : registry_.ReadyOf(service)) {
    const std::optional<ColdPeriod> spell = ColdPeriodOf(*backend, now);
    if (spell.has_value()) cold.push_back({*backend, *spell});
  }
  return cold;
}

}  // namespace cartsail
