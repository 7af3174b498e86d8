#include "scripted_store.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

constexpr Duration kPoll = milliseconds(5);

absl::Status Away() { return MakeError(ErrorKind::kPlatformUnavailable, "away"); }

}  // namespace

KeyValue ItemOf(const std::string& key, const std::string& value, int64_t revision) {
  KeyValue item;
  item.key = key;
  item.value = value;
  item.mod_revision = revision;
  item.create_revision = revision;
  return item;
}

WatchEvent GoneAt(const std::string& key, int64_t revision) {
  WatchEvent event;
  event.deleted = true;
  event.kv = ItemOf(key, "", revision);
  return event;
}

WatchEvent WrittenAt(const std::string& key, const std::string& value, int64_t revision) {
  WatchEvent event;
  event.kv = ItemOf(key, value, revision);
  return event;
}

void ScriptedStore::LoseHistory() {
  events_.clear();
  history_lost_ = true;
}

KeyValueStore::Result<RangeResult> ScriptedStore::Range(RangeRequest request) {
  ++lists_;
  stale_lists_ += request.may_be_stale ? 1 : 0;
  const RangeResult answer = list_;
  co_await Wait(call_time_);
  if (answer.kvs.empty()) co_return Away();
  co_return answer;
}

KeyValueStore::Result<TxnResult> ScriptedStore::Txn(TxnRequest request) { co_return Away(); }

KeyValueStore::Result<int64_t> ScriptedStore::GrantLease(int64_t ttl_seconds) { co_return Away(); }

asio::awaitable<absl::Status> ScriptedStore::KeepLease(int64_t lease) { co_return Away(); }

asio::awaitable<absl::Status> ScriptedStore::EndLease(int64_t lease) { co_return Away(); }

asio::awaitable<absl::Status> ScriptedStore::Watch(std::string key, std::string range_end,
                                                   int64_t start_revision,
                                                   WatchCallback on_events) {
  watch_starts_.push_back(start_revision);
  while (events_.empty() && !history_lost_) {
    if (empty_answers_ > 0) {
      --empty_answers_;
      if (!on_events({}, start_revision)) co_return absl::OkStatus();
    }
    co_await Wait(kPoll);
  }
  if (std::exchange(history_lost_, false)) {
    co_return MakeError(ErrorKind::kHistoryLost, "compacted");
  }
  std::vector<WatchEvent> events = std::exchange(events_, {});
  const int64_t revision = events.back().kv.mod_revision;
  on_events(std::move(events), revision);
  co_return absl::OkStatus();
}

asio::awaitable<void> ScriptedStore::Wait(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace cartsail::testing
