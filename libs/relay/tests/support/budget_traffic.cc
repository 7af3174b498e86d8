#include "support/budget_traffic.h"

#include <algorithm>
#include <limits>
#include <random>

namespace cartsail::testing {
namespace {

constexpr uint32_t kMostArrivalSteps = 4;  // from a repeat's grant to its arrival, less one
constexpr double kFailed = 0.9;            // share of the requests that want a repeat

int64_t InWindow(const std::vector<int64_t>& counts, int end) {
  int64_t sum = 0;
  for (int i = std::max(end - kStepsInWindow, 0); i < end; ++i)
    sum += counts[static_cast<size_t>(i)];
  return sum;
}

}  // namespace

RetryBudgetOptions BudgetOptions() {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.extra = 50;
  options.window = kBudgetStep * kStepsInWindow;
  return options;
}

int64_t BudgetTraffic::Repeats(int end) const { return InWindow(repeats, end); }

double BudgetTraffic::Allowed(int end) const {
  int64_t most = 0;
  for (const int back : {0, kStepsInWindow / 2, kStepsInWindow}) {
    most = std::max(most, InWindow(requests, end - back));
  }
  return BudgetOptions().ratio * static_cast<double>(most) + BudgetOptions().extra;
}

BudgetTraffic Play(BudgetFleet& fleet, const BudgetEvents& events, const BudgetLoad& load,
                   uint32_t seed) {
  std::mt19937 random(seed);
  BudgetTraffic traffic;
  for (int step = 0; step < kRunSteps; ++step) {
    const TimePoint now = TimeOf(step);
    fleet.Tick(now);
    events(step, fleet);
    for (int node = 0; node < kPartitionedNodes; ++node) {
      const int requests = load(node, step);
      traffic.requests[static_cast<size_t>(step)] += requests;
      if (!fleet.Runs(node, now)) continue;
      for (int i = 0; i < requests; ++i) {
        fleet.NoteRequest(node, now);
        const bool fails = std::uniform_real_distribution<double>(0, 1)(random) < kFailed;
        if (step < kFailuresBegin || !fails) continue;
        const int arrives = step + static_cast<int>(random() % kMostArrivalSteps);
        if (!fleet.Repeat(node, now, TimeOf(arrives))) continue;
        ++traffic.repeats[static_cast<size_t>(arrives)];
      }
    }
  }
  return traffic;
}

double MostOver(const BudgetTraffic& traffic) {
  double most = std::numeric_limits<double>::lowest();
  for (int end = 1; end <= kRunSteps; ++end) {
    most = std::max(most, static_cast<double>(traffic.Repeats(end)) - traffic.Allowed(end));
  }
  return most;
}

double LeastUsed(const BudgetTraffic& traffic, int first_end) {
  double least = 1;
  for (int end = first_end; end <= kRunSteps; ++end) {
    least = std::min(least, static_cast<double>(traffic.Repeats(end)) / traffic.Allowed(end));
  }
  return least;
}

}  // namespace cartsail::testing
