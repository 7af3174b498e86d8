#include "history_store.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

constexpr Duration kPoll = milliseconds(10);
constexpr Duration kWatchWait = milliseconds(700);
constexpr int64_t kMostStaleRevisions = 3;

absl::Status Away() { return MakeError(ErrorKind::kPlatformUnavailable, "away"); }

}  // namespace

int64_t History::Write(const std::string& key, const std::string& value) {
  WatchEvent change;
  change.kv.key = key;
  change.kv.value = value;
  change.kv.mod_revision = Revision() + 1;
  change.kv.create_revision = change.kv.mod_revision;
  changes_.push_back(std::move(change));
  return Revision();
}

std::vector<KeyValue> History::ItemsAt(const std::string& prefix, int64_t revision) const {
  std::map<std::string, KeyValue> items;
  for (int64_t i = 0; i < revision; ++i) {
    const KeyValue& item = changes_[static_cast<size_t>(i)].kv;
    if (item.key.starts_with(prefix)) items[item.key] = item;
  }
  std::vector<KeyValue> list;
  for (auto& [key, item] : items) list.push_back(std::move(item));
  return list;
}

std::vector<WatchEvent> History::ChangesAfter(int64_t revision) const {
  const int64_t first = std::clamp<int64_t>(revision, 0, Revision());
  return {changes_.begin() + first, changes_.end()};
}

asio::awaitable<void> HistoryLink::Wait(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Takes the time of one transit. Nothing arrives while the node stands still, or once it is dead.
asio::awaitable<void> HistoryLink::CrossLink() {
  const auto longest = std::chrono::duration_cast<milliseconds>(kLongestTransit).count();
  co_await Wait(milliseconds(std::uniform_int_distribution<int64_t>(1, longest)(random_)));
  while (faults_.is_still || faults_.is_dead) co_await Wait(kPoll);
}

KeyValueStore::Result<RangeResult> HistoryLink::Range(RangeRequest request) {
  co_await CrossLink();
  RangeResult list;
  list.revision = history_.Revision();
  if (request.may_be_stale) {
    const int64_t behind = std::uniform_int_distribution<int64_t>(0, kMostStaleRevisions)(random_);
    list.revision = std::max<int64_t>(1, list.revision - behind);
  }
  list.kvs = history_.ItemsAt(request.key, list.revision);
  co_await CrossLink();
  if (Draw(failure_share_)) co_return Away();
  co_return list;
}

KeyValueStore::Result<TxnResult> HistoryLink::Txn(TxnRequest /*request*/) { co_return Away(); }

KeyValueStore::Result<int64_t> HistoryLink::GrantLease(int64_t /*ttl_seconds*/) {
  co_return Away();
}

asio::awaitable<absl::Status> HistoryLink::KeepLease(int64_t /*lease*/) { co_return Away(); }

asio::awaitable<absl::Status> HistoryLink::EndLease(int64_t /*lease*/) { co_return Away(); }

asio::awaitable<absl::Status> HistoryLink::Watch(std::string /*key*/, std::string /*range_end*/,
                                                 int64_t start_revision, WatchCallback on_events) {
  int64_t since = start_revision - 1;
  while (true) {
    co_await CrossLink();
    const TimePoint asked = Now();
    while (history_.Revision() <= since && Now() - asked < kWatchWait) co_await Wait(kPoll);
    if (since < history_.Compacted()) {
      co_return MakeError(ErrorKind::kHistoryLost, "compacted");
    }
    std::vector<WatchEvent> events = history_.ChangesAfter(since);
    const int64_t revision = history_.Revision();
    co_await CrossLink();
    if (Draw(failure_share_)) co_return Away();
    if (passed_over_) {
      std::erase_if(events, [this](const WatchEvent& event) {
        return event.kv.mod_revision <= passed_over_();
      });
    }
    since = std::max(since, revision);
    if (!on_events(std::move(events), revision)) co_return absl::OkStatus();
  }
}

}  // namespace cartsail::testing
