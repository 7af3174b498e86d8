// Limits on metered back ends: cold, rate-limited and brittle ones receive no more requests than
// they accept.
#include <algorithm>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_allowances.h"

namespace cartsail {
namespace {

// A node without authority cannot tell when a grant becomes available. By then the caller may reach
// a node that can, or a coordinator has taken over.
constexpr Duration kRetryWithoutAuthority = milliseconds(500);

}  // namespace

std::optional<ColdPeriod> Dispatcher::ColdPeriodOf(const Backend& backend, TimePoint now) const {
  const ServiceWarmUp* warm_up = cold_.RuleOf(backend.service);
  if (warm_up == nullptr) return std::nullopt;
  return cold_.ColdPeriodOf(backend, *warm_up, registry_.Drains(), now);
}

// Time until a cold back end may get a request; 0: it is warm, or may get one now.
Duration Dispatcher::WaitForCold(const Backend& backend, TimePoint now,
                                 const GrantAuthority& authority) const {
  const std::optional<ColdPeriod> period = ColdPeriodOf(backend, now);
  if (!period.has_value()) return Duration(0);
  const Duration left = period->until - now;
  if (!authority.to_cold) return std::min<Duration>(left, kRetryWithoutAuthority);
  GrantAllowance allowance = cold_.RuleOf(backend.service)->allowance;
  allowance.since = period->since;
  // One grant is reserved for the warmth query, which ends the cold period: requests would use up
  // each grant as it becomes available.
  if (period->needs_warmth_query) allowance.most = std::max<int64_t>(allowance.most - 1, 1);
  return std::min(left, grants_.WaitFor(backend.key, allowance, now));
}

// Time until a rate-limited back end may get a request; 0: it has no rate limit, or may get one
// now.
Duration Dispatcher::WaitForLimited(const Backend& backend, TimePoint now,
                                    const GrantAuthority& authority) const {
  const std::optional<RateLimit> limit = registry_.Limits().Of(backend.key);
  if (!limit.has_value()) return Duration(0);
  if (authority.limited_share <= 0) return kRetryWithoutAuthority;
  Duration wait(0);
  for (const GrantAllowance& allowance :
       AllowancesOfLimited(limit->per_s, authority.limited_share, limit->first_named)) {
    wait = std::max(wait, grants_.WaitFor(backend.key, allowance, now));
  }
  return wait;
}

// Time until a brittle back end may get a request; 0: it is not brittle, or may get one now.
Duration Dispatcher::WaitForBrittle(const Backend& backend, TimePoint now,
                                    const GrantAuthority& authority) const {
  const std::optional<RateLimit> tolerated = registry_.Brittle().Of(backend.key);
  if (!tolerated.has_value()) return Duration(0);
  if (authority.limited_share <= 0) return kRetryWithoutAuthority;
  const BrittleAllowance allowance =
      AllowanceOfBrittle(tolerated->per_s, authority.limited_share, backend.slots);
  const int64_t requests = loads_.Total(backend.key).requests;
  return brittle_.WaitFor(backend.key, allowance, requests, grants_, now);
}

Duration Dispatcher::WaitForMetered(const Backend& backend, TimePoint now,
                                    const GrantAuthority& authority) const {
  return std::max({WaitForCold(backend, now, authority), WaitForLimited(backend, now, authority),
                   WaitForBrittle(backend, now, authority)});
}

// Long-run rate that this node may grant to the back end, in requests a second; 0: no rate limit.
double Dispatcher::LimitedRate(const Backend& backend, const GrantAuthority& authority) const {
  const std::optional<RateLimit> limit = registry_.Limits().Of(backend.key);
  return limit.has_value() ? GrantedRate(limit->per_s, authority.limited_share) : 0;
}

// True when the entry or the zone of the back end says that it is cold. Losses are left out,
// because nodes observe different ones and the coordinator learns of most.
bool Dispatcher::IsReportedCold(const Backend& backend, TimePoint now) const {
  const ServiceWarmUp* warm_up = cold_.RuleOf(backend.service);
  if (warm_up == nullptr) return false;
  return cold_.ReportedColdPeriodOf(backend, *warm_up, registry_.Drains(), now).has_value();
}

// True when the rate limit is newer than the notices read by `notices_known`, so that a node which
// knew only those did not know it.
bool Dispatcher::HasLaterRateLimit(BackendKey backend, TimePoint notices_known) const {
  const std::optional<RateLimit> limit = registry_.Limits().Of(backend);
  return limit.has_value() && limit->read > notices_known;
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

// A placement at a metered back end is a grant, which expires after kGrantLifetime.
void Dispatcher::SetSendDeadline(Placement* placement, TimePoint now) const {
  if (IsMetered(placement->backend, now)) placement->send_by = now + kGrantLifetime;
}

std::optional<Duration> Dispatcher::MeteredWait(const RequestProfile& profile,
                                                const std::vector<BackendKey>& tried, TimePoint now,
                                                const GrantAuthority& authority) {
  const PlacementView view = View({"", zone_, {}}, profile, tried, now, authority);
  if (!view.candidates.empty() || !view.metered_wait.has_value()) return std::nullopt;
  if (view.limited_per_s <= 0) return view.metered_wait;
  return retry_schedules_[profile.service].Next(*view.metered_wait, view.limited_per_s, now);
}

std::vector<Backend> Dispatcher::TakeWarmthQueries(const std::string& service, size_t most,
                                                   TimePoint now) {
  std::vector<Backend> queries;
  const ServiceWarmUp* warm_up = cold_.RuleOf(service);
  if (warm_up == nullptr || !warm_up->reports_warmth) return queries;
  for (const BackendKey key : cold_.DueForWarmthQuery(now)) {
    if (queries.size() >= most) break;
    const Backend* backend = registry_.FindOpen(key);
    if (backend == nullptr || backend->service != service || !registry_.MayAsk(key, now)) continue;
    if (grants_.WaitFor(key, warm_up->allowance, now) > Duration(0)) continue;
    grants_.NoteGrant(key, now);
    cold_.NoteAsked(key, now);
    queries.push_back(*backend);
  }
  return queries;
}

std::vector<ColdBackEnd> Dispatcher::ColdOf(const std::string& service, TimePoint now) const {
  std::vector<ColdBackEnd> cold;
  for (const Backend* backend : registry_.ReadyOf(service)) {
    const std::optional<ColdPeriod> period = ColdPeriodOf(*backend, now);
    if (period.has_value()) cold.push_back({*backend, *period});
  }
  return cold;
}

}  // namespace cartsail
