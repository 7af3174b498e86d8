#include "spread_fleet.h"

#include <algorithm>

#include "support/own_hosts.h"

namespace cartsail::testing {
namespace {

constexpr Duration kStep = milliseconds(5);

}  // namespace

SpreadFleet::SpreadFleet(int nodes) {
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<size_t>(nodes));
  for (int i = 0; i < nodes; ++i) hosts.push_back(OwnHost(i + 1));
  for (const std::string& host : hosts) {
    nodes_.push_back(std::make_unique<FleetNode>(io_, host, hosts));
  }
}

void SpreadFleet::RunFor(Duration duration) {
  io_.restart();
  io_.run_for(duration);
}

void SpreadFleet::ApplyAtAll(int64_t version) {
  for (const auto& node : nodes_) node->Apply(version);
}

bool SpreadFleet::RunUntilAllHave(int64_t version, Duration limit) {
  const TimePoint end = Now() + limit;
  const int all = static_cast<int>(nodes_.size());
  while (Now() < end && NodesWith(version) < all) RunFor(kStep);
  return NodesWith(version) == all;
}

bool SpreadFleet::RunUntilAllKnow(int64_t revision, Duration limit) {
  const TimePoint end = Now() + limit;
  const auto all_know = [this, revision] {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [revision](const auto& node) { return node->Revision() >= revision; });
  };
  while (Now() < end && !all_know()) RunFor(kStep);
  return all_know();
}

bool SpreadFleet::RunUntilCopies(int node, int copies, Duration limit) {
  const TimePoint end = Now() + limit;
  while (Now() < end && At(node).Copies() < copies) RunFor(kStep);
  return At(node).Copies() >= copies;
}

int SpreadFleet::NodesWith(int64_t version) const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [version](const auto& node) {
    return node->Version() >= version;
  }));
}

int SpreadFleet::FirstReader() const {
  const auto reader = std::find_if(nodes_.begin(), nodes_.end(),
                                   [](const auto& node) { return node->IsReading(); });
  return static_cast<int>(reader - nodes_.begin());
}

int SpreadFleet::Copies() const {
  int copies = 0;
  for (const auto& node : nodes_) copies += node->Copies();
  return copies;
}

int SpreadFleet::MostCopiesOfOneNode() const {
  int most = 0;
  for (const auto& node : nodes_) most = std::max(most, node->Copies());
  return most;
}

}  // namespace cartsail::testing
