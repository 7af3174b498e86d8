// How counts get from the nodes to those that may report them.
#include "duties/usage_counting.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duties/duty_holder.h"
#include "fleet/datagram.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

// The time of day at the start of the monotonic clock.
constexpr WallTime kStart{1'800'000'000'000};
const UsageSchedule kTerms{std::chrono::milliseconds(5000), std::chrono::milliseconds(10000)};

// Nodes whose messages are delivered at once, unless `drop` says otherwise.
struct CountingFleet {
  explicit CountingFleet(int count) {
    for (int i = 0; i < count; ++i) AddNode(HostOf(i));
    for (auto& [host, node] : nodes) {
      for (auto& [other, unused] : nodes) {
        if (other == host) continue;
        node->peers.AddHost(other, now);
        node->peers.Heard(other, {other, "z", false, 1, seconds(60)}, now);
      }
    }
  }

  struct Node {
    explicit Node(const std::string& host, TimePoint started)
        : peers({host, "z", false, 1, {}}, started), counting(peers, kTerms, true) {}
    PeerTable peers;
    UsageCounting counting;
  };

  static std::string HostOf(int i) { return "10.0.0." + std::to_string(i + 1); }

  void AddNode(const std::string& host) {
    auto node = std::make_unique<Node>(host, now - seconds(60));
    node->counting.SetTransport({[this, host](const std::string& to, const UsageShares& shares) {
                                   Deliver(host, to, shares);
                                 },
                                 [this, host](const std::string& to, const UsageReceipt& receipt) {
                                   Deliver(host, to, receipt);
                                 }});
    nodes[host] = std::move(node);
  }

  WallTime Wall() const {
    return kStart + std::chrono::duration_cast<WallTime>(now.time_since_epoch());
  }

  // Over the wire's encoding.
  void Deliver(const std::string& from, const std::string& to, const Datagram& sent) {
    const std::string bytes = EncodeDatagram(sent, now);
    largest = std::max(largest, bytes.size());
    ++messages;
    if (drop && drop(from, to)) return;
    const std::optional<Datagram> datagram = DecodeDatagram(bytes, now);
    cr_assert(datagram.has_value());
    UsageCounting& counting = nodes.at(to)->counting;
    if (const auto* shares = std::get_if<UsageShares>(&*datagram)) {
      counting.OnShares(from, *shares, now);
    }
    if (const auto* receipt = std::get_if<UsageReceipt>(&*datagram)) {
      counting.OnReceipt(from, *receipt);
    }
  }

  void Run(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      for (auto& [host, node] : nodes) node->counting.Tick(now, Wall());
      now += UsageCounting::kTick;
    }
  }

  WindowNumber Running() {
    return WindowAt(nodes.begin()->second->counting.Clock().At(now), kTerms);
  }

  // Those that may report; all nodes agree.
  std::vector<Node*> Candidates() {
    std::vector<Node*> candidates;
    for (auto& [host, node] : nodes) {
      if (OwnRank(node->peers.RankCoordinators(kUsagePurpose, kDutyCandidates, now)).has_value()) {
        candidates.push_back(node.get());
      }
    }
    return candidates;
  }

  TimePoint now = TimePoint() + seconds(5000);
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::function<bool(const std::string& from, const std::string& to)> drop;
  size_t largest = 0;
  int64_t messages = 0;
};

Test(usage_counting, every_candidate_knows_what_all_nodes_counted) {
  CountingFleet fleet(12);
  fleet.Run(seconds(1));
  const WindowNumber window = fleet.Running();
  for (auto& [host, node] : fleet.nodes) {
    node->counting.NoteStarted("x", fleet.now);
    node->counting.NoteStarted("y", fleet.now);
  }
  fleet.Run(seconds(7));
  cr_assert(fleet.Candidates().size() == kDutyCandidates);
  for (const CountingFleet::Node* candidate : fleet.Candidates()) {
    const UsageCollector& collected = candidate->counting.Collected();
    cr_assert(collected.Total(window) == TenantCounts({{"x", 12}, {"y", 12}}));
    cr_assert(collected.CompleteHosts(window).size() == 12);
  }
}

Test(usage_counting, lost_messages_are_sent_again_until_they_arrive) {
  CountingFleet fleet(6);
  int sent = 0;
  fleet.drop = [&sent](const std::string&, const std::string&) { return ++sent % 3 != 0; };
  fleet.Run(seconds(1));
  const WindowNumber window = fleet.Running();
  for (auto& [host, node] : fleet.nodes) node->counting.NoteStarted("x", fleet.now);
  fleet.Run(seconds(12));
  for (const CountingFleet::Node* candidate : fleet.Candidates()) {
    cr_assert(candidate->counting.Collected().Total(window) == TenantCounts({{"x", 6}}));
    cr_assert(candidate->counting.Collected().CompleteHosts(window).size() == 6);
  }
}

// A node is lost 0.8 s after it counted: the candidates have been told.
Test(usage_counting, what_a_lost_node_counted_is_known_to_others) {
  CountingFleet fleet(6);
  fleet.Run(seconds(1));
  const WindowNumber window = fleet.Running();
  std::string lost;
  for (auto& [host, node] : fleet.nodes) {
    const bool is_candidate =
        OwnRank(node->peers.RankCoordinators(kUsagePurpose, kDutyCandidates, fleet.now))
            .has_value();
    if (!is_candidate) lost = host;
  }
  for (int i = 0; i < 20; ++i) fleet.nodes.at(lost)->counting.NoteStarted("x", fleet.now);
  fleet.Run(milliseconds(800));
  fleet.drop = [&lost](const std::string& from, const std::string&) { return from == lost; };
  fleet.Run(seconds(6));
  for (const CountingFleet::Node* candidate : fleet.Candidates()) {
    cr_assert(candidate->counting.Collected().Total(window) == TenantCounts({{"x", 20}}));
  }
}

// All of 200 nodes tell three candidates, and each gets 100 messages of the running window a second
// at most, beside one of each node for each window that is over and its repeats.
Test(usage_counting, a_candidate_of_a_large_fleet_gets_few_messages) {
  constexpr int kNodes = 200;
  CountingFleet fleet(kNodes);
  fleet.Run(seconds(1));
  const int64_t before = fleet.messages;
  for (int second = 0; second < 10; ++second) {
    for (auto& [host, node] : fleet.nodes) node->counting.NoteStarted("x", fleet.now);
    fleet.Run(seconds(1));
  }
  // Half of the messages for ended windows are receipts.
  const double a_second = static_cast<double>(fleet.messages - before) / 10 / kDutyCandidates;
  cr_assert(a_second < 100 + 2.5 * kNodes / 5, "%.0f messages a second", a_second);
}

// 480 nodes share 37,000 tenants and 16,000 requests a second: about 170 tenants a node and window.
Test(usage_counting, a_node_of_the_largest_fleet_sends_little_and_in_single_packets) {
  CountingFleet fleet(4);
  fleet.Run(seconds(1));
  const int64_t before = fleet.messages;
  for (int second = 0; second < 10; ++second) {
    for (auto& [host, node] : fleet.nodes) {
      for (int i = 0; i < 33; ++i) {
        const std::string tenant = "tenant" + std::to_string(10000 + second * 33 + i);
        node->counting.NoteStarted(tenant, fleet.now);
      }
    }
    fleet.Run(seconds(1));
  }
  const double messages_a_second = static_cast<double>(fleet.messages - before) / 10 / 4;
  cr_assert(fleet.largest <= 1472, "%zu bytes", fleet.largest);
  cr_assert(messages_a_second < 16, "%.1f messages a second", messages_a_second);
}

}  // namespace
}  // namespace cartsail
