// Five nodes that are cut off from each other: prompt parts that end back ends are found in each
// part of the fleet by what its nodes see, and everywhere once the parts hear each other again.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "quarantine/quarantine_service.h"
#include "support/fleet_partitions.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = milliseconds(50);
// Until what was told is evaluated and told to all.
constexpr Duration kSpreadTime = milliseconds(120);
// Until all copies of earlier messages were sent.
constexpr Duration kRepeatTime = milliseconds(1100);
constexpr BackendKey kFirstBackend = 101;
constexpr int kExits = 3;

const SharedParts kDeadly = SharedPartsOf("s", {{0xdead, 300}, {0x1, 10}});
const RequestTraits kRequest = {1, SharedPartsOf("s", {{0xa, 5}, {0xdead, 300}, {0x2, 10}})};

asio::awaitable<PathVerdict> FindEnded(Backend /*backend*/) { co_return PathVerdict::kEnded; }

struct Options {
  bool tells_strikes = true;
  bool tells_notices = true;
};

class Fleet {
 public:
  explicit Fleet(Partition parts, Options options = {})
      : parts_(std::move(parts)), options_(options) {
    for (int number = 0; number < kPartitionedNodes; ++number) {
      nodes_.push_back(std::make_unique<Node>(*this, number));
    }
    MeetOwnParts();
  }

  // A back end exits while `node` has a request with the deadly part there.
  void SeeExit(int node, BackendKey backend) {
    nodes_[Index(node)]->service.Parts().ReportExits({{7, backend, Now(), kDeadly}});
    RunFor(kSpreadTime);
  }

  // All hear each other again.
  void Heal() {
    std::fill(parts_.begin(), parts_.end(), 0);
    MeetOwnParts();
  }

  // Each node hears of the quarantines that the others list.
  void ExchangeLists() {
    for (const auto& from : nodes_) {
      const std::vector<QuarantinedRequest> listed = from->service.List().All();
      for (const auto& to : nodes_) to->service.Merge(listed, Now());
    }
  }

  bool Knows(int node) { return nodes_[Index(node)]->service.LeftFor(kRequest, Now()).has_value(); }

  std::vector<int> NodesOf(int part) const {
    std::vector<int> nodes;
    for (int node = 0; node < kPartitionedNodes; ++node) {
      if (parts_[Index(node)] == part) nodes.push_back(node);
    }
    return nodes;
  }

  void RunFor(Duration time) {
    io_.restart();
    io_.run_for(time);
  }

 private:
  struct Node {
    Node(Fleet& fleet, int number)
        : peers(StateOf(number), Now()),
          dispatcher(PlacementPolicy(), "z1"),
          pool(fleet.io_.get_executor()),
          service(fleet.io_, HostOf(number), kConnectTimeout, dispatcher, peers, pool, FindEnded) {
      service.SetTransport(fleet.TransportOf(number));
    }

    PeerTable peers;
    Dispatcher dispatcher;
    UpstreamPool pool;
    QuarantineService service;
  };

  static size_t Index(int node) { return static_cast<size_t>(node); }

  void MeetOwnParts() {
    for (int from = 0; from < kPartitionedNodes; ++from) {
      for (int to = 0; to < kPartitionedNodes; ++to) {
        if (from == to || !Hears(from, to)) continue;
        nodes_[Index(from)]->peers.Heard(HostOf(to), StateOf(to), Now());
      }
    }
  }

  bool Hears(int from, int to) const { return parts_[Index(from)] == parts_[Index(to)]; }

  // Calls `deliver` for the node at `host`, if `from` reaches it.
  template <typename Deliver>
  void SendTo(int from, const std::string& host, const Deliver& deliver) {
    for (int to = 0; to < kPartitionedNodes; ++to) {
      if (HostOf(to) == host && Hears(from, to)) deliver(nodes_[Index(to)]->service);
    }
  }

  template <typename Deliver>
  void SendToAll(int from, const Deliver& deliver) {
    for (int to = 0; to < kPartitionedNodes; ++to) {
      if (to != from) SendTo(from, HostOf(to), deliver);
    }
  }

  QuarantineService::Transport TransportOf(int from) {
    QuarantineService::Transport transport;
    transport.broadcast_notice = [this, from](const QuarantineNotice& notice) {
      if (!options_.tells_notices) return;
      SendToAll(from, [&](QuarantineService& to) { to.OnNotice(notice, Now()); });
    };
    transport.send_part_strikes = [this, from](const std::string& host, const PartStrikes& told) {
      if (!options_.tells_strikes) return;
      SendTo(from, host, [&](QuarantineService& to) { to.Parts().OnStrikes(told); });
    };
    transport.send_part_completions = [this, from](const std::string& host,
                                                   const PartCompletions& told) {
      SendTo(from, host, [&](QuarantineService& to) { to.Parts().OnCompletions(told, Now()); });
    };
    transport.broadcast_part_inquiry = [this, from](const PartInquiry& told) {
      SendToAll(from, [&](QuarantineService& to) { to.Parts().OnInquiry(told, Now()); });
    };
    return transport;
  }

  asio::io_context io_;
  Partition parts_;
  Options options_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

std::vector<Partition> PartitionsInTwo() {
  std::vector<Partition> partitions = AllPartitions();
  std::erase_if(partitions, [](const Partition& parts) {
    return *std::max_element(parts.begin(), parts.end()) > 1;
  });
  return partitions;
}

// The nodes of a part see exits in turn.
void SeeExitsInTurn(Fleet& fleet, int part, BackendKey first, int exits) {
  const std::vector<int> nodes = fleet.NodesOf(part);
  for (int exit = 0; exit < exits && !nodes.empty(); ++exit) {
    const int node = nodes[static_cast<size_t>(exit) % nodes.size()];
    fleet.SeeExit(node, first + static_cast<BackendKey>(exit));
  }
}

Test(part_strike_partitions, each_part_finds_what_its_nodes_see, .timeout = 60) {
  for (const Partition& parts : PartitionsInTwo()) {
    Fleet fleet(parts);
    SeeExitsInTurn(fleet, 0, kFirstBackend, kExits);
    for (const int node : fleet.NodesOf(0)) cr_assert(fleet.Knows(node), "node %d", node);
    for (const int node : fleet.NodesOf(1)) cr_assert(!fleet.Knows(node), "node %d", node);
  }
}

// The nodes hear of it with the next update of the catalog, which lists quarantines.
Test(part_strike_partitions, all_know_once_they_hear_each_other, .timeout = 60) {
  for (const Partition& parts : PartitionsInTwo()) {
    Fleet fleet(parts);
    SeeExitsInTurn(fleet, 0, kFirstBackend, kExits);
    fleet.RunFor(kRepeatTime);
    fleet.Heal();
    fleet.ExchangeLists();
    for (int node = 0; node < kPartitionedNodes; ++node) {
      cr_assert(fleet.Knows(node), "node %d", node);
    }
  }
}

// What each part has seen may be known to nodes that do not count any more: as many exits as a
// fleet needs that has seen none suffice.
Test(part_strike_partitions, after_too_few_exits_in_each_part_no_more_are_needed_than_at_first,
     .timeout = 60) {
  for (const Partition& parts : PartitionsInTwo()) {
    Fleet fleet(parts);
    SeeExitsInTurn(fleet, 0, kFirstBackend, kExits - 1);
    SeeExitsInTurn(fleet, 1, kFirstBackend + 10, kExits - 1);
    fleet.RunFor(kRepeatTime);
    fleet.Heal();
    SeeExitsInTurn(fleet, 0, kFirstBackend + 20, kExits);
    for (int node = 0; node < kPartitionedNodes; ++node) {
      cr_assert(fleet.Knows(node), "node %d", node);
    }
  }
}

// Controls: without one of the messages the part is not found, or not by all.
Test(part_strike_partitions, without_reports_nobody_finds_what_three_nodes_see) {
  Fleet fleet(Partition(kPartitionedNodes, 0), {.tells_strikes = false});
  SeeExitsInTurn(fleet, 0, kFirstBackend, kExits);
  for (int node = 0; node < kPartitionedNodes; ++node) cr_assert(!fleet.Knows(node));
}

Test(part_strike_partitions, without_notices_some_do_not_know) {
  Fleet fleet(Partition(kPartitionedNodes, 0), {.tells_notices = false});
  SeeExitsInTurn(fleet, 0, kFirstBackend, kExits);
  int knowing = 0;
  for (int node = 0; node < kPartitionedNodes; ++node) knowing += fleet.Knows(node) ? 1 : 0;
  cr_assert(knowing > 0 && knowing < kPartitionedNodes, "%d", knowing);
}

}  // namespace
}  // namespace cartsail
