#include "catalog_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "cartsail/base/log.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(800);
constexpr int64_t kItemsPerPage = 500;

Duration JitteredPause(int failures) {
  thread_local std::minstd_rand generator(std::random_device{}());
  Duration pause = kFirstPause;
  for (int i = 1; i < failures && pause < kLongestPause; ++i) pause *= 2;
  pause = std::min(pause, kLongestPause);
  std::uniform_real_distribution<double> jitter(0.7, 1.3);
  return FromSeconds(ToSeconds(pause) * jitter(generator));
}

}  // namespace

void CatalogSync::Start() { asio::co_spawn(context_.io, Follow(), asio::detached); }

asio::awaitable<void> CatalogSync::PauseAfter(int failures) {
  asio::steady_timer timer(context_.io, JitteredPause(failures));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> CatalogSync::Follow() {
  const std::string range_end = PrefixEnd(keys_.prefix);
  int failures = 0;
  int64_t revision = 0;  // 0: all is to be read
  std::function<void(std::vector<WatchEvent>, int64_t)> on_events =
      [this, &revision, &failures](std::vector<WatchEvent> events, int64_t at) {
        NoteReachable(true, {});
        ApplyEvents(events);
        revision = std::max(revision, at);
        failures = 0;
      };
  while (true) {
    if (revision == 0) {
      const absl::StatusOr<int64_t> read = co_await ReadAll();
      NoteReachable(read.ok(), std::string(read.status().message()));
      if (!read.ok()) {
        co_await PauseAfter(++failures);
        continue;
      }
      failures = 0;
      revision = *read;
    }
    const absl::Status ended =
        co_await store_.Watch(keys_.prefix, range_end, revision + 1, on_events);
    if (KindOf(ended) == ErrorKind::kHistoryLost) {
      Log(LogLevel::kWarning, "store_history_lost", {{"revision", std::to_string(revision)}});
      revision = 0;
      continue;
    }
    NoteReachable(false, std::string(ended.message()));
    co_await PauseAfter(++failures);
  }
}

asio::awaitable<absl::StatusOr<int64_t>> CatalogSync::ReadAll() {
  std::vector<KeyValue> items;
  int64_t first_revision = 0;
  RangeRequest request;
  request.key = keys_.prefix;
  request.range_end = PrefixEnd(keys_.prefix);
  request.limit = kItemsPerPage;
  while (true) {
    absl::StatusOr<RangeResult> page = co_await store_.Range(request);
    if (!page.ok()) co_return page.status();
    // Pages form no snapshot: changes since the first page come again as events.
    if (first_revision == 0) first_revision = page->revision;
    for (KeyValue& item : page->kvs) items.push_back(std::move(item));
    if (!page->more || items.empty()) break;
    request.key = items.back().key + '\0';
  }
  ApplyAll(items);
  co_return first_revision;
}

bool CatalogSync::IsBackend(const std::string& key) const {
  return key.compare(0, keys_.backend_prefix.size(), keys_.backend_prefix) == 0;
}

std::string CatalogSync::BackendId(const std::string& key) const {
  return key.substr(keys_.backend_prefix.size());
}

void CatalogSync::ApplyAll(const std::vector<KeyValue>& items) {
  std::vector<Backend> backends;
  for (const KeyValue& item : items) {
    if (item.key == keys_.document) ApplyDocument(item.value, "store");
    if (!IsBackend(item.key)) continue;
    absl::StatusOr<Backend> backend = codec_.DecodeBackend(BackendId(item.key), item.value);
    if (!backend.ok()) continue;
    backend->created_revision = item.create_revision;
    backends.push_back(std::move(*backend));
  }
  Log(LogLevel::kInfo, "backends_read", {{"count", std::to_string(backends.size())}});
  context_.dispatcher.Registry().ReplaceAll(std::move(backends));
  context_.dispatcher.ForgetGone();
  context_.routing.Confirm(Now());
}

void CatalogSync::ApplyEvents(const std::vector<WatchEvent>& events) {
  for (const WatchEvent& event : events) {
    const std::string& key = event.kv.key;
    if (key == keys_.document && !event.deleted) ApplyDocument(event.kv.value, "store");
    if (!IsBackend(key)) continue;
    if (!event.deleted) {
      ApplyBackend(event.kv);
      continue;
    }
    Log(LogLevel::kInfo, "backend_gone", {{"backend", BackendId(key)}});
    context_.dispatcher.Registry().Remove(BackendId(key));
    context_.dispatcher.ForgetGone();
  }
  context_.routing.Confirm(Now());
}

void CatalogSync::ApplyBackend(const KeyValue& item) {
  const std::string id = BackendId(item.key);
  absl::StatusOr<Backend> backend = codec_.DecodeBackend(id, item.value);
  if (!backend.ok()) {
    Log(LogLevel::kWarning, "backend_invalid",
        {{"backend", id}, {"why", std::string(backend.status().message())}});
    return;
  }
  backend->created_revision = item.create_revision;
  Log(LogLevel::kInfo, "backend_seen",
      {{"backend", id},
       {"address", backend->address},
       {"state", backend->state == BackendState::kReady ? "ready" : "leaving"},
       {"revision", std::to_string(item.mod_revision)}});
  context_.dispatcher.Registry().Put(std::move(*backend));
}

void CatalogSync::ApplyDocument(const std::string& text, std::string_view source) {
  absl::StatusOr<RoutingDocument> document = codec_.DecodeDocument(text);
  absl::Status status = document.status();
  if (document.ok()) {
    auto table = RouteTable::Build(std::move(*document));
    status = table.status();
    if (table.ok()) {
      const int64_t before = context_.routing.Version();
      const int64_t version = (*table)->Version();
      if (!context_.routing.Apply(std::move(*table), text)) return;
      Log(LogLevel::kInfo, "document_applied",
          {{"version", std::to_string(version)},
           {"before", std::to_string(before)},
           {"source", std::string(source)}});
    }
  }
  if (!status.ok()) {
    Log(LogLevel::kError, "document_invalid",
        {{"source", std::string(source)}, {"why", std::string(status.message())}});
  }
}

void CatalogSync::NoteReachable(bool reachable, std::string_view why) {
  if (was_known_ && reachable == reachable_) return;
  was_known_ = true;
  reachable_ = reachable;
  Log(reachable ? LogLevel::kInfo : LogLevel::kWarning, reachable ? "store_regained" : "store_lost",
      {{"why", std::string(why)}});
}

}  // namespace cartsail
