#include "catalog/catalog_sync.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/text.h"
#include "catalog/backend_news.h"
#include "catalog/catalog_path.h"
#include "catalog/document_patch.h"
#include "catalog/reading_duty.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(800);
constexpr int64_t kItemsPerPage = 500;
constexpr Duration kPauseAfterEvents = milliseconds(150);
constexpr Duration kReaderCheck = milliseconds(250);
// From one reader to the next: an update reaches the other readers within some milliseconds.
constexpr Duration kTurnToTell = milliseconds(25);
constexpr Duration kHearingCheck = milliseconds(10);
constexpr size_t kIdsNamed = 5;                 // in one log line
constexpr Duration kEncodedHolds = seconds(1);  // it names the document's age

std::string FormatMillis(Duration duration) { return fmt::format("{:.0f}", ToMillis(duration)); }

double RandomShare() {
  thread_local std::minstd_rand generator(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

Duration JitteredPause(int failures) {
  Duration pause = kFirstPause;
  for (int i = 1; i < failures && pause < kLongestPause; ++i) pause *= 2;
  pause = std::min(pause, kLongestPause);
  return FromSeconds(ToSeconds(pause) * (0.7 + 0.6 * RandomShare()));
}

std::vector<std::string> FirstOf(const std::vector<std::string>& ids, size_t count) {
  const auto end = ids.begin() + static_cast<int64_t>(std::min(count, ids.size()));
  return {ids.begin(), end};
}

std::set<std::string> ServicesOf(const RoutingDocument& document) {
  std::set<std::string> services;
  for (const ServiceRule& service : document.services) services.insert(service.name);
  return services;
}

}  // namespace

void CatalogSync::Start() { asio::co_spawn(context_.io, Follow(), asio::detached); }

asio::awaitable<void> CatalogSync::Pause(Duration duration) {
  asio::steady_timer timer(context_.io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Duration CatalogSync::Unconfirmed(TimePoint now) const {
  return now - std::max(started_, context_.routing.Confirmed());
}

bool CatalogSync::IsAlone(TimePoint now) const {
  return peers_.LiveCount() == 0 || now - peers_heard_ > kAloneAfter;
}

bool CatalogSync::IsReading(TimePoint now) const {
  if (IsLeftBehind(now) || now < reading_until_) return true;
  if (peers_.Peers().empty()) return true;  // no other node is known of
  if (IsAlone(now)) {
    return Unconfirmed(now) > context_.document_limits.own_reading_when_unconfirmed;
  }
  return HasReadingTurn(peers_.ReadingRank(now), peers_.LiveCount() + 1, Unconfirmed(now),
                        context_.document_limits);
}

bool CatalogSync::IsLeftBehind(TimePoint now) const {
  if (!behind_since_.has_value()) return false;
  return now - *behind_since_ >= context_.document_limits.own_reading_when_behind;
}

void CatalogSync::NoteVersionElsewhere(int64_t version, TimePoint now) {
  if (version > context_.routing.Version() && !behind_since_.has_value()) behind_since_ = now;
}

Duration CatalogSync::HearingTime() const {
  if (context_.options.first_start) return kHearingAtFirstStart;
  if (peers_.Peers().empty()) return Duration(0);
  return kHearing + FromSeconds(ToSeconds(kHearingSpread) * RandomShare());
}

bool CatalogSync::MayListFirst(TimePoint now) const {
  if (peers_.LiveCount() == 0 || now - started_ >= kLongestHearing) return true;
  return peers_.ReadingRank(now) < kStoreReaders;
}

// Until a peer has handed over its catalog, or none has done so for long enough: then the node
// lists the store as it was some seconds ago. It is not known to be the newest, so nothing is
// refused on it for good; changes since then come from peers, or by a watch. Were all of 295 nodes
// to wait for the first ones to find each other, their callers would wait 0.2 s longer; were they
// to list the store as it is, that would cost ten times as much.
asio::awaitable<void> CatalogSync::GetFirstCatalog() {
  const TimePoint last = Now() + HearingTime();
  while (Now() < last && !context_.HasCatalog()) co_await Pause(kHearingCheck);
  if (context_.options.first_start || peers_.Peers().empty()) co_return;
  int failures = 0;
  while (!context_.HasCatalog()) {
    if (!MayListFirst(Now())) {
      co_await Pause(kHearingCheck);
      continue;
    }
    const absl::Status read = co_await ReadAll(ReadMode::kMayBeStale);
    NoteReachable(read.ok(), std::string(read.message()));
    // Also where the store had nothing to tell yet.
    if (!context_.HasCatalog()) co_await Pause(JitteredPause(++failures));
  }
}

// To be called before the answer confirms anything. A node that had to read since the first ones of
// the order did not hear the store goes on for a while.
void CatalogSync::NoteAnswered(TimePoint now) {
  const size_t rank = peers_.ReadingRank(now);
  if (rank < kStoreReaders) return;
  const bool has_turn =
      HasReadingTurn(rank, peers_.LiveCount() + 1, Unconfirmed(now), context_.document_limits);
  if (has_turn) reading_until_ = now + kReadingHolds;
}

asio::awaitable<void> CatalogSync::Follow() {
  const std::string range_end = PrefixEnd(keys_.prefix);
  co_await GetFirstCatalog();
  int failures = 0;
  const WatchCallback on_events = [this, &failures](std::vector<WatchEvent> events, int64_t at) {
    NoteReachable(true, {});
    ApplyEvents(events);
    failures = 0;
    return events.empty() && IsReading(Now());
  };
  while (true) {
    if (!IsReading(Now())) {
      co_await Pause(kReaderCheck);
      continue;
    }
    // The document may be older than the revision that this node knows: a watch would not tell it.
    if (must_list_ || IsLeftBehind(Now())) {
      const absl::Status read = co_await ReadAll(ReadMode::kNewest);
      NoteReachable(read.ok(), std::string(read.message()));
      if (!read.ok()) {
        co_await Pause(JitteredPause(++failures));
        continue;
      }
      failures = 0;
    }
    const absl::Status ended =
        co_await store_.Watch(keys_.prefix, range_end, revision_ + 1, on_events);
    if (ended.ok()) {
      // Changes that follow closely come together in one answer.
      co_await Pause(kPauseAfterEvents);
      continue;
    }
    if (KindOf(ended) == ErrorKind::kHistoryLost) {
      Log(LogLevel::kWarning, "store_history_lost", {{"revision", std::to_string(revision_)}});
      must_list_ = true;
      continue;
    }
    NoteReachable(false, std::string(ended.message()));
    co_await Pause(JitteredPause(++failures));
  }
}

asio::awaitable<absl::Status> CatalogSync::ReadAll(ReadMode mode) {
  const bool may_be_stale = mode == ReadMode::kMayBeStale;
  std::vector<KeyValue> items;
  int64_t revision = std::numeric_limits<int64_t>::max();
  const TimePoint asked = Now();
  RangeRequest request;
  request.key = keys_.prefix;
  request.range_end = PrefixEnd(keys_.prefix);
  request.limit = kItemsPerPage;
  request.may_be_stale = may_be_stale;
  while (true) {
    const TimePoint begun = Now();
    absl::StatusOr<RangeResult> page = co_await store_.Range(request);
    GlobalHistograms().store_call_ms.Note(Now() - begun);
    if (!page.ok()) co_return page.status();
    // A peer was faster than many pages.
    if (may_be_stale && context_.HasCatalog()) co_return absl::OkStatus();
    // Pages form no snapshot: changes since the oldest one come again as events.
    revision = std::min(revision, page->revision);
    for (KeyValue& item : page->kvs) items.push_back(std::move(item));
    if (!page->more || items.empty()) break;
    request.key = items.back().key + '\0';
  }
  must_list_ = false;
  ApplyAll(items, revision, may_be_stale ? std::nullopt : std::make_optional(asked));
  co_return absl::OkStatus();
}

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
       {"revision", std::to_string(revision_)},
       {"source", std::string(source)}});
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

// Also an error: the entry does not tell a start, and earlier ones with this id did. Whoever wrote
// it is not the back end.
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

// An entry that is there but names no back end has not lapsed: what stood there before is gone,
// also while those whose entries are missing are kept.
void CatalogSync::RemoveOverwritten(const std::vector<KeyValue>& items) {
  const TimePoint now = Now();
  BackendRegistry& registry = context_.dispatcher.Registry();
  for (const KeyValue& item : items) {
    if (!IsBackend(item.key)) continue;
    const std::string id = BackendId(item.key);
    const bool is_kept = registry.Find(id) != nullptr;
    if (is_kept && !DecodeEntry(item, now).ok()) registry.Remove(id);
  }
  context_.dispatcher.ForgetGone();
}

// `revision`: of the store in the list; `asked`: when it held, where that is known.
void CatalogSync::ApplyAll(const std::vector<KeyValue>& items, int64_t revision,
                           std::optional<TimePoint> asked) {
  for (const KeyValue& item : items) {
    if (item.key == keys_.document) ApplyDocument(item.value, "store", Duration(0));
  }
  const TimePoint now = Now();
  if (asked.has_value()) {
    behind_since_.reset();
    grace_.NoteAnswer(context_.routing.Confirmed(), now, now);
    NoteAnswered(now);
  }
  // A peer's catalog that came meanwhile may be newer: what changed between would be lost, since
  // the watch goes on from the newer revision.
  if (revision >= revision_) {
    revision_ = revision;
    told_revision_ = std::max(told_revision_, revision_);
    changes_.Reset(revision);
    ReplaceBackends(BackendsIn(items), "store", grace_.MissingUntil(now));
    RemoveOverwritten(items);
    ReplaceDrainedZones(DrainedZonesIn(items), "store");
  }
  if (!asked.has_value()) return;
  // What the list says held when it was asked for; the answer may have been long on its way.
  context_.routing.ConfirmBy(*asked);
  TellUpdate(revision_, *asked);
}

// Tells the others which back ends changed after revision `since`, and that nothing else did.
void CatalogSync::TellUpdate(int64_t since, TimePoint confirmed) {
  if (!on_update_ || context_.routing.Table() == nullptr) return;
  StoreUpdate update;
  update.document_version = context_.routing.Version();
  update.confirmed_age = Now() - confirmed;
  update.changes.drained_zones = context_.dispatcher.Registry().Drains().Zones();
  for (const ChangeParcel& parcel : ParcelsSince(since)) {
    update.changes.since = parcel.since;
    update.changes.revision = parcel.revision;
    update.changes.backends.clear();
    update.changes.gone.clear();
    for (const std::string& id : parcel.ids) AddChange(id, &update.changes);
    on_update_(update);
  }
  told_revision_ = revision_;
}

// The revision alone when the changes since are forgotten.
std::vector<ChangeParcel> CatalogSync::ParcelsSince(int64_t since) const {
  const std::optional<std::vector<BackendChanges::Change>> changed = changes_.Since(since);
  if (!changed.has_value()) return MakeParcels({}, revision_, revision_);
  return MakeParcels(*changed, since, revision_);
}

bool CatalogSync::ApplyUpdate(const StoreUpdate& update, std::string_view source) {
  const TimePoint now = Now();
  const CatalogMessage& changes = update.changes;
  NoteVersionElsewhere(update.document_version, now);
  // In this order: an absence of the store explains entries that are missing now.
  if (update.document_version == context_.routing.Version()) {
    ConfirmByPeer(now - update.confirmed_age, now);
  }
  told_revision_ = std::max(told_revision_, changes.revision);
  const bool has_document = update.document_version <= context_.routing.Version();
  if (changes.revision <= revision_) return has_document;
  if (revision_ == 0) return false;
  if (changes.since.value_or(0) > revision_) {
    early_.Keep(update);
    return false;
  }
  ApplyNext(update, source);
  ApplyEarly(source);
  return has_document;
}

void CatalogSync::ApplyNext(const StoreUpdate& update, std::string_view source) {
  const CatalogMessage& changes = update.changes;
  revision_ = changes.revision;
  must_list_ = false;
  encoded_whole_.clear();
  if (!changes.backends.empty() || !changes.gone.empty()) ApplyChanges(changes, source);
  ReplaceDrainedZones({changes.drained_zones.begin(), changes.drained_zones.end()}, source);
}

void CatalogSync::ApplyEarly(std::string_view source) {
  while (const std::optional<StoreUpdate> next = early_.TakeNext(revision_)) {
    ApplyNext(*next, source);
  }
}

void CatalogSync::ReplaceBackends(std::vector<Backend> backends, std::string_view source,
                                  std::optional<TimePoint> missing_until) {
  encoded_whole_.clear();
  Log(LogLevel::kInfo, "backends_replaced",
      {{"count", std::to_string(backends.size())},
       {"revision", std::to_string(revision_)},
       {"lapsed_kept", missing_until.has_value() ? "true" : "false"},
       {"source", std::string(source)}});
  context_.dispatcher.Registry().ReplaceAll(std::move(backends), missing_until);
  context_.dispatcher.ForgetGone();
}

const DocumentPatch& CatalogSync::PatchFor(int64_t have) {
  if (have != 0 && patch_.base_version == have) return patch_;
  if (whole_.bytes.empty()) whole_.bytes = MakeDocumentPatch({}, context_.routing.Encoded());
  return whole_;
}

std::string CatalogSync::AnswerPeer(const HttpRequest& request) {
  int64_t have = 0;
  (void)ParseInteger(request.QueryParameter(kHaveParameter), &have);
  int64_t since = 0;
  (void)ParseInteger(request.QueryParameter(kSinceParameter), &since);
  return have == 0 && since == 0 ? EncodedWhole() : EncodeCatalog(MakeCatalog(have, since), Now());
}

// Nodes that start together all ask for it.
std::string CatalogSync::EncodedWhole() {
  const TimePoint now = Now();
  if (!encoded_whole_.empty() && now - encoded_whole_at_ < kEncodedHolds) return encoded_whole_;
  const CatalogMessage catalog = MakeCatalog(0, 0);
  const auto is_missing = [](const Backend& backend) { return backend.missing_until.has_value(); };
  const bool changes_soon =
      std::any_of(catalog.backends.begin(), catalog.backends.end(), is_missing);
  std::string encoded = EncodeCatalog(catalog, now);
  encoded_whole_at_ = now;
  if (!changes_soon) encoded_whole_ = encoded;
  return encoded;
}

// As the back end is now.
void CatalogSync::AddChange(const std::string& id, CatalogMessage* catalog) const {
  const Backend* backend = context_.dispatcher.Registry().Find(id);
  if (backend != nullptr) {
    catalog->backends.push_back(*backend);
  } else {
    catalog->gone.push_back(id);
  }
}

// Back ends that changed after revision `since`; all of them when that is too long ago.
void CatalogSync::FillBackends(int64_t since, CatalogMessage* catalog) const {
  const std::optional<std::vector<BackendChanges::Change>> changed = changes_.Since(since);
  if (!changed.has_value()) {
    catalog->backends = context_.dispatcher.Registry().All();
    return;
  }
  catalog->since = since;
  for (const BackendChanges::Change& change : *changed) AddChange(change.id, catalog);
}

// Without the document when the asker has version `have`.
CatalogMessage CatalogSync::MakeCatalog(int64_t have, int64_t since) {
  CatalogMessage catalog;
  catalog.revision = revision_;
  if (context_.routing.Version() > have) catalog.document = PatchFor(have);
  catalog.document_age = Now() - context_.routing.KnownSince();
  catalog.drained_zones = context_.dispatcher.Registry().Drains().Zones();
  FillBackends(since, &catalog);
  return catalog;
}

void CatalogSync::ConfirmByPeer(TimePoint then, TimePoint now) {
  const TimePoint heard = context_.routing.Confirmed();
  if (then > heard) grace_.NoteAnswer(heard, then, now);
  context_.routing.ConfirmBy(then);
}

void CatalogSync::ApplyCatalog(const CatalogMessage& catalog, std::string_view source) {
  if (!catalog.document.bytes.empty()) {
    ApplyPatch(catalog.document, source, catalog.document_age);
  }
  if (catalog.revision <= revision_) return;
  revision_ = catalog.revision;
  told_revision_ = std::max(told_revision_, revision_);
  // From here on the store's changes since this revision are enough.
  must_list_ = false;
  ReplaceDrainedZones({catalog.drained_zones.begin(), catalog.drained_zones.end()}, source);
  if (catalog.since.has_value()) {
    ApplyChanges(catalog, source);
  } else {
    changes_.Reset(revision_);
    ReplaceBackends(catalog.backends, source, grace_.MissingUntil(Now()));
  }
  ApplyEarly(source);
}

// Of a peer that was asked for the changes since a revision that this node knew.
void CatalogSync::ApplyChanges(const CatalogMessage& catalog, std::string_view source) {
  encoded_whole_.clear();
  Log(LogLevel::kInfo, "backends_changed",
      {{"changed", std::to_string(catalog.backends.size())},
       {"gone", std::to_string(catalog.gone.size())},
       {"since", std::to_string(*catalog.since)},
       {"revision", std::to_string(revision_)},
       {"some_gone", fmt::format("{}", fmt::join(FirstOf(catalog.gone, kIdsNamed), ","))},
       {"source", std::string(source)}});
  for (const Backend& backend : catalog.backends) {
    changes_.Note(backend.id, revision_);
    context_.dispatcher.Registry().Put(backend);
  }
  const TimePoint now = Now();
  for (const std::string& id : catalog.gone) {
    changes_.Note(id, revision_);
    RemoveBackend(id, LogLevel::kDebug, now);
  }
}

// At info level the nodes that read the store name each back end; of the others, several hundred, a
// line for all changes that came together is enough.
void CatalogSync::RemoveBackend(const std::string& id, LogLevel level, TimePoint now) {
  const std::optional<TimePoint> missing_until = grace_.MissingUntil(now);
  Log(level, missing_until.has_value() ? "backend_missing" : "backend_gone", {{"backend", id}});
  context_.dispatcher.Registry().Remove(id, missing_until);
  context_.dispatcher.ForgetGone();
}

void CatalogSync::ApplyEvents(const std::vector<WatchEvent>& events) {
  const TimePoint now = Now();
  const int64_t known = revision_;
  grace_.NoteAnswer(context_.routing.Confirmed(), now, now);
  NoteAnswered(now);
  for (const WatchEvent& event : events) {
    const std::string& key = event.kv.key;
    if (event.kv.mod_revision <= known) continue;  // from a peer
    if (key == keys_.document && !event.deleted)
      ApplyDocument(event.kv.value, "store", Duration(0));
    if (IsDrainedZone(key)) ApplyDrainedZone(event, now);
    if (IsBackend(key) && !event.deleted && IsKnownAlready(event.kv, now)) continue;
    if (IsBackend(key)) changes_.Note(BackendId(key), event.kv.mod_revision);
    if (IsBackend(key) && !event.deleted) ApplyBackend(event.kv);
    if (IsBackend(key) && event.deleted) RemoveBackend(BackendId(key), LogLevel::kInfo, now);
  }
  for (const WatchEvent& event : events) revision_ = std::max(revision_, event.kv.mod_revision);
  context_.routing.Confirm(now);
  encoded_whole_.clear();
  TellInTurn(now);
}

// All readers hear a change at the same moment. The first one tells it at once, the others what was
// not told by then: changes so travel once, and still do when the first one does not hear the
// store.
void CatalogSync::TellInTurn(TimePoint confirmed) {
  const size_t rank = std::min(peers_.ReadingRank(confirmed), kStoreReaders);
  if (rank == 0) return TellUpdate(told_revision_, confirmed);
  if (telling_soon_) return;
  telling_soon_ = true;
  asio::co_spawn(context_.io, TellAfter(static_cast<int64_t>(rank) * kTurnToTell, confirmed),
                 asio::detached);
}

asio::awaitable<void> CatalogSync::TellAfter(Duration wait, TimePoint confirmed) {
  co_await Pause(wait);
  telling_soon_ = false;
  TellUpdate(told_revision_, confirmed);
}

// Whatever is no news is neither noted as a change nor told to anybody.
bool CatalogSync::IsKnownAlready(const KeyValue& item, TimePoint now) const {
  const std::string id = BackendId(item.key);
  const Backend* known = context_.dispatcher.Registry().Find(id);
  if (known == nullptr) return false;
  absl::StatusOr<Backend> told = codec_.DecodeBackend(id, item.value, now);
  if (!told.ok()) return false;
  told->created_revision = item.create_revision;
  return TellsNothingNew(*known, *told, now);
}

void CatalogSync::ApplyBackend(const KeyValue& item) {
  const std::string id = BackendId(item.key);
  const TimePoint now = Now();
  absl::StatusOr<Backend> backend = DecodeEntry(item, now);
  if (!backend.ok()) {
    NoteInvalidBackend(id, backend.status());
    // Whoever wrote it: what stood there before holds no longer.
    context_.dispatcher.Registry().Remove(id);
    context_.dispatcher.ForgetGone();
    return;
  }
  Log(LogLevel::kInfo, "backend_seen",
      {{"backend", id},
       {"address", backend->address},
       {"state", backend->state == BackendState::kReady ? "ready" : "leaving"},
       {"started_ms", std::to_string(backend->started_ms)},
       {"cold_ms", FormatMillis(backend->cold_until.value_or(now) - now)},
       {"revision", std::to_string(item.mod_revision)}});
  context_.dispatcher.Registry().Put(std::move(*backend));
  context_.dispatcher.ForgetGone();
}

void CatalogSync::ApplyPatch(const DocumentPatch& patch, std::string_view source, Duration age) {
  const bool of_nothing = patch.base_version == 0;
  // Of a version that this node no longer has: it has a newer one by now.
  if (!of_nothing && patch.base_version != context_.routing.Version()) return;
  const std::string_view base = of_nothing ? std::string_view() : context_.routing.Encoded();
  const absl::StatusOr<std::string> text = ApplyDocumentPatch(base, patch.bytes);
  if (!text.ok()) return NoteInvalid(text.status(), source);
  ApplyDocument(*text, source, age);
}

void CatalogSync::ApplyDocument(const std::string& text, std::string_view source, Duration age) {
  absl::StatusOr<RoutingDocument> document = codec_.DecodeDocument(text);
  if (!document.ok()) return NoteInvalid(document.status(), source);
  auto table = RouteTable::Build(std::move(*document));
  if (!table.ok()) return NoteInvalid(table.status(), source);
  const int64_t before = context_.routing.Version();
  const int64_t version = (*table)->Version();
  GlobalCounters().config_revision.Set(std::max(before, version));
  if (version <= before) return;
  const TimePoint now = Now();
  // How long the node may have missed it: since the store was last known to have none newer.
  const Duration unconfirmed = now - context_.routing.Confirmed();
  patch_ = {before, MakeDocumentPatch(context_.routing.Encoded(), text)};
  whole_ = {};
  encoded_whole_.clear();
  behind_since_.reset();
  context_.dispatcher.Registry().SetServices(ServicesOf((*table)->Document()));
  context_.routing.Apply(std::move(*table), text, now - age);
  const ColdBound cold_bound{context_.options.cold_overage, context_.options.cold_slack};
  context_.dispatcher.SetWarmUps(context_.routing.Table()->Document().services, cold_bound);
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
}

void CatalogSync::NoteInvalid(const absl::Status& status, std::string_view source) {
  GlobalCounters().config_invalid_total.Add();
  Log(LogLevel::kError, "document_invalid",
      {{"source", std::string(source)}, {"why", std::string(status.message())}});
}

void CatalogSync::NoteReachable(bool reachable, std::string_view why) {
  GlobalCounters().platform_calls_total.Add();
  if (!reachable) GlobalCounters().platform_errors_total.Add();
  GlobalCounters().platform_reachable.Set(reachable ? 1 : 0);
  if (was_known_ && reachable == reachable_) return;
  was_known_ = true;
  reachable_ = reachable;
  Log(reachable ? LogLevel::kInfo : LogLevel::kWarning, reachable ? "store_regained" : "store_lost",
      {{"why", std::string(why)}});
}

}  // namespace cartsail
