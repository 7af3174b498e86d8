// What a cold back end gets from a whole fleet: all ways in which its nodes may be cut off from
// each other, and each change from one to another within a second.
#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include "cartsail/dispatch/grant_allowances.h"
#include "cartsail/dispatch/grant_authority.h"
#include "support/fleet_partitions.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int kNodes = kPartitionedNodes;
const TimePoint kStart = kPartitionedAt;
const WarmUp kWarmUp{seconds(3), 8.6};
const ColdBound kBound;
constexpr double kMostInOneSecond = 8.6 * 1.5 + 5;
constexpr Duration kRun = seconds(4);
constexpr Duration kStep = milliseconds(50);

enum class Rule { kWhole, kWithoutMajority };

std::vector<bool> RightsIn(const Partition& partition, Rule rule) {
  std::vector<bool> rights;
  for (int node = 0; node < kNodes; ++node) {
    const FleetView view = ViewOf(node, partition).FleetOf("llm", kStart);
    const bool may = rule == Rule::kWhole ? GrantAuthorityOf(view).to_cold : view.is_first;
    rights.push_back(may);
  }
  return rights;
}

// The most that is sent in any second where each node grants whenever it believes that it may, and
// learns of the change from `before` to `after` at a moment of its own.
int MostSent(const std::vector<bool>& before, const std::vector<bool>& after, int64_t grants,
             std::mt19937* random) {
  std::vector<TimePoint> sent;
  for (int node = 0; node < kNodes; ++node) {
    const TimePoint learns = kStart + seconds(1) + milliseconds((*random)() % 1000);
    const GrantAllowance allowance{grants, seconds(1) + kGrantLifetime};
    GrantLimiter limiter;
    for (TimePoint now = kStart; now < kStart + kRun; now += kStep) {
      if (!(now < learns ? before : after)[node]) continue;
      while (limiter.WaitFor(1, allowance, now) == Duration(0)) {
        limiter.NoteGrant(1, now);
        const auto delay = (*random)() % static_cast<uint64_t>(kGrantLifetime.count() + 1);
        sent.push_back(now + Duration(delay));
      }
    }
  }
  std::sort(sent.begin(), sent.end());
  size_t most = 0;
  for (size_t first = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= seconds(1)) ++first;
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

int MostOverAllChanges(Rule rule, int64_t grants) {
  std::mt19937 random(11);
  std::vector<std::vector<bool>> rights;
  for (const Partition& partition : AllPartitions()) rights.push_back(RightsIn(partition, rule));
  int most = 0;
  for (const auto& before : rights) {
    for (const auto& after : rights) {
      most = std::max(most, MostSent(before, after, grants, &random));
    }
  }
  return most;
}

int64_t Grants() { return AllowanceOfCold(kWarmUp, kBound).most; }

Test(cold_fleet, no_partition_and_no_change_of_partition_exceeds_the_bound) {
  cr_assert(AllPartitions().size() == 52);
  const int most = MostOverAllChanges(Rule::kWhole, Grants());
  cr_assert(most <= kMostInOneSecond, "%d", most);
  cr_assert(most > Grants(), "two nodes grant during a takeover, or the test tries nothing");
}

Test(cold_fleet, the_bound_would_break_with_the_limit_not_divided) {
  const int most = MostOverAllChanges(Rule::kWhole, static_cast<int64_t>(kMostInOneSecond));
  cr_assert(most > kMostInOneSecond, "%d", most);
}

Test(cold_fleet, the_bound_would_break_without_the_majority) {
  const int most = MostOverAllChanges(Rule::kWithoutMajority, Grants());
  cr_assert(most > kMostInOneSecond, "%d", most);
}

// One that was frozen twice over: three views within a second.
Test(cold_fleet, three_views_in_one_second_have_three_granting_nodes_at_most) {
  std::vector<std::vector<bool>> rights;
  for (const Partition& partition : AllPartitions()) {
    rights.push_back(RightsIn(partition, Rule::kWhole));
  }
  for (const auto& first : rights) {
    for (const auto& second : rights) {
      for (const auto& third : rights) {
        int granting = 0;
        for (int node = 0; node < kNodes; ++node) {
          granting += first[node] || second[node] || third[node] ? 1 : 0;
        }
        cr_assert(granting <= kMaxGrantingNodes);
      }
    }
  }
}

Test(cold_fleet, some_node_grants_where_a_majority_is_together) {
  for (const Partition& partition : AllPartitions()) {
    std::vector<int> sizes(kNodes, 0);
    for (const int part : partition) ++sizes[part];
    const bool has_majority = *std::max_element(sizes.begin(), sizes.end()) > kNodes / 2;
    const std::vector<bool> rights = RightsIn(partition, Rule::kWhole);
    const auto granting = std::count(rights.begin(), rights.end(), true);
    cr_assert(granting == (has_majority ? 1 : 0));
  }
}

Test(cold_fleet, a_part_that_has_forgotten_the_others_does_not_take_itself_for_the_whole) {
  PeerTable peers = ViewOf(0, {0, 1, 1, 1, 1});
  for (int second = 1; second <= 120; ++second) {
    const TimePoint now = kStart + seconds(second);
    peers.ForgetSilent(now);
    cr_assert(!GrantAuthorityOf(peers.FleetOf("llm", now)).to_cold, "after %d s", second);
  }
  cr_assert(peers.Peers().empty());
}

Test(cold_fleet, nodes_that_told_that_they_stop_do_not_stand_in_the_way) {
  PeerTable peers(StateOf(0), kStart - seconds(10));
  for (int i = 1; i < kNodes; ++i) {
    NodeState state = StateOf(i);
    state.stopping = true;
    peers.Heard(HostOf(i), state, kStart);
    peers.SetStatus(HostOf(i), PeerStatus::kGone, kStart);
  }
  cr_assert(GrantAuthorityOf(peers.FleetOf("llm", kStart)).to_cold);
}

Test(cold_fleet, a_node_that_just_started_and_knows_seeds_only_grants_nothing) {
  PeerTable peers(StateOf(0), kStart);
  cr_assert(GrantAuthorityOf(peers.FleetOf("llm", kStart)).to_cold, "the whole fleet");
  for (int i = 1; i < kNodes; ++i) peers.AddHost(HostOf(i), kStart);
  cr_assert(!GrantAuthorityOf(peers.FleetOf("llm", kStart + seconds(10))).to_cold);
  // Those that it heard at once are perhaps few of many.
  NodeState young = StateOf(1);
  young.uptime = milliseconds(1);
  for (int i = 1; i < kNodes; ++i) peers.Heard(HostOf(i), young, kStart);
  const FleetView view = peers.FleetOf("llm", kStart + seconds(1));
  cr_assert(!view.is_settled);
  cr_assert(!GrantAuthorityOf(view).to_cold);
}

}  // namespace
}  // namespace cartsail
