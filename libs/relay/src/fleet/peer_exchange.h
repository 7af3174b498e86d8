// Exchange of datagrams between nodes: membership, load digests for the coordinators of this node's
// requests, placement questions and answers, new documents, and store updates from the nodes that
// read the store. A node that learns of a newer catalog than its own fetches it from the peer that
// announced it. No consensus is required: a lost datagram only costs precision.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "catalog/catalog_sync.h"
#include "catalog/document_announcer.h"
#include "catalog/fetch_schedule.h"
#include "fleet/datagram.h"
#include "fleet/peer_gossip.h"
#include "fleet/peer_table.h"
#include "relay_context.h"

namespace cartsail {

class PeerExchange {
 public:
  PeerExchange(RelayContext& context, CatalogSync& catalog);

  // Binds the peer address and starts the exchange. Returns kInvalidArgument when the address is
  // not an IP address or cannot be bound.
  absl::Status Start();

  // Adds hosts that may be nodes, in addition to those learnt from peers.
  void AddSeeds(const std::vector<std::string>& hosts);

 private:
  boost::asio::awaitable<void> Receive();
  void ReadWaiting();
  boost::asio::awaitable<void> GossipPeriodically();
  boost::asio::awaitable<void> SendDigestsPeriodically();
  boost::asio::awaitable<void> TickUsagePeriodically();
  boost::asio::awaitable<void> FetchCatalog(std::string host, FetchSchedule::Running fetch);
  // A node that knows the catalog up to `revision`.
  struct FetchTarget {
    std::string host;
    int64_t revision = 0;
  };

  boost::asio::awaitable<void> FetchAfterGap();
  boost::asio::awaitable<void> FetchAfterView(FetchTarget target);
  boost::asio::awaitable<void> FetchIfBehind(const FetchTarget& target, Duration grace_period);
  Duration UpdateGracePeriod(const std::string& host) const;
  boost::asio::awaitable<void> AnnounceDocument();
  void SendDigests();
  size_t Send(const std::string& host, const Datagram& datagram);
  void SendAll(std::vector<AddressedGossip> messages, TimePoint now);
  void SendDigestTo(const std::string& host);
  void LogMemberChanges(TimePoint now);
  void NoteStandstill(Duration length);
  void AskIfUnverified(TimePoint now);
  void NoteAllRead(TimePoint now);
  void Spread(StoreUpdate update, const std::vector<UpdateBranch>& branches);
  void OnDatagram(const std::string& host, std::string_view bytes);
  void OnGossip(const std::string& host, const GossipMessage& message);
  void OnView(const std::string& host, const StoreView& view, TimePoint now);
  void OnAnswer(const std::string& host, const GossipMessage& answer, TimePoint now);
  void FetchMissed(const std::string& host, const StoreView& view, TimePoint now);
  void OnUpdate(const std::string& host, const StoreUpdate& update);
  void OnQuarantine(const QuarantineNotice& notice, TimePoint now);
  // Sends a message to the hosts of each branch, which forward it to the branch's targets.
  template <typename Message>
  void SendAlong(Message message, const std::vector<UpdateBranch>& branches);
  void OnNotice(const std::string& host, const DocumentNotice& notice);
  void OnDigest(const std::string& host, const NodeDigest& digest);
  // Starts a catalog fetch. Returns false when a running or recently ended fetch prevents it.
  // `version` is the document version at `host`.
  bool MaybeFetch(const std::string& host, int64_t version, TimePoint now);
  bool IsInOtherZone(const std::string& host) const;
  bool HasMissedUpdate(const std::string& host, int64_t revision, TimePoint now);
  std::optional<std::string> NearSource(TimePoint now);
  StoreView View(TimePoint now) const;
  DocumentNotice MakeNotice(TimePoint now) const;
  NodeDigest MakeDigest(TimePoint now);
  NodeDigest DigestFor(const std::string& coordinator, NodeDigest digest, TimePoint now) const;
  std::set<std::string> Coordinators(TimePoint now) const;

  RelayContext& context_;
  PeerTable& peers_;
  CatalogSync& catalog_;
  boost::asio::ip::udp::socket socket_;
  std::string receive_buffer_;
  // When no datagram waited unread: those that are read later arrived after this.
  TimePoint all_read_ = Now();
  std::mt19937_64 random_;
  PeerGossip gossip_;
  Duration digest_interval_;  // time until the next digests
  DocumentAnnouncer announcer_;
  bool announcing_ = false;
  FetchSchedule fetches_;
  bool tried_near_source_ = false;  // a catalog fetch has been started
  // The newest update that arrived before its predecessor: a fetch from its sender is scheduled,
  // unless the missing update arrives.
  std::optional<FetchTarget> gap_;
  // Catalog revision of a peer that was ahead of this node, and when it was first seen; 0: none.
  int64_t newer_revision_ = 0;
  TimePoint newer_revision_since_{};
  TimePoint members_logged_{};
};

}  // namespace cartsail
