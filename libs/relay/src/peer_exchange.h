// Carries datagrams between nodes: tells them this node's load, prefixes, leaving back ends and
// catalog revision, takes in what they tell, and passes questions and answers of placements on. A
// node that hears of a newer catalog fetches it from who told so. Nothing here needs agreement: a
// lost datagram costs precision.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <set>
#include <string>
#include <vector>

#include "catalog_sync.h"
#include "datagram.h"
#include "peer_table.h"
#include "relay_context.h"

namespace cartsail {

class PeerExchange {
 public:
  PeerExchange(RelayContext& context, CatalogSync& catalog);

  // kInvalidArgument when the address cannot be bound.
  absl::Status Start();

  // Hosts that may be nodes, beside those heard of.
  void AddSeeds(const std::vector<std::string>& hosts);

 private:
  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> SendPeriodically();
  boost::asio::awaitable<void> FetchCatalog(std::string host);
  void SendDigests();
  size_t Send(const std::string& host, const std::string& bytes);
  void Announce(const std::string& host);
  NodeDigest DigestFor(const std::string& coordinator, NodeDigest digest, TimePoint now) const;
  std::set<std::string> Coordinators(TimePoint now) const;
  void OnDatagram(const std::string& host, std::string_view bytes);
  void OnDigest(const std::string& host, const NodeDigest& digest);
  bool IsDue(const PeerRecord& peer, TimePoint now) const;
  NodeDigest MakeDigest(TimePoint now);

  RelayContext& context_;
  PeerTable& peers_;
  CatalogSync& catalog_;
  boost::asio::ip::udp::socket socket_;
  Duration interval_;  // to the next digests
  TimePoint fetched_{};
  bool fetching_ = false;
};

}  // namespace cartsail
