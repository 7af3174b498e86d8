// Keeps the routing document and the list of back ends as the store has them. A few nodes of the
// whole fleet read both and follow changes, and read all again when the store has lost its history;
// the others take both from peers. More nodes read while nobody hears the store, and a node that
// hears no peer, or does not get from peers what they have, reads itself. Documents are ordered by
// their versions, back ends by the store's revisions, wherever they come from.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "cartsail/base/log.h"
#include "cartsail/net/http_types.h"
#include "cartsail/relay/catalog_codec.h"
#include "cartsail/store/key_value_store.h"
#include "catalog/backend_changes.h"
#include "catalog/catalog_message.h"
#include "catalog/change_batches.h"
#include "catalog/early_updates.h"
#include "catalog/invalid_entry_log.h"
#include "catalog/lapse_grace.h"
#include "catalog/store_update.h"
#include "fleet/peer_table.h"
#include "relay_context.h"

namespace cartsail {

class CatalogSync {
 public:
  CatalogSync(RelayContext& context, const PeerTable& peers, KeyValueStore& store,
              const CatalogCodec& codec, CatalogKeys keys)
      : context_(context), peers_(peers), store_(store), codec_(codec), keys_(std::move(keys)) {}

  // Runs until the process ends.
  void Start();

  // Called whenever a newer document is in force.
  void SetOnDocument(std::function<void()> on_document) { on_document_ = std::move(on_document); }

  // Called with what the store told this node, and when nothing new was told.
  void SetOnUpdate(std::function<void(StoreUpdate)> on_update) {
    on_update_ = std::move(on_update);
  }

  // What the store told a reader. False when this node knows too little to apply it: it has to
  // fetch the catalog, unless the update overtook the one before it, which is still to come.
  bool ApplyUpdate(const StoreUpdate& update, std::string_view source);

  // This node has heard no other node since `last_heard`.
  void NotePeersHeard(TimePoint last_heard) { peers_heard_ = last_heard; }

  // Makes the document in force out of the one before.
  const DocumentPatch& LatestPatch() const { return patch_; }

  // A newer document from `source`, where it is made of the one in force here.
  void ApplyPatch(const DocumentPatch& patch, std::string_view source, Duration age);

  // The entry of a back end as the store has it now; nothing in the status where there is none.
  boost::asio::awaitable<absl::StatusOr<std::optional<Backend>>> ReadBackend(std::string id);

  // Revision of the store up to which all changes are known; 0: none.
  int64_t Revision() const { return revision_; }

  // True when this node is to read the store itself.
  bool IsReading(TimePoint now) const;

  // What this node knows, encoded for the peer whose request this is.
  std::string AnswerPeer(const HttpRequest& request);

  // A peer has told of a document of this version.
  void NoteVersionElsewhere(int64_t version, TimePoint now);

  // A peer with the same document had the store's word at `then`.
  void ConfirmByPeer(TimePoint then, TimePoint now);

  // What a peer knows: taken over when it is newer.
  void ApplyCatalog(const CatalogMessage& catalog, std::string_view source);

 private:
  enum class ReadMode { kNewest, kMayBeStale };

  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<void> GetFirstCatalog();
  Duration PeerWaitTime() const;
  // This node, which knows nothing yet, is to list the store.
  bool MayListFirst(TimePoint now);
  bool IsIsolated(TimePoint now) const;
  Duration Unconfirmed(TimePoint now) const;
  void NoteAnswered(TimePoint now);
  void SendUpdate(int64_t since, TimePoint confirmed);
  void SendUpdateInTurn(TimePoint confirmed);
  boost::asio::awaitable<void> SendUpdateAfter(Duration wait, TimePoint confirmed);
  std::vector<ChangeBatch> BatchesSince(int64_t since) const;
  void ApplyNext(const StoreUpdate& update, std::string_view source);
  void ApplyEarly(std::string_view source);
  boost::asio::awaitable<absl::Status> ReadAll(ReadMode mode);
  bool IsLeftBehind(TimePoint now) const;
  boost::asio::awaitable<void> Pause(Duration duration);
  void ApplyDocument(const std::string& text, std::string_view source, Duration age);
  void ReplaceBackends(std::vector<Backend> backends, std::string_view source,
                       std::optional<TimePoint> missing_until);
  void RemoveBackend(const std::string& id, LogLevel level, TimePoint now);
  void ApplyAll(const std::vector<KeyValue>& items, int64_t revision,
                std::optional<TimePoint> asked);
  std::vector<Backend> BackendsIn(const std::vector<KeyValue>& items);
  void NoteInvalidBackend(const std::string& id, const absl::Status& why);
  void RemoveOverwritten(const std::vector<KeyValue>& items);
  absl::StatusOr<Backend> DecodeEntry(const KeyValue& item, TimePoint now) const;
  bool IsStreamRecord(const WatchEvent& event) const;
  void ApplyEvents(const std::vector<WatchEvent>& events);
  bool IsBackend(const std::string& key) const;
  std::string BackendId(const std::string& key) const;
  bool IsKnownAlready(const KeyValue& item, TimePoint now) const;
  void ApplyBackend(const KeyValue& item);
  bool IsDrainedZone(const std::string& key) const;
  std::string DrainedZone(const std::string& key) const;
  std::set<std::string> DrainedZonesIn(const std::vector<KeyValue>& items) const;
  void ReplaceDrainedZones(const std::set<std::string>& zones, std::string_view source);
  void ApplyDrainedZone(const WatchEvent& event, TimePoint now);
  void LogDrainedZones(std::string_view source) const;
  // The request whose record has this key; nothing for any other key.
  std::optional<RequestFingerprint> QuarantinedIn(const std::string& key) const;
  void ApplyQuarantine(const WatchEvent& event, TimePoint now);
  CatalogMessage MakeCatalog(int64_t have, int64_t since);
  void AddChange(const std::string& id, CatalogMessage* catalog) const;
  void FillBackends(int64_t since, CatalogMessage* catalog) const;
  void ApplyChanges(const CatalogMessage& catalog, std::string_view source);
  const DocumentPatch& PatchFor(int64_t have);
  std::string EncodedFullCatalog();
  void NoteInvalid(const absl::Status& status, std::string_view source);
  void NoteReachable(bool reachable, std::string_view why);

  RelayContext& context_;
  const PeerTable& peers_;
  KeyValueStore& store_;
  const CatalogCodec& codec_;
  CatalogKeys keys_;
  LapseGrace grace_;
  BackendChanges backend_changes_;
  EarlyUpdates early_updates_;
  InvalidEntryLog invalid_entries_;
  std::function<void()> on_document_;
  std::function<void(StoreUpdate)> on_update_;
  TimePoint started_ = Now();
  TimePoint peers_heard_ = started_;
  size_t max_live_peers_ = 0;               // peers, at once, before the first catalog
  TimePoint last_member_found_ = started_;  // when a further one was heard of
  double listing_offset_ = 0;               // StartingNode::share
  TimePoint reading_until_{};               // though others come first
  int64_t revision_ = 0;
  TimePoint watch_asked_{};       // when the call was made whose events come
  int64_t watched_revision_ = 0;  // up to which the store has told events, of whatever keys
  TimePoint sent_at_{};           // when this node last told the others
  int64_t sent_revision_ = 0;     // up to which all nodes were told of changes, by whatever reader
  bool send_pending_ = false;
  DocumentPatch patch_;          // of the document in force, made of the one before
  DocumentPatch full_document_;  // of the document in force; empty until somebody needs it
  std::string encoded_full_;     // catalog for nodes that know nothing; empty until one asks
  TimePoint encoded_full_at_{};
  int64_t encoded_full_quarantine_ = 0;  // changes of the quarantine list by then
  // While a peer has a newer document than this node: since when.
  std::optional<TimePoint> behind_since_;
  bool must_list_ = true;  // the changes since `revision_` are not to be had from the store
  bool reachable_ = false;
  bool was_known_ = false;
};

}  // namespace cartsail
