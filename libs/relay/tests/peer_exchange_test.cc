// Nodes that hear each other over loopback datagrams.
#include "fleet/peer_exchange.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "support/own_hosts.h"
#include "support/relay_fixture.h"
#include "support/scripted_store.h"
#include "support/version_codec.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr uint16_t kPeerPort = 28741;

RelayOptions OptionsOf(const std::string& host, std::vector<std::string> seeds, Duration interval) {
  RelayOptions options;
  options.node_id = "node-" + host;
  options.zone = "z1";
  options.peer = {host, kPeerPort};
  options.seeds = std::move(seeds);
  options.digest_interval = interval;
  options.digest_bytes_per_s = 1e6;
  return options;
}

struct Node {
  Node(asio::io_context& io, const std::string& host, std::vector<std::string> seeds,
       Duration interval)
      : store(io),
        context(io, OptionsOf(host, std::move(seeds), interval), format),
        catalog(context, context.peers, store, codec, {}),
        exchange(context, catalog) {
    cr_assert(exchange.Start().ok());
  }

  bool Hears(const std::string& host) { return !context.peers.ZoneOf(host).empty(); }

  WireFormat format;
  testing::ScriptedStore store;  // away
  testing::VersionCodec codec;
  RelayContext context;
  CatalogSync catalog;
  PeerExchange exchange;
};

Test(peer_exchange, a_node_that_starts_is_answered_at_once_and_told_of_others) {
  asio::io_context io;
  // So long that within the test each node sends of its own accord once only.
  constexpr Duration kInterval = seconds(30);
  Node first(io, testing::OwnHost(31), {}, kInterval);
  Node second(io, testing::OwnHost(32), {testing::OwnHost(31)}, kInterval);
  io.run_for(milliseconds(100));
  cr_assert(first.Hears(testing::OwnHost(32)) && second.Hears(testing::OwnHost(31)));
  Node third(io, testing::OwnHost(33), {testing::OwnHost(31)}, kInterval);
  io.restart();
  io.run_for(milliseconds(100));
  cr_assert(third.Hears(testing::OwnHost(31)));
  const auto& known = third.context.peers.Peers();
  cr_assert(known.count(testing::OwnHost(32)) == 1, "told of the second by the first");
}

Backend EngineOf(const std::string& service) {
  Backend backend;
  backend.id = "b1";
  backend.service = service;
  backend.address = "127.0.0.1:1";
  return backend;
}

Test(peer_exchange, only_coordinators_are_told_of_loads) {
  constexpr int kNodes = 5;
  asio::io_context io;
  const RoutingDocument document = testing::PlainDocument();
  const std::string service = document.services[0].name;
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    const std::string host = testing::OwnHost(41 + i);
    nodes.push_back(std::make_unique<Node>(io, host, std::vector<std::string>{testing::OwnHost(41)},
                                           milliseconds(50)));
    nodes.back()->context.routing.Apply(*RouteTable::Build(document), "");
    nodes.back()->context.dispatcher.Registry().Put(EngineOf(service));
  }
  io.run_for(milliseconds(400));
  Node& busy = *nodes[0];
  RequestProfile profile;
  profile.service = service;
  (void)busy.context.dispatcher.Place(profile, {}, Now());
  io.restart();
  io.run_for(milliseconds(200));
  const auto ranked = busy.context.peers.RankCoordinators(service, 2, Now());
  for (int i = 1; i < kNodes; ++i) {
    Node& other = *nodes[static_cast<size_t>(i)];
    const std::string& host = other.context.options.peer.host;
    const bool coordinates = std::find(ranked.begin(), ranked.end(), host) != ranked.end();
    const auto placement = other.context.dispatcher.Place(profile, {}, Now());
    cr_assert(placement->load.requests == (coordinates ? 1 : 0), "%s", host.c_str());
    cr_assert(other.context.peers.LiveCount() + 1 == kNodes);
  }
}

}  // namespace
}  // namespace cartsail
