// Tells other nodes this node's load, prefixes, leaving back ends and document version, in
// datagrams, and takes in what they tell. A node that hears of a newer document fetches it from
// who told so. Nothing here needs agreement: a lost datagram costs precision.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

#include "node_digest.h"
#include "relay_context.h"

namespace cartsail {

class PeerExchange {
 public:
  using DocumentSink = std::function<void(const std::string& text, std::string_view source)>;

  PeerExchange(RelayContext& context, DocumentSink on_document);

  // kInvalidArgument when the address cannot be bound.
  absl::Status Start();

  // Hosts that may be nodes, beside those heard of.
  void AddSeeds(const std::vector<std::string>& hosts);

 private:
  struct Peer {
    TimePoint added;
    TimePoint heard;  // a datagram of it came
    TimePoint last_sent;
  };

  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> SendPeriodically();
  boost::asio::awaitable<void> FetchDocument(std::string host);
  void SendDigests();
  void OnDatagram(const std::string& host, std::string_view bytes);
  void AddHost(const std::string& host, TimePoint now);
  void ForgetSilent(TimePoint now);
  bool IsDue(const Peer& peer, TimePoint now) const;
  Duration Interval(TimePoint now) const;
  NodeDigest MakeDigest(TimePoint now);

  RelayContext& context_;
  DocumentSink on_document_;
  boost::asio::ip::udp::socket socket_;
  std::map<std::string, Peer> peers_;  // by host
  bool fetching_ = false;
};

}  // namespace cartsail
