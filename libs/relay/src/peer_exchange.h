// Carries datagrams between nodes: tells them this node's load, prefixes, leaving back ends and
// catalog revision, takes in what they tell, and passes questions and answers of placements on. A
// new document is told at once, with what it changes; a node that hears of a newer catalog fetches
// it from who told so. Nothing here needs agreement: a lost datagram costs precision.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <set>
#include <string>
#include <vector>

#include "catalog_sync.h"
#include "datagram.h"
#include "document_announcer.h"
#include "fetch_schedule.h"
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
  boost::asio::awaitable<void> FetchCatalog(std::string host, FetchSchedule::Running fetch);
  void SendDigests();
  size_t Send(const std::string& host, const std::string& bytes);
  void Announce(const std::string& host);
  boost::asio::awaitable<void> AnnounceDocument();
  void OnNotice(const std::string& host, const DocumentNotice& notice);
  DocumentNotice MakeNotice(TimePoint now) const;
  NodeDigest DigestFor(const std::string& coordinator, NodeDigest digest, TimePoint now) const;
  std::set<std::string> Coordinators(TimePoint now) const;
  void OnDatagram(const std::string& host, std::string_view bytes);
  void OnDigest(const std::string& host, const NodeDigest& digest);
  void MaybeFetch(const std::string& host, int64_t version, TimePoint now);
  bool IsDue(const PeerRecord& peer, TimePoint now) const;
  NodeDigest MakeDigest(TimePoint now);

  RelayContext& context_;
  PeerTable& peers_;
  CatalogSync& catalog_;
  boost::asio::ip::udp::socket socket_;
  Duration interval_;  // to the next digests
  DocumentAnnouncer announcer_;
  bool announcing_ = false;
  size_t announced_bytes_ = 0;  // since the last digests
  FetchSchedule fetches_;
};

}  // namespace cartsail
