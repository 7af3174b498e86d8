// Keeps the routing document and the list of back ends as the store has them: reads both, then
// follows changes; reads again when the store has lost its history.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "cartsail/relay/catalog_codec.h"
#include "cartsail/store/key_value_store.h"
#include "relay_context.h"

namespace cartsail {

class CatalogSync {
 public:
  CatalogSync(RelayContext& context, KeyValueStore& store, const CatalogCodec& codec,
              CatalogKeys keys)
      : context_(context), store_(store), codec_(codec), keys_(std::move(keys)) {}

  // Runs until the process ends.
  void Start();

  // A document from a peer: put in force when it is newer.
  void ApplyDocument(const std::string& text, std::string_view source);

 private:
  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<absl::StatusOr<int64_t>> ReadAll();
  boost::asio::awaitable<void> PauseAfter(int failures);
  void ApplyAll(const std::vector<KeyValue>& items);
  void ApplyEvents(const std::vector<WatchEvent>& events);
  bool IsBackend(const std::string& key) const;
  std::string BackendId(const std::string& key) const;
  void ApplyBackend(const KeyValue& item);
  void NoteReachable(bool reachable, std::string_view why);

  RelayContext& context_;
  KeyValueStore& store_;
  const CatalogCodec& codec_;
  CatalogKeys keys_;
  bool reachable_ = false;
  bool was_known_ = false;
};

}  // namespace cartsail
