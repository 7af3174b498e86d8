// Keeps stream records and version ledgers in the platform's store. Not thread-safe.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/store/key_value_store.h"
#include "cartsail/streams/stream_record.h"
#include "cartsail/streams/version_ledger.h"

namespace cartsail {

struct StoredStreams {
  std::optional<VersionLedger> ledger;  // nullopt: there is none, or it is unreadable
  int64_t ledger_revision = 0;          // store revision of its last write; 0: there is none
  std::vector<StreamRecord> records;
};

class StreamStore {
 public:
  // `prefix`: of all keys; `node`: this node's name, part of the keys of the records it writes.
  StreamStore(KeyValueStore& store, std::string prefix, std::string node);

  // Reads the ledger and all records of `service`, as of a moment after the call.
  boost::asio::awaitable<absl::StatusOr<StoredStreams>> Read(std::string service);

  // Adds `version` to the ledger unless it is there already. Returns the ledger with `version` in
  // it.
  boost::asio::awaitable<absl::StatusOr<VersionLedger>> Register(std::string service,
                                                                 std::string version);

  // Removes all versions but `kept` from the ledger. kConflict when another node wrote the ledger
  // meanwhile.
  boost::asio::awaitable<absl::Status> KeepOnly(std::string service, std::vector<std::string> kept);

  // Writes `records` under a lease that outlasts the last of them.
  boost::asio::awaitable<absl::Status> Save(std::string service, std::vector<StreamRecord> records);

 private:
  boost::asio::awaitable<absl::Status> WriteLedger(std::string service, VersionLedger ledger,
                                                   int64_t revision);
  // Returns the id of a lease with at least `length` left.
  boost::asio::awaitable<absl::StatusOr<int64_t>> LeaseFor(Duration length);
  std::string PrefixOf(const std::string& service) const;

  KeyValueStore& store_;
  std::string prefix_;
  std::string node_;
  int64_t lease_ = 0;  // id in the store; 0: none
  TimePoint lease_ends_{};
  uint64_t saves_ = 0;
};

}  // namespace cartsail
