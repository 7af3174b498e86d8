// The platform's key-value service as the rest of the system sees it: compare-and-swap
// transactions, leases and watches. Each call is counted by the platform and is rate-limited.
//
// A call that fails with kPlatformUnavailable may have taken effect: its reply can be lost after
// the write. Callers make their writes decidable (a change id or an attempt id in the value) and
// repeat or read back.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cartsail {

struct KeyValue {
  std::string key;
  std::string value;
  int64_t create_revision = 0;  // 0: the key does not exist
  int64_t mod_revision = 0;
  int64_t lease = 0;  // 0: no lease
};

struct RangeRequest {
  std::string key;
  std::string range_end;  // empty: just `key`; see PrefixEnd()
  int64_t limit = 0;      // 0: no limit
  int64_t min_mod_revision = 0;
  // The answer may be some seconds old, as its revision tells; such reads are cheaper.
  bool may_be_stale = false;
};

struct RangeResult {
  std::vector<KeyValue> kvs;
  bool more = false;     // cut by `limit`
  int64_t revision = 0;  // the store's revision at the read
};

struct Compare {
  enum class Target { kCreateRevision, kModRevision };
  std::string key;
  Target target = Target::kModRevision;
  int64_t equals = 0;
};

struct PutRequest {
  std::string key;
  std::string value;
  int64_t lease = 0;
};

struct TxnRequest;

// One operation inside a transaction.
struct Operation {
  enum class Kind { kPut, kRange, kDelete, kTxn };
  Kind kind = Kind::kRange;
  PutRequest put;                  // kPut
  RangeRequest range;              // kRange; kDelete (key and range_end)
  std::vector<TxnRequest> nested;  // kTxn: exactly one
};

// All compares hold: `success` is applied, else `failure`.
struct TxnRequest {
  std::vector<Compare> compares;
  std::vector<Operation> success;
  std::vector<Operation> failure;
};

struct TxnResult {
  bool succeeded = false;
  int64_t revision = 0;
  // One entry per operation of the branch taken.
  std::vector<RangeResult> ranges;  // filled for kRange operations
  std::vector<TxnResult> nested;    // filled for kTxn operations
};

struct WatchEvent {
  bool deleted = false;
  KeyValue kv;
};

// Gets events, none where a wait was without any, and the store's revision; false ends the watch.
using WatchCallback = std::function<bool(std::vector<WatchEvent>, int64_t revision)>;

class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  template <typename T>
  using Result = boost::asio::awaitable<absl::StatusOr<T>>;

  virtual Result<RangeResult> Range(RangeRequest request) = 0;
  virtual Result<TxnResult> Txn(TxnRequest request) = 0;

  // A new lease's id. Its keys vanish `ttl_seconds` after the grant unless kept alive.
  virtual Result<int64_t> GrantLease(int64_t ttl_seconds) = 0;

  // Renews a lease for its whole length, which runs from the call's arrival. kConflict when the
  // lease is over.
  virtual boost::asio::awaitable<absl::Status> KeepLease(int64_t lease) = 0;

  // Ends a lease and removes its keys. kConflict when it is over already.
  virtual boost::asio::awaitable<absl::Status> EndLease(int64_t lease) = 0;

  // Delivers events of keys in [key, range_end) from store revision `start_revision` on, until
  // the connection breaks or the callback ends it; then returns why (OK for the latter). One
  // waiting watch counts as one call.
  virtual boost::asio::awaitable<absl::Status> Watch(std::string key, std::string range_end,
                                                     int64_t start_revision,
                                                     WatchCallback on_events) = 0;
};

// Creates `put` if its key does not exist, else reads the record that stands: a nested transaction
// whose result has one range when the key existed.
Operation CreateIfAbsent(PutRequest put);

// The end of the range that holds every key with `prefix`.
std::string PrefixEnd(std::string prefix);

}  // namespace cartsail
