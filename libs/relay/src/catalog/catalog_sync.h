// Keeps the routing document and the backend list in sync with the store. A few nodes of the fleet
// read both and watch for changes, and read everything again when the store has compacted the
// history that they need; the other nodes receive both from peers. More nodes read while the store
// answers none of the readers. A node that receives nothing from any peer reads the store itself,
// and one that does not get a newer document that a peer has reads the document there. Documents
// are ordered by version and backends by store revision, whatever their source.
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
#include "catalog/store_position.h"
#include "catalog/store_update.h"
#include "fleet/peer_table.h"
#include "relay_context.h"

namespace cartsail {

class CatalogSync {
 public:
  CatalogSync(RelayContext& context, const PeerTable& peers, KeyValueStore& store,
              const CatalogCodec& codec, CatalogKeys keys)
      : context_(context),
        list_(context.backend_list),
        peers_(peers),
        store_(store),
        codec_(codec),
        keys_(std::move(keys)) {}

  // Starts following the store; runs until the process ends.
  void Start();

  // Sets the callback that runs each time a newer document comes into force.
  void SetOnDocument(std::function<void()> on_document) { on_document_ = std::move(on_document); }

  // Sets the callback that receives each update to send to the peers, also one without changes that
  // only confirms the current state.
  void SetOnUpdate(std::function<void(StoreUpdate)> on_update) {
    on_update_ = std::move(on_update);
  }

  // Applies an update sent by a reader. Returns false when this node lacks earlier changes or the
  // document: it has to fetch the catalog, unless the update overtook an earlier one that is still
  // on its way.
  bool ApplyUpdate(const StoreUpdate& update, std::string_view source);

  // Sets when this node last received anything from another node.
  void NotePeersHeard(TimePoint last_heard) { peers_heard_ = last_heard; }

  // Patch from the previous document to the one in force.
  const DocumentPatch& LatestPatch() const { return patch_; }

  // Applies a patch received from `source`; ignored unless it is based on the document in force or
  // on none. `age`: time since the first node on its path put it in force.
  void ApplyPatch(const DocumentPatch& patch, std::string_view source, Duration age);

  // Reads the current entry of a backend from the store; nullopt when there is none.
  boost::asio::awaitable<absl::StatusOr<std::optional<Backend>>> ReadBackend(std::string id);

  // Store revision up to which all changes of back ends are known; 0: none.
  int64_t Revision() const { return list_.revision; }

  // True when this node should read the store itself.
  bool IsReading(TimePoint now) const;

  // Returns the encoded catalog that answers a peer's `request`.
  std::string AnswerPeer(const HttpRequest& request);

  // Records that a peer has this version of the document. The store is read if no peer hands it
  // over in time.
  void NoteVersionElsewhere(int64_t version, TimePoint now);

  // Records that a peer knows the changes of the back ends up to `revision`, and that the store
  // confirmed this to be all of them at `confirmed`; nullopt: unknown.
  void NoteListElsewhere(int64_t revision, std::optional<TimePoint> confirmed, TimePoint now);

  // Records that a peer with the same document had it confirmed by the store at `then`.
  void ConfirmByPeer(TimePoint then, TimePoint now);

  // Applies a peer's catalog as far as it is newer.
  void ApplyCatalog(const CatalogMessage& catalog, std::string_view source);

 private:
  enum class ReadMode { kNewest, kMayBeStale };

  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<void> ReadDocumentWhileBehind();
  boost::asio::awaitable<absl::Status> ReadDocument();
  boost::asio::awaitable<void> GetFirstCatalog();
  Duration PeerWaitTime() const;
  // True when this node, which has no catalog yet, may list the store.
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
  // True if this node follows the store's changes by a watch.
  bool IsFollowing(TimePoint now) const;
  bool IsListOutdated(TimePoint now) const;
  // True if this node reads the store for want of changes that the other nodes have.
  bool ReadsForItself(TimePoint now) const;
  TimePoint LastKnownAnswer(TimePoint now) const;
  boost::asio::awaitable<void> Pause(Duration duration);
  void ApplyListedDocument(const std::vector<KeyValue>& items, std::optional<TimePoint> asked);
  void ConfirmDocument(TimePoint then);
  void ConfirmList(const StoreUpdate& update, TimePoint now);
  void NoteDocumentElsewhere(int64_t version, int64_t revision);
  void NoteWatched(const std::vector<WatchEvent>& events);
  std::optional<int64_t> ApplyDocument(const std::string& text, std::string_view source,
                                       Duration age);
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
  // Fingerprint of the quarantined request stored under `key`; nullopt for any other key.
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
  BackendListState& list_;
  const PeerTable& peers_;
  KeyValueStore& store_;
  const CatalogCodec& codec_;
  CatalogKeys keys_;
  LapseGrace grace_;
  BackendChanges backend_changes_;
  EarlyUpdates early_updates_;
  InvalidEntryLog invalid_entries_;
  std::set<std::string> leaving_entries_;  // ids whose entries said so when read from the store
  std::function<void()> on_document_;
  std::function<void(StoreUpdate)> on_update_;
  TimePoint started_ = Now();
  TimePoint peers_heard_ = started_;
  size_t max_live_peers_ = 0;               // most peers live at once before the first catalog
  TimePoint last_member_found_ = started_;  // when max_live_peers_ last rose
  double listing_offset_ = 0;               // StartingNode::share
  TimePoint reading_until_{};               // reads at least until then, whatever its rank
  bool reads_for_itself_ = false;           // ReadsForItself() when the watch began
  TimePoint watch_asked_{};                 // start of the watch call, or its last answer
  StorePosition position_;                  // where the watch goes on
  bool reads_document_ = false;             // ReadDocumentWhileBehind() runs
  TimePoint sent_at_{};                     // when this node last sent an update
  int64_t sent_revision_ = 0;               // up to which some reader has sent the changes to all
  bool send_pending_ = false;
  DocumentPatch patch_;          // from the previous document to the one in force
  DocumentPatch full_document_;  // the whole document in force; empty until needed
  std::string encoded_full_;     // the full catalog; empty until requested
  TimePoint encoded_full_at_{};
  int64_t encoded_full_quarantine_ = 0;  // QuarantineList::Changes() of encoded_full_
  bool reachable_ = false;
  bool was_known_ = false;
};

}  // namespace cartsail
