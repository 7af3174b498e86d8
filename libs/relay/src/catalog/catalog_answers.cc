// Serves the node's catalog to peers, and sends them the changes read from the store.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/text.h"
#include "cartsail/base/timer.h"
#include "catalog/catalog_path.h"
#include "catalog/catalog_sync.h"
#include "catalog/document_patch.h"
#include "catalog/reading_duty.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Entries in an update, 12 bytes each: an update has to fit into one packet with its changes.
constexpr size_t kMaxQuarantinedInUpdate = 16;
constexpr size_t kMaxQuarantinedInCatalog = 1000;  // entries in a catalog
constexpr Duration kFullCatalogTtl = seconds(1);   // it contains the document's age
// Delay between the turns of successive readers: an update reaches the other readers within a few
// milliseconds.
constexpr Duration kSendTurnInterval = milliseconds(25);

}  // namespace

// Sends the peers all backend changes after revision `since`, and confirms that there are no
// others. `confirmed`: when the store answered.
void CatalogSync::SendUpdate(int64_t since, TimePoint confirmed) {
  if (!on_update_ || context_.routing.Table() == nullptr) return;
  // The store's answer does not confirm a document of which a newer version is known.
  if (context_.routing.IsBehind()) confirmed = std::min(confirmed, context_.routing.Confirmed());
  StoreUpdate update;
  update.document_version = context_.routing.Version();
  update.changes.document_revision = position_.Document();
  update.list_revision = list_.revision;
  update.confirmed_age = Now() - confirmed;
  update.list_age = Now() - context_.streams.ProcessVerifier().ListConfirmed();
  update.changes.drained_zones = context_.dispatcher.Registry().Drains().Zones();
  update.changes.quarantined = context_.quarantine.List().Newest(kMaxQuarantinedInUpdate, Now());
  for (const ChangeBatch& batch : BatchesSince(since)) {
    update.changes.since = batch.since;
    update.changes.revision = batch.revision;
    update.changes.backends.clear();
    update.changes.gone.clear();
    for (const std::string& id : batch.ids) AddChange(id, &update.changes);
    on_update_(update);
  }
  sent_revision_ = list_.revision;
  sent_at_ = Now();
}

// One batch without changes when the change log does not reach back to `since`.
std::vector<ChangeBatch> CatalogSync::BatchesSince(int64_t since) const {
  const std::optional<std::vector<BackendChanges::Change>> changed = backend_changes_.Since(since);
  if (!changed.has_value()) return MakeChangeBatches({}, list_.revision, list_.revision);
  return MakeChangeBatches(*changed, since, list_.revision);
}

const DocumentPatch& CatalogSync::PatchFor(int64_t have) {
  if (have != 0 && patch_.base_version == have) return patch_;
  if (full_document_.bytes.empty())
    full_document_.bytes = MakeDocumentPatch({}, context_.routing.Encoded());
  return full_document_;
}

std::string CatalogSync::AnswerPeer(const HttpRequest& request) {
  int64_t have = 0;
  (void)ParseInteger(request.QueryParameter(kHaveParameter), &have);
  int64_t since = 0;
  (void)ParseInteger(request.QueryParameter(kSinceParameter), &since);
  return have == 0 && since == 0 ? EncodedFullCatalog()
                                 : EncodeCatalog(MakeCatalog(have, since), Now());
}

// Cached, because nodes that start together all request the full catalog. Not cached while the
// entry of a backend is missing, since that backend soon returns or is removed.
std::string CatalogSync::EncodedFullCatalog() {
  const TimePoint now = Now();
  const int64_t quarantine_changes = context_.quarantine.List().Changes();
  const bool is_fresh =
      now - encoded_full_at_ < kFullCatalogTtl && encoded_full_quarantine_ == quarantine_changes;
  if (!encoded_full_.empty() && is_fresh) return encoded_full_;
  encoded_full_quarantine_ = quarantine_changes;
  const CatalogMessage catalog = MakeCatalog(0, 0);
  const auto is_missing = [](const Backend& backend) { return backend.missing_until.has_value(); };
  const bool changes_soon =
      std::any_of(catalog.backends.begin(), catalog.backends.end(), is_missing);
  std::string encoded = EncodeCatalog(catalog, now);
  encoded_full_at_ = now;
  if (!changes_soon) encoded_full_ = encoded;
  return encoded;
}

// Adds the backend's current state, or its id to `gone` when it is no longer registered.
void CatalogSync::AddChange(const std::string& id, CatalogMessage* catalog) const {
  const Backend* backend = context_.dispatcher.Registry().Find(id);
  if (backend != nullptr) {
    catalog->backends.push_back(*backend);
  } else {
    catalog->gone.push_back(id);
  }
}

// Adds the backends changed after revision `since`, or all backends when the change log does not
// reach back that far.
void CatalogSync::FillBackends(int64_t since, CatalogMessage* catalog) const {
  const std::optional<std::vector<BackendChanges::Change>> changed = backend_changes_.Since(since);
  if (!changed.has_value()) {
    catalog->backends = context_.dispatcher.Registry().All();
    return;
  }
  catalog->since = since;
  for (const BackendChanges::Change& change : *changed) AddChange(change.id, catalog);
}

// Omits the document unless it is newer than version `have`.
CatalogMessage CatalogSync::MakeCatalog(int64_t have, int64_t since) {
  CatalogMessage catalog;
  catalog.revision = list_.revision;
  catalog.document_version = context_.routing.Version();
  catalog.document_revision = position_.Document();
  if (context_.routing.Version() > have) catalog.document = PatchFor(have);
  catalog.document_age = Now() - context_.routing.KnownSince();
  catalog.drained_zones = context_.dispatcher.Registry().Drains().Zones();
  catalog.quarantined = context_.quarantine.List().Newest(kMaxQuarantinedInCatalog, Now());
  FillBackends(since, &catalog);
  return catalog;
}

// All readers receive a change at the same time. The first reader sends it at once; each other
// reader waits for its turn and sends what has not been sent by then. A change is thus normally
// sent once, and is still sent when the first reader is cut off from the store.
void CatalogSync::SendUpdateInTurn(TimePoint confirmed) {
  // The others have these changes. On overloaded machines many nodes are behind, and a message from
  // each of them to all others would overload these further.
  if (reads_for_itself_) return;
  const size_t rank = std::min(peers_.ReadingRank(Now()), kStoreReaders);
  if (rank == 0) return SendUpdate(sent_revision_, confirmed);
  if (send_pending_) return;
  send_pending_ = true;
  asio::co_spawn(context_.io,
                 SendUpdateAfter(static_cast<int64_t>(rank) * kSendTurnInterval, confirmed),
                 asio::detached);
}

asio::awaitable<void> CatalogSync::SendUpdateAfter(Duration wait, TimePoint confirmed) {
  co_await Pause(wait);
  send_pending_ = false;
  SendUpdate(sent_revision_, confirmed);
}

}  // namespace cartsail
