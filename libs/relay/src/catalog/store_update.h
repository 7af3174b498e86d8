// Changes read from the store, and their distribution to all nodes: the reader sends an update to
// one node of each other zone and to some nodes of its own zone, and each of these forwards it to
// the targets named in it. The reader thus sends some tens of messages, every other node a few, and
// an update crosses into each other zone once. Pure.
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
  // Backends changed after `changes.since`, without a document. A receiver that lacks earlier
  // changes fetches them.
  CatalogMessage changes;
  int64_t document_version = 0;  // in force at the reader
  Duration confirmed_age{};      // time since the store answered the reader
  // Time since the backend list was last confirmed by the store; nullopt: unknown.
  std::optional<Duration> list_age;
  // Revision of the list whose age `confirmed_age` and `list_age` tell; 0: that of `changes`. Later
  // than that of `changes` when the changes follow in further updates.
  int64_t list_revision = 0;
  std::vector<std::string> targets;  // hosts to which the receiver forwards the update
};

// An update message to `host`, which forwards it to `targets`.
struct UpdateBranch {
  std::string host;
  std::vector<std::string> targets;
};

// Messages that one node sends per update in its zone. With 8, an update reaches 480 nodes in four
// hops.
inline constexpr size_t kUpdateFanOut = 8;

// Branches from a reader in `zone` to all of `live`. The forwarding nodes are chosen at random for
// each update, so that a node that does not respond delays only that update.
std::vector<UpdateBranch> BranchesByZone(const std::vector<LivePeer>& live, const std::string& zone,
                                         std::mt19937_64& random);

// Splits `targets` into at most kUpdateFanOut branches.
std::vector<UpdateBranch> Branches(const std::vector<std::string>& targets);

}  // namespace cartsail
