// A store of tests: lists what it is given, and a watch gets the events that are pushed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail::testing {

// An item that was made and last written at `revision`.
KeyValue ItemOf(const std::string& key, const std::string& value, int64_t revision);

// An item that is gone since `revision`.
WatchEvent GoneAt(const std::string& key, int64_t revision);

// An item that was made and written at `revision`.
WatchEvent WrittenAt(const std::string& key, const std::string& value, int64_t revision);

class ScriptedStore : public KeyValueStore {
 public:
  // `call_time`: what a list takes.
  explicit ScriptedStore(boost::asio::io_context& io, Duration call_time = Duration(0))
      : io_(io), call_time_(call_time) {}

  Result<RangeResult> Range(RangeRequest request) override;
  Result<TxnResult> Txn(TxnRequest request) override;
  Result<int64_t> GrantLease(int64_t ttl_seconds) override;
  boost::asio::awaitable<absl::Status> KeepLease(int64_t lease) override;
  boost::asio::awaitable<absl::Status> EndLease(int64_t lease) override;
  boost::asio::awaitable<absl::Status> Watch(std::string key, std::string range_end,
                                             int64_t start_revision,
                                             WatchCallback on_events) override;

  // Before this the store is away.
  void SetList(RangeResult list) { list_ = std::move(list); }
  void Push(WatchEvent event) { events_.push_back(std::move(event)); }

  // The watch is answered without a change, and goes on.
  void AnswerEmpty() { ++empty_answers_; }

  // Revisions from which changes were asked for, in this order.
  const std::vector<int64_t>& WatchStarts() const { return watch_starts_; }

  // The changes that were not yet told are dropped: the next watch has lost its history.
  void LoseHistory();

  // Lists that were asked for, and those of them that may be stale.
  int Lists() const { return lists_; }
  int StaleLists() const { return stale_lists_; }

 private:
  boost::asio::awaitable<void> Wait(Duration duration);

  boost::asio::io_context& io_;
  Duration call_time_;
  RangeResult list_;
  std::vector<WatchEvent> events_;
  std::vector<int64_t> watch_starts_;
  int empty_answers_ = 0;
  bool history_lost_ = false;
  int lists_ = 0;
  int stale_lists_ = 0;
};

}  // namespace cartsail::testing
