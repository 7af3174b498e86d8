// Begun streams and version ledgers in the platform's store. One thread.
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
  std::optional<VersionLedger> ledger;  // nothing: there is none
  int64_t ledger_revision = 0;          // at which it was last written; 0: there is none
  std::vector<StreamRecord> records;
};

class StreamStore {
 public:
  // `prefix`: of all keys; `node`: distinguishes the records that this node writes.
  StreamStore(KeyValueStore& store, std::string prefix, std::string node);

  // All that the store has of `service`, as of a moment after the call.
  boost::asio::awaitable<absl::StatusOr<StoredStreams>> Read(std::string service);

  // Puts `version` into the ledger. OK also where it is there; then, or when it was written, the
  // ledger is returned.
  boost::asio::awaitable<absl::StatusOr<VersionLedger>> Register(std::string service,
                                                                 std::string version);

  // Leaves `kept` in the ledger. kConflict when it was written meanwhile.
  boost::asio::awaitable<absl::Status> KeepOnly(std::string service, std::vector<std::string> kept);

  // Adds records, each for as long as it holds.
  boost::asio::awaitable<absl::Status> Save(std::string service, std::vector<StreamRecord> records);

 private:
  boost::asio::awaitable<absl::Status> WriteLedger(std::string service, VersionLedger ledger,
                                                   int64_t revision);
  boost::asio::awaitable<absl::StatusOr<int64_t>> LeaseFor(Duration length);
  std::string PrefixOf(const std::string& service) const;

  KeyValueStore& store_;
  std::string prefix_;
  std::string node_;
  int64_t lease_ = 0;
  TimePoint lease_ends_{};
  uint64_t saves_ = 0;
};

}  // namespace cartsail
