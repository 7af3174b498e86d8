// Requests and repeats of a fleet of nodes before back ends that turn most requests away, and the
// bound on the repeats in every window.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "support/budget_fleet.h"

namespace cartsail::testing {

inline constexpr Duration kBudgetStep = milliseconds(100);
inline constexpr int kStepsInWindow = 100;
inline constexpr int kRunSteps = 450;
inline constexpr int kFailuresBegin = 200;  // step from which back ends turn requests away
inline constexpr int kChange = 230;         // step of the first change of the fleet

RetryBudgetOptions BudgetOptions();

inline TimePoint TimeOf(int step) { return kPartitionedAt + step * kBudgetStep; }

// What callers sent and what arrived beyond the first time, by step.
struct BudgetTraffic {
  std::vector<int64_t> requests = std::vector<int64_t>(kRunSteps + kStepsInWindow, 0);
  std::vector<int64_t> repeats = std::vector<int64_t>(kRunSteps + kStepsInWindow, 0);

  // In the window that ends with the step before `end`.
  int64_t Repeats(int end) const;

  // For the requests of that window, of the one half a window before, or of the one before.
  double Allowed(int end) const;
};

// By step: what happens to the fleet.
using BudgetEvents = std::function<void(int step, BudgetFleet& fleet)>;
// How many requests come to a node in a step.
using BudgetLoad = std::function<int(int node, int step)>;

inline void NoEvents(int step, BudgetFleet& fleet) {}
inline int TwoEach(int node, int step) { return 2; }

// Nine of ten requests want a repeat once failures have begun.
BudgetTraffic Play(BudgetFleet& fleet, const BudgetEvents& events, const BudgetLoad& load = TwoEach,
                   uint32_t seed = 1);

// The most by which the repeats of a window exceed what is allowed; 0 or less: in none.
double MostOver(const BudgetTraffic& traffic);

// The smallest part of what is allowed that was used in a window, of those that end at `first_end`
// or later.
double LeastUsed(const BudgetTraffic& traffic, int first_end);

}  // namespace cartsail::testing
