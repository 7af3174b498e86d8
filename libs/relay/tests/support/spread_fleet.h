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
  explicit SpreadFleet(int nodes);
  ~SpreadFleet();

  void RunFor(Duration duration);

  // The first `readers` nodes hear of document `version` from the store.
  void ApplyAtReaders(int readers, int64_t version);

  // True when all nodes have `version` in force within `limit`.
  bool RunUntilAllHave(int64_t version, Duration limit);

  int NodesWith(int64_t version) const;

  int MostCopiesOfOneNode() const;

 private:
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
};

}  // namespace cartsail::testing
