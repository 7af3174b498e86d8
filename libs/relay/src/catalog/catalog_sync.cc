#include "catalog/catalog_sync.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "catalog/backend_news.h"
#include "catalog/document_patch.h"

namespace cartsail {
namespace {

constexpr size_t kIdsPerLogLine = 5;

std::string FormatMillis(Duration duration) { return fmt::format("{:.0f}", ToMillis(duration)); }

std::vector<std::string> FirstOf(const std::vector<std::string>& ids, size_t count) {
  const auto end = ids.begin() + static_cast<int64_t>(std::min(count, ids.size()));
  return {ids.begin(), end};
}

std::vector<std::string> LeavingAmong(const std::vector<Backend>& backends) {
  std::vector<std::string> leaving;
  for (const Backend& backend : backends) {
    if (backend.state == BackendState::kLeaving) leaving.push_back(backend.id);
  }
  return leaving;
}

std::set<std::string> ServicesOf(const RoutingDocument& document) {
  std::set<std::string> services;
  for (const ServiceRule& service : document.services) services.insert(service.name);
  return services;
}

}  // namespace

bool CatalogSync::IsBackend(const std::string& key) const {
  return key.compare(0, keys_.backend_prefix.size(), keys_.backend_prefix) == 0;
}

std::string CatalogSync::BackendId(const std::string& key) const {
  return key.substr(keys_.backend_prefix.size());
}

bool CatalogSync::IsDrainedZone(const std::string& key) const {
  const std::string& prefix = keys_.drained_zone_prefix;
  return !prefix.empty() && key.compare(0, prefix.size(), prefix) == 0;
}

std::string CatalogSync::DrainedZone(const std::string& key) const {
  return key.substr(keys_.drained_zone_prefix.size());
}

std::set<std::string> CatalogSync::DrainedZonesIn(const std::vector<KeyValue>& items) const {
  std::set<std::string> zones;
  for (const KeyValue& item : items) {
    if (IsDrainedZone(item.key)) zones.insert(DrainedZone(item.key));
  }
  return zones;
}

void CatalogSync::ReplaceDrainedZones(const std::set<std::string>& zones, std::string_view source) {
  if (!context_.dispatcher.Registry().ReplaceDrainedZones(zones, Now())) return;
  LogDrainedZones(source);
}

void CatalogSync::ApplyDrainedZone(const WatchEvent& event, TimePoint now) {
  BackendRegistry& registry = context_.dispatcher.Registry();
  const std::string zone = DrainedZone(event.kv.key);
  const bool changed =
      event.deleted ? registry.RestoreZone(zone, now) : registry.DrainZone(zone, now);
  if (changed) LogDrainedZones("store");
}

void CatalogSync::LogDrainedZones(std::string_view source) const {
  const std::vector<std::string> zones = context_.dispatcher.Registry().Drains().Zones();
  Log(LogLevel::kInfo, "drained_zones",
      {{"zones", fmt::format("{}", fmt::join(zones, ","))},
       {"revision", std::to_string(list_.revision)},
       {"source", std::string(source)}});
}

std::optional<RequestFingerprint> CatalogSync::QuarantinedIn(const std::string& key) const {
  const std::string& prefix = keys_.quarantine_prefix;
  if (prefix.empty() || key.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  RequestFingerprint request = 0;
  if (!ParseFingerprint(std::string_view(key).substr(prefix.size()), &request)) return std::nullopt;
  return request;
}

void CatalogSync::ApplyQuarantine(const WatchEvent& event, TimePoint now) {
  const std::optional<RequestFingerprint> request = QuarantinedIn(event.kv.key);
  if (!request.has_value()) return;
  if (event.deleted) return context_.quarantine.NoteErased(*request, now);
  const std::optional<std::vector<PartFingerprint>> parts = ParseParts(event.kv.value);
  if (parts.has_value()) return context_.quarantine.NoteRecorded(*request, *parts, now);
  Log(LogLevel::kWarning, "quarantine_record_invalid", {{"key", event.kv.key}});
}

void CatalogSync::NoteInvalidBackend(const std::string& id, const absl::Status& why) {
  GlobalCounters().backends_invalid_total.Add();
  if (!invalid_entries_.MayLog(id, Now())) {
    GlobalCounters().backends_invalid_unlogged_total.Add();
    return;
  }
  Log(LogLevel::kWarning, "backend_invalid",
      {{"backend", id}, {"why", std::string(why.message())}});
}

// An entry without a start time is also an error when the known entry with this id has one: then it
// was not written by the backend.
absl::StatusOr<Backend> CatalogSync::DecodeEntry(const KeyValue& item, TimePoint now) const {
  const std::string id = BackendId(item.key);
  absl::StatusOr<Backend> backend = codec_.DecodeBackend(id, item.value, now);
  if (!backend.ok()) return backend;
  const Backend* known = context_.dispatcher.Registry().Find(id);
  const bool lacks_start = known != nullptr && known->started_ms != 0 && backend->started_ms == 0;
  if (lacks_start) return MakeError(ErrorKind::kInvalidSetting, "start: missing");
  backend->created_revision = item.create_revision;
  return backend;
}

std::vector<Backend> CatalogSync::BackendsIn(const std::vector<KeyValue>& items) {
  const TimePoint now = Now();
  std::vector<Backend> backends;
  for (const KeyValue& item : items) {
    if (!IsBackend(item.key)) continue;
    absl::StatusOr<Backend> backend = DecodeEntry(item, now);
    if (!backend.ok()) {
      NoteInvalidBackend(BackendId(item.key), backend.status());
      continue;
    }
    backends.push_back(std::move(*backend));
  }
  return backends;
}

// Removes backends whose entry is present but invalid. Such an entry was overwritten and has not
// expired, so its backend is removed even while backends with missing entries are kept.
void CatalogSync::RemoveOverwritten(const std::vector<KeyValue>& items) {
  const TimePoint now = Now();
  BackendRegistry& registry = context_.dispatcher.Registry();
  for (const KeyValue& item : items) {
    if (!IsBackend(item.key)) continue;
    const std::string id = BackendId(item.key);
    const bool is_kept = registry.Find(id) != nullptr;
    if (is_kept && !DecodeEntry(item, now).ok()) registry.Remove(id);
  }
  context_.dispatcher.ForgetRemovedBackends();
}

// Applies a full list of the store. `revision`: store revision of the list; `asked`: when the list
// was requested, nullopt when it may be stale.
void CatalogSync::ApplyAll(const std::vector<KeyValue>& items, int64_t revision,
                           std::optional<TimePoint> asked) {
  const TimePoint now = Now();
  // A list that may be stale is no base for a watch.
  if (asked.has_value()) position_.NoteListed(revision);
  ApplyListedDocument(items, asked);
  for (const KeyValue& item : items) ApplyQuarantine({false, item}, now);
  if (asked.has_value()) {
    grace_.NoteAnswer(LastKnownAnswer(now), now, now);
    NoteAnswered(now);
  }
  // A peer's catalog that arrived meanwhile may be newer. An older list must not replace it: the
  // changes between the two would be lost, since the watch continues from the newer revision.
  if (revision >= list_.revision) {
    list_.revision = revision;
    if (asked.has_value()) list_.Confirm(*asked);
    sent_revision_ = std::max(sent_revision_, list_.revision);
    backend_changes_.Reset(revision);
    ReplaceBackends(BackendsIn(items), "store", grace_.MissingUntil(now));
    RemoveOverwritten(items);
    ReplaceDrainedZones(DrainedZonesIn(items), "store");
  }
  if (!asked.has_value()) return;
  // The list is confirmed as of its request, since the answer may have been delayed.
  ConfirmDocument(*asked);
  if (list_.revision >= revision) context_.streams.ProcessVerifier().NoteListConfirmed(*asked);
  SendUpdate(list_.revision, *asked);
}

// Applies the document among `items`, all that the store holds of it. `asked`: when the items were
// requested, nullopt when they may be stale.
void CatalogSync::ApplyListedDocument(const std::vector<KeyValue>& items,
                                      std::optional<TimePoint> asked) {
  for (const KeyValue& item : items) {
    if (item.key != keys_.document) continue;
    const std::optional<int64_t> version = ApplyDocument(item.value, "store", Duration(0));
    if (!version.has_value() || !asked.has_value()) return;
    if (!context_.routing.NoteNewestInStore(*version, *asked)) return;
    Log(LogLevel::kWarning, "newer_document_not_in_store",
        {{"store_version", std::to_string(*version)},
         {"version", std::to_string(context_.routing.Version())}});
  }
}

// Records that the store held no newer document than the one in force at `then`. While a newer one
// is known, the store's answer may be older than the change.
void CatalogSync::ConfirmDocument(TimePoint then) {
  if (!context_.routing.IsBehind()) context_.routing.ConfirmFromPeer(then);
}

bool CatalogSync::ApplyUpdate(const StoreUpdate& update, std::string_view source) {
  const TimePoint now = Now();
  const CatalogMessage& changes = update.changes;
  NoteDocumentElsewhere(update.document_version, changes.document_revision);
  // Confirm before applying the changes: an outage of the store that this reveals explains entries
  // that are now missing.
  if (update.document_version == context_.routing.Version()) {
    ConfirmByPeer(now - update.confirmed_age, now);
  }
  sent_revision_ = std::max(sent_revision_, changes.revision);
  const bool has_document = update.document_version <= context_.routing.Version();
  if (changes.revision <= list_.revision) {
    ConfirmList(update, now);
    return has_document;
  }
  if (list_.revision == 0) return false;
  if (changes.since.value_or(0) > list_.revision) {
    list_.NoteRevisionElsewhere(changes.revision, now);
    early_updates_.Keep(update);
    return false;
  }
  ApplyNext(update, source);
  ApplyEarly(source);
  ConfirmList(update, now);
  return has_document;
}

// Records how old the sender's list of back ends is, if this node's list has all that it has. The
// last of its changes may still be on their way in further updates.
void CatalogSync::ConfirmList(const StoreUpdate& update, TimePoint now) {
  if (list_.revision < std::max(update.list_revision, update.changes.revision)) return;
  list_.Confirm(now - update.confirmed_age);
  if (!update.list_age.has_value()) return;
  context_.streams.ProcessVerifier().NoteListConfirmed(now - *update.list_age);
}

// Records that a peer has `version` of the document in force, and that it is the newest as of store
// revision `revision` (0: unknown). Only a node that has this version shares that knowledge.
void CatalogSync::NoteDocumentElsewhere(int64_t version, int64_t revision) {
  NoteVersionElsewhere(version, Now());
  if (version != 0 && version <= context_.routing.Version()) position_.NoteDocument(revision);
}

void CatalogSync::ApplyNext(const StoreUpdate& update, std::string_view source) {
  const CatalogMessage& changes = update.changes;
  list_.revision = changes.revision;
  encoded_full_.clear();
  context_.quarantine.Merge(changes.quarantined, Now());
  if (!changes.backends.empty() || !changes.gone.empty()) {
    GlobalHistograms().backend_changes_spread_ms.Note(update.confirmed_age);
    ApplyChanges(changes, source);
  }
  ReplaceDrainedZones({changes.drained_zones.begin(), changes.drained_zones.end()}, source);
}

void CatalogSync::ApplyEarly(std::string_view source) {
  while (const std::optional<StoreUpdate> next = early_updates_.TakeNext(list_.revision)) {
    ApplyNext(*next, source);
  }
}

void CatalogSync::ReplaceBackends(std::vector<Backend> backends, std::string_view source,
                                  std::optional<TimePoint> missing_until) {
  encoded_full_.clear();
  leaving_entries_.clear();
  Log(LogLevel::kInfo, "backends_replaced",
      {{"count", std::to_string(backends.size())},
       {"revision", std::to_string(list_.revision)},
       {"lapsed_kept", missing_until.has_value() ? "true" : "false"},
       {"source", std::string(source)}});
  context_.dispatcher.Registry().ReplaceAll(std::move(backends), missing_until);
  context_.dispatcher.ForgetRemovedBackends();
}

// When the store is last known to have answered this node or a peer; TimePoint() if never. While
// this process stood still it could learn of no answer, which says nothing of the store.
TimePoint CatalogSync::LastKnownAnswer(TimePoint now) const {
  const TimePoint confirmed = context_.routing.Confirmed();
  if (confirmed == TimePoint()) return confirmed;
  return std::max(confirmed, context_.standstill.LastEnded(now));
}

void CatalogSync::ConfirmByPeer(TimePoint then, TimePoint now) {
  const TimePoint confirmed = LastKnownAnswer(now);
  if (then > confirmed) grace_.NoteAnswer(confirmed, then, now);
  context_.routing.ConfirmFromPeer(then);
}

void CatalogSync::ApplyCatalog(const CatalogMessage& catalog, std::string_view source) {
  context_.quarantine.Merge(catalog.quarantined, Now());
  if (!catalog.document.bytes.empty()) {
    ApplyPatch(catalog.document, source, catalog.document_age);
  }
  NoteDocumentElsewhere(catalog.document_version, catalog.document_revision);
  if (catalog.revision <= list_.revision) return;
  list_.revision = catalog.revision;
  sent_revision_ = std::max(sent_revision_, list_.revision);
  ReplaceDrainedZones({catalog.drained_zones.begin(), catalog.drained_zones.end()}, source);
  if (catalog.since.has_value()) {
    ApplyChanges(catalog, source);
  } else {
    backend_changes_.Reset(list_.revision);
    ReplaceBackends(catalog.backends, source, grace_.MissingUntil(Now()));
  }
  ApplyEarly(source);
}

// Applies the changes since a revision that this node knew, sent or fetched from a peer.
void CatalogSync::ApplyChanges(const CatalogMessage& catalog, std::string_view source) {
  encoded_full_.clear();
  const std::vector<std::string> leaving = LeavingAmong(catalog.backends);
  Log(LogLevel::kInfo, "backends_changed",
      {{"changed", std::to_string(catalog.backends.size())},
       {"leaving", std::to_string(leaving.size())},
       {"gone", std::to_string(catalog.gone.size())},
       {"since", std::to_string(*catalog.since)},
       {"revision", std::to_string(list_.revision)},
       {"some_leaving", fmt::format("{}", fmt::join(FirstOf(leaving, kIdsPerLogLine), ","))},
       {"some_gone", fmt::format("{}", fmt::join(FirstOf(catalog.gone, kIdsPerLogLine), ","))},
       {"unconfirmed_ms",
        list_.confirmed == TimePoint() ? "none" : FormatMillis(Now() - list_.confirmed)},
       {"source", std::string(source)}});
  for (const Backend& backend : catalog.backends) {
    backend_changes_.Note(backend.id, list_.revision);
    context_.dispatcher.Registry().Put(backend);
  }
  const TimePoint now = Now();
  for (const std::string& id : catalog.gone) {
    backend_changes_.Note(id, list_.revision);
    RemoveBackend(id, LogLevel::kDebug, now);
  }
}

// Nodes that read the store log each removed backend at info level. The other nodes, several
// hundred, log only one line per set of changes at that level.
void CatalogSync::RemoveBackend(const std::string& id, LogLevel level, TimePoint now) {
  leaving_entries_.erase(id);
  const std::optional<TimePoint> missing_until = grace_.MissingUntil(now);
  Log(level, missing_until.has_value() ? "backend_missing" : "backend_gone", {{"backend", id}});
  context_.dispatcher.Registry().Remove(id, missing_until);
  context_.dispatcher.ForgetRemovedBackends();
}

// Nodes write stream records several times a second, and these are not sent to peers. Announcing a
// revision that changed nothing else would make all nodes fetch a catalog that they already have.
bool CatalogSync::IsStreamRecord(const WatchEvent& event) const {
  const std::string& prefix = keys_.stream_prefix;
  return !prefix.empty() && event.kv.key.starts_with(prefix);
}

void CatalogSync::ApplyEvents(const std::vector<WatchEvent>& events) {
  const TimePoint now = Now();
  const int64_t known = list_.revision;
  // The answer may have waited to be read.
  const TimePoint answered = std::max(watch_asked_, context_.standstill.ArrivedAfter(now));
  grace_.NoteAnswer(LastKnownAnswer(now), answered, now);
  NoteAnswered(now);
  const auto is_of_stream = [this](const WatchEvent& event) { return IsStreamRecord(event); };
  if (!events.empty() && std::all_of(events.begin(), events.end(), is_of_stream)) {
    NoteWatched(events);
    ConfirmDocument(answered);
    list_.Confirm(answered);
    context_.streams.ProcessVerifier().NoteListConfirmed(watch_asked_);
    // Confirms the state to the peers as often as a watch that ends without events would.
    if (now - sent_at_ >= context_.document_limits.min_watch) SendUpdateInTurn(answered);
    return;
  }
  for (const WatchEvent& event : events) {
    const std::string& key = event.kv.key;
    if (key == keys_.document && !event.deleted) {
      (void)ApplyDocument(event.kv.value, "store", Duration(0));
    }
    ApplyQuarantine(event, now);
    // Changes of the list were already received from a peer. The document and the quarantine are
    // not part of what a peer's revision tells.
    if (event.kv.mod_revision <= known) continue;
    if (IsDrainedZone(key)) ApplyDrainedZone(event, now);
    if (IsBackend(key) && !event.deleted && IsKnownAlready(event.kv, now)) continue;
    if (IsBackend(key)) backend_changes_.Note(BackendId(key), event.kv.mod_revision);
    if (IsBackend(key) && !event.deleted) ApplyBackend(event.kv);
    if (IsBackend(key) && event.deleted) RemoveBackend(BackendId(key), LogLevel::kInfo, now);
  }
  for (const WatchEvent& event : events)
    list_.revision = std::max(list_.revision, event.kv.mod_revision);
  NoteWatched(events);
  ConfirmDocument(answered);
  list_.Confirm(answered);
  context_.streams.ProcessVerifier().NoteListConfirmed(watch_asked_);
  encoded_full_.clear();
  SendUpdateInTurn(answered);
}

void CatalogSync::NoteWatched(const std::vector<WatchEvent>& events) {
  for (const WatchEvent& event : events) position_.NoteWatched(event.kv.mod_revision);
}

// True for an entry that adds nothing to the registered backend; such an entry is neither recorded
// as a change nor sent to peers.
bool CatalogSync::IsKnownAlready(const KeyValue& item, TimePoint now) const {
  const std::string id = BackendId(item.key);
  const Backend* known = context_.dispatcher.Registry().Find(id);
  if (known == nullptr) return false;
  absl::StatusOr<Backend> update = codec_.DecodeBackend(id, item.value, now);
  if (!update.ok()) return false;
  // This node may know from the back end's answers or from digests that it leaves; the others do
  // not until the entry is passed on.
  if (update->state == BackendState::kLeaving && !leaving_entries_.contains(id)) return false;
  update->created_revision = item.create_revision;
  return IsRedundantUpdate(*known, *update, now);
}

void CatalogSync::ApplyBackend(const KeyValue& item) {
  const std::string id = BackendId(item.key);
  const TimePoint now = Now();
  absl::StatusOr<Backend> backend = DecodeEntry(item, now);
  if (!backend.ok()) {
    NoteInvalidBackend(id, backend.status());
    // Whoever wrote the invalid entry, the previous one is no longer valid.
    context_.dispatcher.Registry().Remove(id);
    context_.dispatcher.ForgetRemovedBackends();
    return;
  }
  if (backend->state == BackendState::kLeaving) {
    leaving_entries_.insert(id);
  } else {
    leaving_entries_.erase(id);
  }
  Log(LogLevel::kInfo, "backend_seen",
      {{"backend", id},
       {"address", backend->address},
       {"state", backend->state == BackendState::kReady ? "ready" : "leaving"},
       {"version", backend->version},
       {"started_ms", std::to_string(backend->started_ms)},
       {"cold_ms", FormatMillis(backend->cold_until.value_or(now) - now)},
       {"revision", std::to_string(item.mod_revision)}});
  context_.dispatcher.Registry().Put(std::move(*backend));
  context_.dispatcher.ForgetRemovedBackends();
}

void CatalogSync::ApplyPatch(const DocumentPatch& patch, std::string_view source, Duration age) {
  const bool is_whole = patch.base_version == 0;
  // The patch is based on a version that is not in force here, usually an older one.
  if (!is_whole && patch.base_version != context_.routing.Version()) return;
  const std::string_view base = is_whole ? std::string_view() : context_.routing.Encoded();
  const absl::StatusOr<std::string> text = ApplyDocumentPatch(base, patch.bytes);
  if (!text.ok()) return NoteInvalid(text.status(), source);
  (void)ApplyDocument(*text, source, age);
}

// Puts the document in force if it is newer. Returns its version; nullopt when it is invalid.
std::optional<int64_t> CatalogSync::ApplyDocument(const std::string& text, std::string_view source,
                                                  Duration age) {
  absl::StatusOr<RoutingDocument> document = codec_.DecodeDocument(text);
  if (!document.ok()) {
    NoteInvalid(document.status(), source);
    return std::nullopt;
  }
  auto table = RouteTable::Build(std::move(*document));
  if (!table.ok()) {
    NoteInvalid(table.status(), source);
    return std::nullopt;
  }
  const int64_t before = context_.routing.Version();
  const int64_t version = (*table)->Version();
  GlobalCounters().config_revision.Set(std::max(before, version));
  if (version <= before) return version;
  const TimePoint now = Now();
  // Upper bound of the time for which this node lacked the version: time since its previous
  // document was last confirmed as the newest.
  const Duration unconfirmed = now - context_.routing.Confirmed();
  patch_ = {before, MakeDocumentPatch(context_.routing.Encoded(), text)};
  full_document_ = {};
  encoded_full_.clear();
  context_.dispatcher.Registry().SetServices(ServicesOf((*table)->Document()));
  context_.routing.Apply(std::move(*table), text, now - age);
  context_.dispatcher.SetWarmUps(context_.routing.Table()->Document().services,
                                 context_.options.cold_bound);
  GlobalHistograms().document_spread_ms.Note(age);
  Log(LogLevel::kInfo, "document_applied",
      {{"version", std::to_string(version)},
       {"before", std::to_string(before)},
       {"source", std::string(source)},
       {"age_ms", FormatMillis(age)},
       {"unconfirmed_ms", before == 0 ? "none" : FormatMillis(unconfirmed)},
       {"bytes", std::to_string(text.size())},
       {"patch_bytes", std::to_string(patch_.bytes.size())}});
  if (on_document_) on_document_();
  return version;
}

void CatalogSync::NoteInvalid(const absl::Status& status, std::string_view source) {
  GlobalCounters().config_invalid_total.Add();
  Log(LogLevel::kError, "document_invalid",
      {{"source", std::string(source)}, {"why", std::string(status.message())}});
}

}  // namespace cartsail
