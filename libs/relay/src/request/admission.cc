#include "cartsail/relay/admission.h"

#include <algorithm>

#include "cartsail/base/text.h"

namespace cartsail {
namespace {

constexpr Duration kRetryAfterNotReady = milliseconds(250);
constexpr int64_t kTenantTiers = 3;  // tenant tiers distinguished within one route tier
constexpr std::string_view kBearerPrefix = "Bearer ";

AdmissionResult Refuse(ErrorKind kind, Duration retry_after = {}) {
  AdmissionResult result;
  result.refusal = Refusal{kind, retry_after};
  return result;
}

// A route or key that is unknown here may be in a newer document that this node has not received.
AdmissionResult RefuseUnknown(ErrorKind kind, const RoutingState& state, Duration trusted_for,
                              TimePoint now) {
  if (!state.MayRefuseUnknown(now, trusted_for)) {
    return Refuse(ErrorKind::kNotReady, kRetryAfterNotReady);
  }
  return Refuse(kind);
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

std::string_view BearerKey(std::string_view authorization) {
  if (!StartsWithIgnoreCase(authorization, kBearerPrefix)) return {};
  return Trimmed(authorization.substr(kBearerPrefix.size()));
}

// The route's tier takes precedence; the tenant's tier orders requests of equal route tiers
// (docs/QUESTIONS.md).
int64_t CombinedTier(const TenantRule& tenant, const RouteRule& route) {
  if (!tenant.tier.has_value()) return route.tier;
  return route.tier * kTenantTiers + std::min(*tenant.tier, kTenantTiers - 1);
}

// The intersection of what the route and the tenant allow; `tenant` may be nullptr.
Residency CombinedResidency(const RouteRule& route, const TenantRule* tenant) {
  return tenant == nullptr ? route.residency : Intersection(route.residency, tenant->residency);
}

bool AllowsNothing(const Residency& residency) {
  return residency.has_value() && residency->empty();
}

void FillGeneration(const RequestHead& head, const WireFormat& format, const ServiceRule& service,
                    RequestProfile* profile) {
  profile->is_generation = true;
  profile->prompt_parts = format.ParsePromptParts(head.prompt_parts);
  for (const PromptPart& part : profile->prompt_parts) profile->prompt_tokens += part.tokens;
  const std::optional<TokenCounts> counts = format.ParseTokenCounts(head.token_counts);
  if (counts.has_value()) {
    profile->prompt_tokens = std::max(profile->prompt_tokens, counts->prompt);
    profile->output_tokens = counts->output;
  }
  profile->bytes_per_token = service.engine->bytes_per_token;
}

}  // namespace

Residency ReevaluateResidency(const RouteTable& table, const RequestHead& head,
                              const Residency& admitted) {
  const RouteRule* route = table.FindRoute(head.host, PathOf(head.target));
  const std::string_view key = BearerKey(head.authorization);
  const TenantRule* tenant = table.FindTenant(key);
  if (route == nullptr) return admitted;
  const Residency now = CombinedResidency(*route, tenant);
  const bool tenant_gone = tenant == nullptr && !key.empty();
  return tenant_gone ? Intersection(now, admitted) : now;
}

AdmissionResult Admit(const RequestHead& head, const RoutingState& state, const WireFormat& format,
                      Duration trusted_for, TimePoint now) {
  if (state.Table() == nullptr) return Refuse(ErrorKind::kNotReady, kRetryAfterNotReady);
  const RouteTable& table = *state.Table();
  const RouteRule* route = table.FindRoute(head.host, PathOf(head.target));
  if (route == nullptr) return RefuseUnknown(ErrorKind::kUnknownPath, state, trusted_for, now);

  AdmissionResult result;
  AdmittedRequest& admitted = result.admitted;
  admitted.table = state.Table();
  admitted.route = route;
  admitted.tier = route->tier;
  const TenantRule* tenant = table.FindTenant(BearerKey(head.authorization));
  if (tenant != nullptr) {
    admitted.tenant = tenant->name;
    admitted.tier = CombinedTier(*tenant, *route);
  } else if (table.NeedsKeys() && !route->is_public) {
    return RefuseUnknown(ErrorKind::kUnknownKey, state, trusted_for, now);
  }

  admitted.time_left = route->timeout;
  int64_t time_left_ms = 0;
  if (ParseInteger(head.time_left, &time_left_ms) && time_left_ms > 0) {
    admitted.caller_set_time = true;
    admitted.time_left = std::min<Duration>(route->timeout, FromMillis(time_left_ms));
  }

  RequestProfile& profile = admitted.profile;
  // A resumed stream goes to the service that started it.
  profile.service = PickService(*route, head.resumes.empty() ? head.request_id : head.resumes);
  profile.tier = admitted.tier;
  profile.first_output_goal = route->first_output_goal;
  profile.longest_pause = route->longest_pause;
  profile.residency = CombinedResidency(*route, tenant);
  if (AllowsNothing(profile.residency)) {
    // Only a newer document can change this, and one that is already written is known here within
    // `trusted_for`. A status other than 503 would not tell callers that the request has not run
    // and may be retried.
    result.refusal = Refusal{ErrorKind::kNoBackend, trusted_for};
    return result;
  }
  const ServiceRule* service = table.FindService(profile.service);
  if (service != nullptr && service->engine.has_value()) {
    FillGeneration(head, format, *service, &profile);
  }
  return result;
}

}  // namespace cartsail
