// A store of tests with leases and conditions, whose answers can be lost.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail::testing {

class LeaseStore : public KeyValueStore {
 public:
  explicit LeaseStore(boost::asio::io_context& io) : io_(io) {}

  Result<RangeResult> Range(RangeRequest request) override;
  Result<TxnResult> Txn(TxnRequest request) override;
  Result<int64_t> GrantLease(int64_t ttl_seconds) override;
  boost::asio::awaitable<absl::Status> KeepLease(int64_t lease) override;
  boost::asio::awaitable<absl::Status> EndLease(int64_t lease) override;
  boost::asio::awaitable<absl::Status> Watch(std::string key, std::string range_end,
                                             int64_t start_revision,
                                             WatchCallback on_events) override;

  // Refuses every call.
  void SetAway(bool away) { away_ = away; }

  // So many writes are done without an answer.
  void LoseAnswers(int writes) { lost_answers_ = writes; }

  // A lease ends before its time.
  void Expire(int64_t lease);

  const KeyValue* Find(const std::string& key) const;
  int Calls() const { return calls_; }

 private:
  struct Lease {
    Duration length;
    TimePoint until;
  };

  absl::Status Begin();
  void ExpireDue();

  boost::asio::io_context& io_;
  std::map<std::string, KeyValue> items_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 10;
  int64_t next_lease_ = 1;
  int lost_answers_ = 0;
  bool away_ = false;
  int calls_ = 0;
};

}  // namespace cartsail::testing
