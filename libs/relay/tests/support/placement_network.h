// Several nodes in one process that place requests through their coordinator; messages are handed
// on in memory.
#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "placement/placement_service.h"

namespace cartsail {

namespace asio = boost::asio;

inline constexpr int kEngines = 20;
inline constexpr int64_t kSlots = 4;

inline std::string HostOf(int number) { return "10.0.0." + std::to_string(number); }

inline NodeState StateOf(int number) {
  NodeState state;
  state.node = "n" + std::to_string(number);
  state.zone = "z1";
  state.capacity = 0.25;
  state.uptime = seconds(10);
  return state;
}

struct TestNode {
  TestNode(asio::io_context& io, int number)
      : host(HostOf(number)),
        peers(StateOf(number), Now() - seconds(10)),
        dispatcher(PlacementPolicy(), "z1"),
        pool(io.get_executor()),
        service(io, dispatcher, peers, pool) {
    for (int i = 0; i < kEngines; ++i) {
      Backend engine;
      engine.id = "e" + std::to_string(i);
      engine.service = "llm";
      engine.address = engine.id + ":1";
      engine.zone = "z1";
      engine.slots = kSlots;
      dispatcher.Registry().Put(engine);
    }
  }

  std::string host;
  PeerTable peers;
  Dispatcher dispatcher;
  UpstreamPool pool;
  PlacementService service;
};

// Nodes that hear each other; `loses` decides which messages are lost.
class Network {
 public:
  explicit Network(int nodes) {
    for (int i = 0; i < nodes; ++i) nodes_.push_back(std::make_unique<TestNode>(io_, i));
    for (int i = 0; i < nodes; ++i) {
      for (int j = 0; j < nodes; ++j) {
        if (i != j) nodes_[i]->peers.Heard(HostOf(j), StateOf(j), Now());
      }
      TestNode* self = nodes_[i].get();
      self->service.SetTransport({[this, self](const std::string& host, const Datagram& datagram) {
                                    Carry(*self, host, datagram);
                                  },
                                  [](const std::string&) {}});
    }
  }

  TestNode& Node(int index) { return *nodes_[static_cast<size_t>(index)]; }

  // The node that places requests of the service.
  TestNode& Coordinator() {
    const std::string host = Node(0).peers.RankCoordinators("llm", 1, Now())[0];
    if (host.empty()) return Node(0);
    return *Find(host);
  }

  // A node that is not the coordinator.
  TestNode& Other() {
    for (const auto& node : nodes_) {
      if (node.get() != &Coordinator()) return *node;
    }
    return Node(0);
  }

  // Places one request of each profile at its node; all at once.
  std::vector<PlacementResult> ResultsOf(const std::vector<TestNode*>& at,
                                         const RequestProfile& profile) {
    std::vector<PlacementResult> results(at.size());
    for (size_t i = 0; i < at.size(); ++i) {
      asio::co_spawn(io_, PlaceOne(at[i], profile, &results[i]), asio::detached);
    }
    Run(milliseconds(400));
    return results;
  }

  // The same where it only counts where they went.
  std::vector<std::optional<Placement>> PlaceAll(const std::vector<TestNode*>& at,
                                                 const RequestProfile& profile) {
    std::vector<std::optional<Placement>> placements;
    for (PlacementResult& result : ResultsOf(at, profile)) {
      placements.push_back(std::move(result.placement));
    }
    return placements;
  }

  void Run(Duration time) {
    io_.restart();
    io_.run_for(time);
  }

  std::function<bool(const TestNode& from, const Datagram& datagram)> loses =
      [](const TestNode&, const Datagram&) { return false; };
  // What becomes of messages on their way.
  std::function<void(Datagram& datagram)> alters = [](Datagram&) {};

 private:
  static asio::awaitable<void> PlaceOne(TestNode* node, RequestProfile profile,
                                        PlacementResult* result) {
    *result = co_await node->service.Place(profile, {});
  }

  TestNode* Find(const std::string& host) {
    const auto is_host = [&host](const auto& node) { return node->host == host; };
    return std::find_if(nodes_.begin(), nodes_.end(), is_host)->get();
  }

  void Carry(const TestNode& from, const std::string& host, const Datagram& datagram) {
    if (loses(from, datagram)) return;
    const std::string bytes = EncodeDatagram(datagram, Now());
    TestNode* to = Find(host);
    asio::post(io_, [this, sender = from.host, to, bytes] { Deliver(sender, to, bytes); });
  }

  void Deliver(const std::string& sender, TestNode* to, const std::string& bytes) {
    std::optional<Datagram> datagram = DecodeDatagram(bytes, Now());
    alters(*datagram);
    if (const auto* question = std::get_if<PlacementQuestion>(&*datagram)) {
      to->service.OnQuestion(sender, *question, Now());
    }
    if (const auto* answer = std::get_if<PlacementAnswer>(&*datagram)) {
      to->service.OnAnswer(sender, *answer);
    }
    if (const auto* report = std::get_if<ProgressReport>(&*datagram)) {
      to->service.OnProgress(sender, *report, Now());
    }
  }

  asio::io_context io_;
  std::vector<std::unique_ptr<TestNode>> nodes_;
};

inline RequestProfile Question() {
  RequestProfile profile;
  profile.service = "llm";
  profile.is_generation = true;
  profile.first_output_goal = milliseconds(250);
  profile.prompt_tokens = 800;
  profile.prompt_parts = {{1, 200}, {2, 600}};
  profile.bytes_per_token = 1000;
  return profile;
}

inline std::vector<TestNode*> AllNodes(Network& network, int nodes) {
  std::vector<TestNode*> all;
  for (int i = 0; i < nodes; ++i) all.push_back(&network.Node(i));
  return all;
}

}  // namespace cartsail
