// What a brittle back end has to turn away for a whole fleet, at worst: all ways in which its nodes
// may be cut off from each other, and each change from one to another within a second. It turns
// away all that is sent beyond the room that it surely has.
#include <algorithm>
#include <random>
#include <vector>

#include "cartsail/dispatch/brittle_back_ends.h"
#include "cartsail/dispatch/grant_authority.h"
#include "support/fleet_partitions.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr Duration kChange = seconds(4);  // from the start
constexpr Duration kRun = seconds(8);
constexpr Duration kStep = milliseconds(25);
constexpr Duration kSecond = seconds(1);
constexpr BackendKey kEngine = 1;
constexpr int64_t kSlots = 64;

using Shares = std::vector<double>;  // of each node

Shares SharesIn(const Partition& partition) {
  Shares shares;
  for (int node = 0; node < kPartitionedNodes; ++node) {
    const FleetView view = ViewOf(node, partition).FleetOf("llm", kPartitionedAt);
    shares.push_back(GrantAuthorityOf(view).limited_share);
  }
  return shares;
}

// Each node grants whatever it believes that it may to an engine all of whose safe room is taken,
// hears of nothing that was turned away, and learns of the change at a moment of its own. When each
// was sent. `bears_seen`: what a node takes for what the engine bears.
std::vector<TimePoint> Sent(const Shares& before, const Shares& after, double bears_seen,
                            std::mt19937* random) {
  std::vector<TimePoint> sent;
  for (size_t node = 0; node < before.size(); ++node) {
    const TimePoint learns = kPartitionedAt + kChange + milliseconds((*random)() % 1000);
    GrantLimiter limiter;
    const BrittleBackEnds brittle;
    for (TimePoint now = kPartitionedAt; now < kPartitionedAt + kRun; now += kStep) {
      const double share = (now < learns ? before : after)[node];
      if (share <= 0) continue;
      const BrittleAllowance allowance = AllowanceOfBrittle(bears_seen, share, kSlots);
      while (brittle.WaitFor(kEngine, allowance, kSlots, limiter, now) == Duration(0)) {
        limiter.NoteGrant(kEngine, now);
        const auto delay = (*random)() % static_cast<uint64_t>(kGrantLifetime.count() + 1);
        sent.push_back(now + Duration(delay));
      }
    }
  }
  std::sort(sent.begin(), sent.end());
  return sent;
}

size_t MostInAnySecond(const std::vector<TimePoint>& sent) {
  size_t most = 0;
  for (size_t first = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= kSecond) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

Test(brittle_fleet, no_partition_and_no_change_of_partition_exceeds_what_it_bears, .timeout = 120) {
  std::mt19937 random(57);
  std::vector<Shares> all;
  for (const Partition& partition : AllPartitions()) all.push_back(SharesIn(partition));
  for (const double bears : {1.0, 3.0, 8.0, 25.0}) {
    size_t most = 0;
    for (const Shares& before : all) {
      for (const Shares& after : all) {
        most = std::max(most, MostInAnySecond(Sent(before, after, bears, &random)));
      }
    }
    cr_assert(static_cast<double>(most) <= bears, "%zu where it bears %.0f", most, bears);
  }
}

// The safe room of the parts together is that of the engine once.
Test(brittle_fleet, the_parts_share_the_room) {
  for (const Partition& partition : AllPartitions()) {
    int64_t safe = 0;
    for (const double share : SharesIn(partition)) {
      safe += AllowanceOfBrittle(8, share, kSlots).safe_requests;
    }
    cr_assert(safe <= kSlots, "%ld", static_cast<long>(safe));
  }
}

// Controls: what the test above would find.
Test(brittle_fleet, the_bound_would_break_if_each_part_used_all_of_it) {
  std::mt19937 random(57);
  const Shares each_alone(kPartitionedNodes, 1.0);
  const size_t most = MostInAnySecond(Sent(each_alone, each_alone, 8, &random));
  cr_assert(most > 8, "%zu", most);
}

Test(brittle_fleet, the_bound_would_break_if_one_node_used_more_than_it_bears) {
  std::mt19937 random(57);
  const Shares whole = SharesIn({0, 0, 0, 0, 0});
  const size_t most = MostInAnySecond(Sent(whole, whole, 3 * 8, &random));
  cr_assert(most > 8, "%zu", most);
}

}  // namespace
}  // namespace cartsail
