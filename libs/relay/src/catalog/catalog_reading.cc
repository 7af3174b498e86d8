// Reads the store: decides whether this node reads, and handles answers and errors.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/text.h"
#include "cartsail/base/timer.h"
#include "catalog/catalog_sync.h"
#include "catalog/reading_duty.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kMinRetryDelay = milliseconds(100);
constexpr Duration kMaxRetryDelay = milliseconds(800);
constexpr int64_t kItemsPerPage = 500;
constexpr Duration kPauseAfterEvents = milliseconds(150);
constexpr Duration kReaderCheck = milliseconds(250);
// Of the time that peers have to hand over a newer document: by up to this share later, different
// for each node, the store is asked for it.
constexpr double kReadSpread = 0.5;
constexpr Duration kPeerWaitPoll = milliseconds(10);

std::string FormatMillis(Duration duration) { return fmt::format("{:.0f}", ToMillis(duration)); }

double RandomShare() {
  thread_local std::minstd_rand generator(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

Duration JitteredRetryDelay(int failures) {
  Duration pause = kMinRetryDelay;
  for (int i = 1; i < failures && pause < kMaxRetryDelay; ++i) pause *= 2;
  pause = std::min(pause, kMaxRetryDelay);
  return FromSeconds(ToSeconds(pause) * (0.7 + 0.6 * RandomShare()));
}

}  // namespace

void CatalogSync::Start() {
  listing_offset_ = RandomShare();
  asio::co_spawn(context_.io, Follow(), asio::detached);
}

asio::awaitable<void> CatalogSync::Pause(Duration duration) {
  Timer timer(context_.io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Duration CatalogSync::Unconfirmed(TimePoint now) const {
  return now - std::max(started_, context_.routing.Confirmed());
}

bool CatalogSync::IsIsolated(TimePoint now) const {
  return peers_.LiveCount() == 0 || now - peers_heard_ > kIsolatedAfter;
}

bool CatalogSync::IsReading(TimePoint now) const { return IsLeftBehind(now) || IsFollowing(now); }

bool CatalogSync::IsFollowing(TimePoint now) const {
  if (IsListOutdated(now) || now < reading_until_) return true;
  if (peers_.Peers().empty()) return true;  // no other node is known
  if (IsIsolated(now)) {
    return Unconfirmed(now) > context_.document_limits.direct_read_when_unconfirmed;
  }
  return HasReadingTurn(peers_.ReadingRank(now), peers_.LiveCount() + 1, Unconfirmed(now),
                        context_.document_limits);
}

bool CatalogSync::IsLeftBehind(TimePoint now) const {
  const std::optional<TimePoint> since = context_.routing.BehindSince();
  return since.has_value() && now - *since >= context_.document_limits.direct_read_when_behind;
}

// True if this node alone lacks changes of the back ends: a peer has had changes for some time that
// this node could not get, or the document is confirmed while the list of back ends is not. The age
// of the document says nothing about the list.
bool CatalogSync::IsListOutdated(TimePoint now) const {
  if (list_.revision == 0) return false;
  if (list_.IsBehind(now, context_.document_limits.direct_read_when_list_behind)) return true;
  const Duration limit = context_.document_limits.direct_read_when_unconfirmed;
  return Unconfirmed(now) <= limit && now - std::max(started_, list_.confirmed) > limit;
}

bool CatalogSync::ReadsForItself(TimePoint now) const {
  if (!IsListOutdated(now) || now < reading_until_) return false;
  if (peers_.Peers().empty() || IsIsolated(now)) return false;
  return !HasReadingTurn(peers_.ReadingRank(now), peers_.LiveCount() + 1, Unconfirmed(now),
                         context_.document_limits);
}

void CatalogSync::NoteListElsewhere(int64_t revision, std::optional<TimePoint> confirmed,
                                    TimePoint now) {
  list_.NoteRevisionElsewhere(revision, now);
  if (revision <= list_.revision && confirmed.has_value()) list_.Confirm(*confirmed);
}

void CatalogSync::NoteVersionElsewhere(int64_t version, TimePoint now) {
  const bool was_behind = context_.routing.IsBehind();
  context_.routing.NoteVersionElsewhere(version, now);
  if (!context_.routing.IsBehind()) return;
  if (!was_behind) GlobalCounters().document_behind_total.Add();
  if (reads_document_) return;
  reads_document_ = true;
  asio::co_spawn(context_.io, ReadDocumentWhileBehind(), asio::detached);
}

// Reads the document from the store while no peer hands over a newer one that is known. A watch of
// this node goes on meanwhile: its answer may be the one that was lost. Nodes that hear of a
// version at the same time read at different times.
asio::awaitable<void> CatalogSync::ReadDocumentWhileBehind() {
  const Duration limit = context_.document_limits.direct_read_when_behind;
  const Duration spread = FromSeconds(ToSeconds(limit) * kReadSpread * listing_offset_);
  int failures = 0;
  while (const std::optional<TimePoint> since = context_.routing.BehindSince()) {
    const TimePoint due = *since + limit + spread;
    if (context_.routing.Table() == nullptr) {
      // GetFirstCatalog() sees to it.
      co_await Pause(kReaderCheck);
      continue;
    }
    if (Now() < due) {
      co_await Pause(due - Now());
      continue;
    }
    const absl::Status read = co_await ReadDocument();
    NoteReachable(read.ok(), std::string(read.message()));
    if (context_.routing.IsBehind()) co_await Pause(JitteredRetryDelay(++failures));
  }
  reads_document_ = false;
}

asio::awaitable<absl::Status> CatalogSync::ReadDocument() {
  RangeRequest request;
  request.key = keys_.document;
  const TimePoint asked = Now();
  const absl::StatusOr<RangeResult> found = co_await store_.Range(request);
  GlobalHistograms().store_call_ms.Note(Now() - asked);
  if (!found.ok()) co_return found.status();
  GlobalCounters().document_reads_total.Add();
  Log(LogLevel::kInfo, "document_read",
      {{"version", std::to_string(context_.routing.Version())},
       {"newest_known", std::to_string(context_.routing.NewestKnownVersion())},
       {"revision", std::to_string(found->revision)},
       {"ms", FormatMillis(Now() - asked)}});
  ApplyListedDocument(found->kvs, asked);
  if (context_.routing.IsBehind()) co_return absl::OkStatus();
  position_.NoteDocument(found->revision);
  ConfirmDocument(asked);
  co_return absl::OkStatus();
}

Duration CatalogSync::PeerWaitTime() const {
  if (context_.options.first_start) return kFirstStartWait;
  if (peers_.Peers().empty()) return Duration(0);
  return kPeerWait + FromSeconds(ToSeconds(kPeerWaitJitter) * RandomShare());
}

bool CatalogSync::MayListFirst(TimePoint now) {
  const size_t live = peers_.LiveCount();
  if (live > max_live_peers_) last_member_found_ = now;
  max_live_peers_ = std::max(max_live_peers_, live);
  const std::vector<std::string>& seeds = context_.options.seeds;
  StartingNode self;
  self.is_seed = std::find(seeds.begin(), seeds.end(), context_.options.peer.host) != seeds.end();
  self.live_peers = live;
  self.rank = peers_.ReadingRank(now);
  self.since_growth = now - last_member_found_;
  self.since_start = now - started_;
  self.share = listing_offset_;
  return MayListAtStart(self);
}

// Waits for a peer to hand over its catalog; when none does in time, lists the store by a read that
// may be some seconds stale. Such a list is not confirmed as the newest, so no request is refused
// for good because of it; later changes come from peers or from a watch. A linearizable list would
// cost ten times as much. On the fleet's first start, or without known peers, leaves the list to
// Follow().
asio::awaitable<void> CatalogSync::GetFirstCatalog() {
  const TimePoint last = Now() + PeerWaitTime();
  while (Now() < last && !context_.HasCatalog()) co_await Pause(kPeerWaitPoll);
  if (context_.options.first_start || peers_.Peers().empty()) co_return;
  int failures = 0;
  while (!context_.HasCatalog()) {
    if (!MayListFirst(Now())) {
      co_await Pause(kPeerWaitPoll);
      continue;
    }
    const absl::Status read = co_await ReadAll(ReadMode::kMayBeStale);
    NoteReachable(read.ok(), std::string(read.message()));
    // Also retried when the read succeeded but the store held no catalog yet.
    if (!context_.HasCatalog()) co_await Pause(JitteredRetryDelay(++failures));
  }
}

// Must be called before the answer updates the confirmation time, from which the node's turn is
// computed. A node that read because the first readers got no answer from the store keeps reading
// for kReaderHoldTime.
void CatalogSync::NoteAnswered(TimePoint now) {
  const size_t rank = peers_.ReadingRank(now);
  if (rank < kStoreReaders) return;
  const bool has_turn =
      HasReadingTurn(rank, peers_.LiveCount() + 1, Unconfirmed(now), context_.document_limits);
  if (has_turn) reading_until_ = now + kReaderHoldTime;
}

asio::awaitable<void> CatalogSync::Follow() {
  const std::string range_end = PrefixEnd(keys_.prefix);
  co_await GetFirstCatalog();
  int failures = 0;
  const WatchCallback on_events = [this, &failures](std::vector<WatchEvent> events, int64_t at) {
    NoteReachable(true, {});
    ApplyEvents(events);
    watch_asked_ = Now();
    failures = 0;
    return events.empty() && IsFollowing(Now());
  };
  while (true) {
    if (!IsFollowing(Now())) {
      co_await Pause(kReaderCheck);
      continue;
    }
    if (position_.MustList(list_.revision)) {
      const absl::Status read = co_await ReadAll(ReadMode::kNewest);
      NoteReachable(read.ok(), std::string(read.message()));
      if (!read.ok()) {
        co_await Pause(JitteredRetryDelay(++failures));
        continue;
      }
      failures = 0;
    }
    watch_asked_ = Now();
    reads_for_itself_ = ReadsForItself(watch_asked_);
    const absl::Status ended = co_await store_.Watch(keys_.prefix, range_end,
                                                     position_.Held(list_.revision) + 1, on_events);
    if (ended.ok()) {
      // Lets changes in quick succession arrive in one answer.
      co_await Pause(kPauseAfterEvents);
      continue;
    }
    if (KindOf(ended) == ErrorKind::kHistoryLost) {
      Log(LogLevel::kWarning, "store_history_lost",
          {{"revision", std::to_string(position_.Held(list_.revision))}});
      position_.NoteHistoryLost(list_.revision);
      continue;
    }
    NoteReachable(false, std::string(ended.message()));
    co_await Pause(JitteredRetryDelay(++failures));
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
    // A peer handed over its catalog before all pages were read.
    if (may_be_stale && context_.HasCatalog()) co_return absl::OkStatus();
    // Pages are not a snapshot: changes made after the oldest page arrive again as watch events.
    revision = std::min(revision, page->revision);
    for (KeyValue& item : page->kvs) items.push_back(std::move(item));
    if (!page->more || items.empty()) break;
    request.key = items.back().key + '\0';
  }
  ApplyAll(items, revision, may_be_stale ? std::nullopt : std::make_optional(asked));
  co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<std::optional<Backend>>> CatalogSync::ReadBackend(std::string id) {
  RangeRequest request;
  request.key = keys_.backend_prefix + id;
  const absl::StatusOr<RangeResult> found = co_await store_.Range(request);
  if (!found.ok()) co_return found.status();
  // The result may contain other keys that begin with this one.
  for (const KeyValue& item : found->kvs) {
    if (item.key != request.key) continue;
    absl::StatusOr<Backend> backend = codec_.DecodeBackend(id, item.value, Now());
    if (!backend.ok()) co_return backend.status();
    co_return std::make_optional(std::move(*backend));
  }
  co_return std::optional<Backend>();
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
