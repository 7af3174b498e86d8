// Per-tenant limits and per-class retry budgets. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "cartsail/base/clock.h"

namespace cartsail {

// Allows retries as a share of first tries, so that a failing back end cannot multiply its load.
class RetryBudget {
 public:
  // A first try of a class that allows `ratio` retries per first try.
  void NoteFirstTry(const std::string& class_key, double ratio);

  // Takes one retry from the budget; false when it is used up.
  bool TakeRetry(const std::string& class_key);

 private:
  static constexpr double kInitialTokens = 3;
  static constexpr double kLargestBalance = 20;

  std::unordered_map<std::string, double> tokens_;
};

// A tenant's rate and concurrency, this node's share of them. The share is the limit divided by
// the number of live nodes, since the balancer spreads a tenant's requests over all.
class TenantLimiter {
 public:
  enum class Verdict { kAdmitted, kRateExceeded, kInFlightExceeded };

  struct Limits {
    double rate = 0;           // requests per second, this node's share
    double max_in_flight = 0;  // this node's share
  };

  Verdict Admit(const std::string& tenant, const Limits& limits, TimePoint now);
  void Release(const std::string& tenant);

  // Forgets tenants that are idle. Call now and then.
  void Sweep(TimePoint now);
  size_t TrackedTenants() const { return tenants_.size(); }

  // When a tenant refused for its rate may come back.
  static Duration RetryAfter(const Limits& limits);

 private:
  struct State {
    double tokens = 0;
    TimePoint filled{};
    int64_t in_flight = 0;
  };

  std::unordered_map<std::string, State> tenants_;
};

}  // namespace cartsail
