// What a back end that named a rate gets from a whole fleet: all ways in which its nodes may be cut
// off from each other, and each change from one to another within a second.
#include <algorithm>
#include <random>
#include <vector>

#include "cartsail/dispatch/grant_allowances.h"
#include "cartsail/dispatch/grant_authority.h"
#include "support/fleet_partitions.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const RateLimitBound kBound;
constexpr Duration kChange = seconds(10);  // from the start
constexpr Duration kRun = seconds(16);
constexpr Duration kStep = milliseconds(50);
constexpr BackendKey kEngine = 1;

using Shares = std::vector<double>;  // of each node

double MostInWindow(double per_s) {
  return kBound.rate_factor * per_s * ToSeconds(kBound.window) + kBound.burst;
}

Shares SharesIn(const Partition& partition) {
  Shares shares;
  for (int node = 0; node < kPartitionedNodes; ++node) {
    const FleetView view = ViewOf(node, partition).FleetOf("llm", kPartitionedAt);
    shares.push_back(GrantAuthorityOf(view).limited_share);
  }
  return shares;
}

// Each node grants whatever it believes that it may, and learns of the change from `before` to
// `after` at a moment of its own. When each was sent.
std::vector<TimePoint> Sent(const Shares& before, const Shares& after, double per_s,
                            std::mt19937* random) {
  const TimePoint named = kPartitionedAt - seconds(60);
  std::vector<TimePoint> sent;
  for (size_t node = 0; node < before.size(); ++node) {
    const TimePoint learns = kPartitionedAt + kChange + milliseconds((*random)() % 1000);
    GrantLimiter limiter;
    for (TimePoint now = kPartitionedAt; now < kPartitionedAt + kRun; now += kStep) {
      const double share = (now < learns ? before : after)[node];
      if (share <= 0) continue;
      const auto allowances = AllowancesOfLimited(per_s, share, named);
      const auto may_grant = [&limiter, &allowances, now] {
        return std::all_of(allowances.begin(), allowances.end(), [&](const auto& allowance) {
          return limiter.WaitFor(kEngine, allowance, now) == Duration(0);
        });
      };
      while (may_grant()) {
        limiter.NoteGrant(kEngine, now);
        const auto delay = (*random)() % static_cast<uint64_t>(kGrantLifetime.count() + 1);
        sent.push_back(now + Duration(delay));
      }
    }
  }
  std::sort(sent.begin(), sent.end());
  return sent;
}

size_t MostInAnyWindow(const std::vector<TimePoint>& sent) {
  size_t most = 0;
  for (size_t first = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= kBound.window) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

std::vector<Shares> AllShares() {
  std::vector<Shares> all;
  for (const Partition& partition : AllPartitions()) all.push_back(SharesIn(partition));
  return all;
}

Test(limited_fleet, no_partition_and_no_change_of_partition_exceeds_the_bound, .timeout = 120) {
  std::mt19937 random(11);
  const std::vector<Shares> all = AllShares();
  for (const double per_s : {0.4, 1.0, 1.3, 12.0}) {
    size_t most = 0;
    for (const Shares& before : all) {
      for (const Shares& after : all) {
        most = std::max(most, MostInAnyWindow(Sent(before, after, per_s, &random)));
      }
    }
    cr_assert(static_cast<double>(most) <= MostInWindow(per_s), "%zu at %.1f a second", most,
              per_s);
  }
}

Test(limited_fleet, the_bound_would_break_if_each_part_granted_the_whole_rate) {
  std::mt19937 random(11);
  Shares each_alone(kPartitionedNodes, 1.0);
  const size_t most = MostInAnyWindow(Sent(each_alone, each_alone, 12, &random));
  cr_assert(static_cast<double>(most) > MostInWindow(12), "%zu", most);
}

// In every part some node grants, and all parts together the rate once.
Test(limited_fleet, the_parts_share_the_rate) {
  for (const Partition& partition : AllPartitions()) {
    double sum = 0;
    for (const double share : SharesIn(partition)) sum += share;
    cr_assert(sum > 0.999 && sum < 1.001, "%f", sum);
  }
}

// 60 requests a second for 30 s: the nodes that are left use their part, and do not wait for the
// others to be forgotten.
Test(limited_fleet, a_fleet_that_lost_most_of_its_nodes_still_uses_the_rate) {
  std::mt19937 random(3);
  const Shares alone = SharesIn({0, 1, 2, 3, 4});
  const auto sent = Sent(alone, alone, 10, &random);
  cr_assert(static_cast<double>(sent.size()) > 0.8 * 10 * ToSeconds(kRun), "%zu", sent.size());
}

}  // namespace
}  // namespace cartsail
