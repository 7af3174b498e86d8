// Many nodes in one process that hear each other over loopback.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fleet_node.h"

namespace cartsail::testing {

class SpreadFleet {
 public:
  explicit SpreadFleet(int nodes);

  void RunFor(Duration duration);

  FleetNode& At(int node) { return *nodes_[static_cast<size_t>(node)]; }

  // All nodes hear of document `version` elsewhere.
  void ApplyAtAll(int64_t version);

  // True when all nodes have document `version` in force within `limit`.
  bool RunUntilAllHave(int64_t version, Duration limit);

  // True when all nodes know the store up to `revision` within `limit`.
  bool RunUntilAllKnow(int64_t revision, Duration limit);

  // True when `node` has handed over, or begun to, `copies` catalogs within `limit`.
  bool RunUntilCopies(int node, int copies, Duration limit);

  int NodesWith(int64_t version) const;

  // The first node that reads its store.
  int FirstReader() const;

  int MostCopiesOfOneNode() const;

  // Catalogs that all nodes together have handed over.
  int Copies() const;

 private:
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
};

}  // namespace cartsail::testing
