// A node of a fleet in one process: its datagrams, and its catalog over a link of 10 Mbit/s.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/net/http_server.h"
#include "fleet/peer_exchange.h"
#include "scripted_store.h"
#include "version_codec.h"

namespace cartsail::testing {

// Ids of the back ends that every node knows at first: as many as a deployment of 84 nodes has.
inline constexpr int kFleetBackends = 116;
std::string FleetBackendId(int index);

class FleetNode {
 public:
  FleetNode(boost::asio::io_context& io, const std::string& host,
            const std::vector<std::string>& seeds);

  // The node hears from elsewhere of document `version`, with a revision that is the same number.
  void Apply(int64_t version);

  // Another list of back ends, with the same document.
  void ApplyBackends(int64_t revision);

  // Reads its store, which holds a document and the back ends.
  void StartReading(int64_t revision);

  // The store tells of a back end that comes or goes.
  void PushBackend(const std::string& id, int64_t revision);
  void PushGone(const std::string& id, int64_t revision);

  // The store tells that a zone is drained or restored.
  void PushDrain(const std::string& zone, int64_t revision);
  void PushRestore(const std::string& zone, int64_t revision);

  // The node learns that `zone`, and no other, is drained, and nobody is told by a message of its
  // own.
  void ApplyDrain(const std::string& zone, int64_t revision);

  // From now on its catalog is asked for in vain.
  void FallSilent() { silent_ = true; }

  bool IsReading() const { return catalog_.IsReading(Now()); }
  bool Knows(const std::string& backend) const;
  bool IsDrained(const std::string& zone) const;
  size_t Backends() const { return context_.dispatcher.Registry().Size(); }
  int64_t Revision() const { return catalog_.Revision(); }
  int64_t Version() const { return context_.routing.Version(); }

  // Catalogs that the node has handed over.
  int Copies() const { return copies_; }

  // Size of the catalog for a node that has the document and knows back ends up to `revision`.
  size_t CatalogBytesSince(int64_t revision);

 private:
  boost::asio::awaitable<void> AnswerCatalog(HttpExchange& request);

  WireFormat format_;
  ScriptedStore store_;
  VersionCodec codec_;
  mutable RelayContext context_;
  CatalogSync catalog_;
  PeerExchange exchange_;
  std::unique_ptr<HttpServer> server_;
  TimePoint link_free_{};
  int copies_ = 0;
  bool silent_ = false;
};

}  // namespace cartsail::testing
