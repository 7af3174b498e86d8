#include "cartsail/scheduler/limits.h"

#include <algorithm>

namespace cartsail {
namespace {

constexpr double kSmallestBurst = 2;
constexpr Duration kIdleLifetime = seconds(60);

}  // namespace

void RetryBudget::NoteFirstTry(const std::string& class_key, double ratio) {
  const auto [entry, added] = tokens_.try_emplace(class_key, kInitialTokens);
  entry->second = std::min(entry->second + ratio, kLargestBalance);
}

bool RetryBudget::TakeRetry(const std::string& class_key) {
  const auto [entry, added] = tokens_.try_emplace(class_key, kInitialTokens);
  if (entry->second < 1) return false;
  entry->second -= 1;
  return true;
}

TenantLimiter::Verdict TenantLimiter::Admit(const std::string& tenant, const Limits& limits,
                                            TimePoint now) {
  const double burst = std::max(limits.rate, kSmallestBurst);
  const auto [entry, added] = tenants_.try_emplace(tenant, State{burst, now, 0});
  State& state = entry->second;
  state.tokens = std::min(burst, state.tokens + limits.rate * ToSeconds(now - state.filled));
  state.filled = now;
  if (static_cast<double>(state.in_flight) >= std::max(1.0, limits.max_in_flight)) {
    return Verdict::kInFlightExceeded;
  }
  if (state.tokens < 1) return Verdict::kRateExceeded;
  state.tokens -= 1;
  ++state.in_flight;
  return Verdict::kAdmitted;
}

void TenantLimiter::Release(const std::string& tenant) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end() && found->second.in_flight > 0) --found->second.in_flight;
}

void TenantLimiter::Sweep(TimePoint now) {
  std::erase_if(tenants_, [now](const auto& entry) {
    return entry.second.in_flight == 0 && now - entry.second.filled > kIdleLifetime;
  });
}

Duration TenantLimiter::RetryAfter(const Limits& limits) {
  const double wait = limits.rate > 0 ? 1 / limits.rate : 1;
  return std::max(FromSeconds(wait), Duration(seconds(1)));
}

}  // namespace cartsail
