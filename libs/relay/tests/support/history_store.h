// A store of tests that keeps its whole history. Each node reaches it through a link of its own,
// whose answers take a while, wait while the node stands still, and are lost once it is dead.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail::testing {

class History {
 public:
  // Returns the revision of the change.
  int64_t Write(const std::string& key, const std::string& value);

  // Watches from an earlier revision than the present one fail from now on.
  void Compact() { compacted_ = Revision(); }

  int64_t Revision() const { return static_cast<int64_t>(changes_.size()); }
  int64_t Compacted() const { return compacted_; }

  // Items whose keys begin with `prefix`, as of `revision`.
  std::vector<KeyValue> ItemsAt(const std::string& prefix, int64_t revision) const;
  std::vector<WatchEvent> ChangesAfter(int64_t revision) const;

 private:
  std::vector<WatchEvent> changes_;  // the one at index i has revision i + 1
  int64_t compacted_ = 0;
};

// How a node is struck at present.
struct NodeFaults {
  bool is_still = false;  // the process stands still
  bool is_dead = false;
};

class HistoryLink : public KeyValueStore {
 public:
  static constexpr Duration kLongestTransit = milliseconds(200);  // one way

  HistoryLink(boost::asio::io_context& io, const History& history, const NodeFaults& faults,
              uint64_t seed)
      : io_(io), history_(history), faults_(faults), random_(seed) {}

  Result<RangeResult> Range(RangeRequest request) override;
  Result<TxnResult> Txn(TxnRequest request) override;
  Result<int64_t> GrantLease(int64_t ttl_seconds) override;
  boost::asio::awaitable<absl::Status> KeepLease(int64_t lease) override;
  boost::asio::awaitable<absl::Status> EndLease(int64_t lease) override;
  boost::asio::awaitable<absl::Status> Watch(std::string key, std::string range_end,
                                             int64_t start_revision,
                                             WatchCallback on_events) override;

  // Of calls that fail though the store is up.
  void SetFailureShare(double share) { failure_share_ = share; }

  // Answers of watches leave out changes up to this revision.
  void SetPassedOver(std::function<int64_t()> revision) { passed_over_ = std::move(revision); }

 private:
  boost::asio::awaitable<void> Wait(Duration duration);
  boost::asio::awaitable<void> CrossLink();
  bool Draw(double share) { return std::bernoulli_distribution(share)(random_); }

  boost::asio::io_context& io_;
  const History& history_;
  const NodeFaults& faults_;
  std::mt19937_64 random_;
  double failure_share_ = 0;
  std::function<int64_t()> passed_over_;
};

}  // namespace cartsail::testing
