// Guards against nodes that count a revision or a version that they were told as knowledge that
// they hold: in random orders of changes, updates, fetches, watch answers and faults, a document
// was lost for a whole fleet. The controls show that the checks notice such nodes.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/base/log.h"
#include "support/schedule_fleet.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::Flaw;
using testing::ScheduleFleet;

constexpr int kFleets = 200;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kTroubled = milliseconds(2500);
constexpr Duration kDeadline = seconds(2);  // RelayOptions::document_deadline

// Time that the process was not given does not count.
void RunFor(boost::asio::io_context& io, const std::vector<std::unique_ptr<ScheduleFleet>>& fleets,
            Duration duration) {
  for (Duration run{}; run < duration; run += kStep) {
    for (const auto& fleet : fleets) fleet->Step();
    io.restart();
    io.run_for(kStep);
  }
}

// Plays one schedule a seed, side by side. Returns what went wrong.
std::vector<std::string> Play(uint64_t first_seed, Flaw flaw) {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<ScheduleFleet>> fleets;
  for (uint64_t i = 0; i < kFleets; ++i) {
    fleets.push_back(std::make_unique<ScheduleFleet>(io, first_seed + i, flaw));
  }
  RunFor(io, fleets, kTroubled);
  for (const auto& fleet : fleets) fleet->Heal();
  RunFor(io, fleets, kDeadline);
  std::vector<std::string> faults;
  for (uint64_t i = 0; i < kFleets; ++i) {
    const ScheduleFleet& fleet = *fleets[i];
    if (!fleet.BrokenClaim().empty()) {
      faults.push_back(fmt::format("seed {}: {}", first_seed + i, fleet.BrokenClaim()));
    }
    if (fleet.NodesBehind() > 0) {
      faults.push_back(fmt::format("seed {}: {} nodes lack the newest document", first_seed + i,
                                   fleet.NodesBehind()));
    }
  }
  return faults;
}

Test(document_schedules, nodes_hold_what_they_claim_and_get_the_newest_document_in_time) {
  const std::vector<std::string> faults = Play(1, Flaw::kNone);
  cr_assert(faults.empty(), "%s", fmt::format("{}", fmt::join(faults, "; ")).c_str());
}

Test(document_schedules,
     control_nodes_that_see_no_change_up_to_the_revision_of_a_peer_are_noticed) {
  const std::vector<std::string> faults = Play(1, Flaw::kPassesOverPeersRevision);
  cr_assert(faults.size() >= 3, "%zu faults", faults.size());
}

Test(document_schedules,
     control_nodes_that_take_over_the_revision_of_a_document_they_lack_are_noticed) {
  const std::vector<std::string> faults = Play(1, Flaw::kTakesPeersDocumentRevision);
  cr_assert(faults.size() >= 3, "%zu faults", faults.size());
}

}  // namespace
}  // namespace cartsail
