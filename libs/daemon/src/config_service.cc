#include "config_service.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr size_t kRelaysPerZone = 2;
constexpr int64_t kPageLimit = 1000;
constexpr Duration kShortestPause = milliseconds(200);
constexpr Duration kLongestPause = seconds(5);
// A node that is no relay waits so long for a peer before it asks the platform itself.
constexpr Duration kPeerPatience = seconds(3);

}  // namespace

ConfigService::ConfigService(asio::io_context& context, const NodeOptions& options,
                             KeyValueStore& store, MemberTable& members,
                             std::function<void(const ConfigSnapshot&)> on_applied)
    : context_(context),
      options_(options),
      store_(store),
      members_(members),
      on_applied_(std::move(on_applied)),
      current_(ConfigSnapshot::Empty()) {}

void ConfigService::Start() { asio::co_spawn(context_, Run(), asio::detached); }

bool ConfigService::IsRelay() const { return members_.OwnRank(kRelayRole) < kRelaysPerZone; }

Duration ConfigService::Jittered(Duration duration) {
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return FromSeconds(ToSeconds(duration) * factor(random_));
}

asio::awaitable<void> ConfigService::Sleep(Duration duration) {
  Timer timer(context_);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> ConfigService::Run() {
  Duration pause = kShortestPause;
  if (!IsRelay()) co_await Sleep(Jittered(kPeerPatience));
  while (true) {
    absl::Status status;
    if (IsRelay() || Current()->Revision() == 0 || refresh_needed_) {
      status = co_await Refresh();
      if (status.ok() && IsRelay()) {
        pause = kShortestPause;
        status = co_await WatchOnce();
      }
    } else {
      co_await Sleep(Jittered(options_.config_poll));
      status = co_await RefreshIfHeadMoved();
    }
    if (status.ok() && Current()->Revision() != 0) {
      pause = kShortestPause;
      continue;
    }
    co_await Sleep(Jittered(pause));
    pause = std::min(pause * 2, kLongestPause);
  }
}

// Reads the branches changed since the last complete read, page by page.
asio::awaitable<absl::Status> ConfigService::Refresh() {
  ConfigDelta delta;
  delta.since = Current()->Revision();
  int64_t revision = 0;
  std::string next(kConfigPrefix);
  bool more = true;
  while (more) {
    RangeRequest range;
    range.key = next;
    range.range_end = PrefixEnd(std::string(kConfigPrefix));
    range.limit = kPageLimit;
    // A revision taken from peers has no matching store revision: then everything is read.
    if (store_revision_ != 0) range.min_mod_revision = store_revision_ + 1;
    const absl::StatusOr<RangeResult> page = co_await store_.Range(std::move(range));
    if (!page.ok()) co_return page.status();
    last_contact_ = Now();
    for (const KeyValue& kv : page->kvs) {
      std::string tenant;
      if (kv.key == kHeadKey) {
        const ConfigHead head = ParseHead(kv.value);
        delta.revision = head.revision;
        delta.change_id = head.change_id;
      } else if (TenantOfBranchKey(kv.key, &tenant)) {
        delta.branches.push_back({tenant, kv.value, 0});
      }
    }
    // Pages of one read must come from one state of the store.
    if (revision != 0 && page->revision != revision) {
      co_return MakeError(ErrorKind::kConflict, "the configuration changed during the read");
    }
    revision = page->revision;
    more = page->more && !page->kvs.empty();
    if (more) next = page->kvs.back().key + '\0';
  }
  if (revision >= store_revision_) store_revision_ = revision;
  refresh_needed_ = false;
  if (delta.revision > 0) Apply(delta, "platform");
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> ConfigService::RefreshIfHeadMoved() {
  RangeRequest range;
  range.key = std::string(kHeadKey);
  const absl::StatusOr<RangeResult> head = co_await store_.Range(std::move(range));
  if (!head.ok()) co_return head.status();
  last_contact_ = Now();
  if (head->kvs.empty()) co_return absl::OkStatus();
  if (ParseHead(head->kvs.front().value).revision <= Current()->Revision()) {
    co_return absl::OkStatus();
  }
  co_return co_await Refresh();
}

asio::awaitable<absl::Status> ConfigService::WatchOnce() {
  watched_branches_.clear();
  WatchCallback on_events = [this](const std::vector<WatchEvent>& events, int64_t /*revision*/) {
    last_contact_ = Now();
    OnWatchEvents(events);
    // The branches that the watch lacked are read at once, not when it ends by itself.
    return !refresh_needed_;
  };
  co_return co_await store_.Watch(std::string(kConfigPrefix), PrefixEnd(std::string(kConfigPrefix)),
                                  store_revision_ + 1, std::move(on_events));
}

// A change is one transaction: its branches and the head arrive with one store revision.
void ConfigService::OnWatchEvents(const std::vector<WatchEvent>& events) {
  int64_t transaction = 0;
  ConfigHead head;
  const auto apply = [this, &head] {
    if (head.revision > Current()->Revision()) {
      ConfigDelta delta;
      delta.since = head.revision - 1;
      delta.revision = head.revision;
      delta.change_id = head.change_id;
      delta.branches = std::move(watched_branches_);
      Apply(delta, "watch");
    }
    watched_branches_.clear();
    head = {};
  };
  for (const WatchEvent& event : events) {
    if (event.kv.mod_revision != transaction) apply();
    transaction = event.kv.mod_revision;
    std::string tenant;
    if (event.kv.key == kHeadKey) {
      head = ParseHead(event.kv.value);
    } else if (TenantOfBranchKey(event.kv.key, &tenant) && !event.deleted) {
      watched_branches_.push_back({tenant, event.kv.value, 0});
    }
  }
  apply();
}

void ConfigService::Apply(const ConfigDelta& delta, std::string_view source) {
  const absl::StatusOr<ConfigSnapshotPtr> next = Current()->Apply(delta);
  if (!next.ok()) {
    if (KindOf(next.status()) == ErrorKind::kStaleRevision) {
      if (delta.revision < Current()->Revision()) GlobalCounters().config_stale_total.Add();
      // A gap: the branches between are read from the platform.
      if (delta.revision > Current()->Revision()) {
        refresh_needed_ = true;
        store_revision_ = 0;
      }
      return;
    }
    GlobalCounters().config_invalid_total.Add();
    Log(LogLevel::kError, "config_invalid",
        {{"revision", std::to_string(delta.revision)},
         {"reason", std::string(next.status().message())}});
    return;
  }
  current_.store(*next);
  GlobalCounters().config_revision.Set((*next)->Revision());
  Log(LogLevel::kInfo, "config_applied",
      {{"revision", std::to_string((*next)->Revision())},
       {"change", (*next)->ChangeId()},
       {"source", std::string(source)}});
  on_applied_(**next);
}

void ConfigService::OnPeerRevision(const std::string& address, int64_t revision) {
  if (revision <= Current()->Revision() || fetching_) return;
  fetching_ = true;
  network_->FetchConfig(address, Current()->Revision(),
                        [this](const absl::StatusOr<ConfigDelta>& delta) {
                          fetching_ = false;
                          if (delta.ok() && delta->revision > Current()->Revision()) {
                            Apply(*delta, "peer");
                          }
                        });
}

}  // namespace cartsail
