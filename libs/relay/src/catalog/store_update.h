// What the store told a reader, on its way to all nodes, and how it travels: the reader sends it to
// one node of each other zone and to some of its own; each passes it on to the nodes that it is
// given as targets. A reader so sends some tens of messages, every other node a few, and each
// update crosses to another zone once. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "catalog/catalog_message.h"
#include "fleet/peer_table.h"

namespace cartsail {

struct StoreUpdate {
  // Back ends that changed after `changes.since`; receivers that know less fetch the rest. Without
  // a document.
  CatalogMessage changes;
  int64_t document_version = 0;
  Duration confirmed_age{};  // since the store answered
  // Since the list of back ends was the store's for sure; nothing: not told.
  std::optional<Duration> list_age;
  std::vector<std::string> targets;  // hosts to which the receiver passes it on
};

// A message to `host`, which is to pass it on to `targets`.
struct UpdateBranch {
  std::string host;
  std::vector<std::string> targets;
};

// Messages of one node at a time. With 8, an update takes four trips to reach 480 nodes.
inline constexpr size_t kUpdateFanOut = 8;

// From a reader in `zone` to all of `live`. The nodes that pass it on differ from time to time, so
// that one that does not answer holds up one update only.
std::vector<UpdateBranch> BranchesByZone(const std::vector<LivePeer>& live, const std::string& zone,
                                         std::mt19937_64& random);

// To `targets`, at most kUpdateFanOut branches.
std::vector<UpdateBranch> Branches(const std::vector<std::string>& targets);

}  // namespace cartsail
