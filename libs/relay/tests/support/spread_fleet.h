// Many nodes in one process that hear each other over loopback: their datagrams, and their catalogs
// over links of 10 Mbit/s. None reads the store; the test puts documents in force at some of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/store/key_value_store.h"
#include "peer_exchange.h"

namespace cartsail::testing {

class FleetNode;

class SpreadFleet {
 public:
  // At 127.0.`network`.1 and so on: fleets at the same time need different ones.
  SpreadFleet(int nodes, int network);
  ~SpreadFleet();

  void RunFor(Duration duration);

  // The first `readers` nodes hear of document `version` from the store.
  void ApplyAtReaders(int readers, int64_t version);

  // A node hears of another list of back ends from the store.
  void ApplyBackendsAt(int node, int64_t revision);

  // The node's catalog is asked for in vain from now on.
  void FallSilent(int node);

  int CopiesOf(int node) const;

  int64_t RevisionAt(int node) const;

  // True when all nodes have `version` in force within `limit`.
  bool RunUntilAllHave(int64_t version, Duration limit);

  int NodesWith(int64_t version) const;

  int MostCopiesOfOneNode() const;

 private:
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
};

}  // namespace cartsail::testing
