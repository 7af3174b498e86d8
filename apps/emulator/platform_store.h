// The stand-in's key-value store: revisions, compare-and-swap transactions, leases and a log of
// changes for watches. Pure: the HTTP stand-in and the virtual fleet use the same store.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail::emulator {

class PlatformStore {
 public:
  RangeResult Range(const RangeRequest& request) const;
  TxnResult Txn(const TxnRequest& request);
  int64_t GrantLease(int64_t ttl_seconds, TimePoint now);
  bool KeepAlive(int64_t lease, TimePoint now);
  void RevokeLease(int64_t lease);
  // Deletes the keys of leases that have run out.
  void ExpireLeases(TimePoint now);

  // Changes to keys in [key, range_end) from `revision` on.
  std::vector<WatchEvent> ChangesSince(const std::string& key, const std::string& range_end,
                                       int64_t revision) const;
  int64_t Revision() const { return revision_; }

 private:
  struct Lease {
    int64_t ttl_seconds = 0;
    TimePoint expires{};
  };

  TxnResult Apply(const TxnRequest& request, int64_t revision, bool* changed);
  bool Holds(const Compare& compare) const;
  void Put(const PutRequest& put, int64_t revision);
  bool Delete(const RangeRequest& range, int64_t revision);

  int64_t revision_ = 1;
  int64_t next_lease_ = 1000;
  std::map<std::string, KeyValue> kvs_;
  std::map<int64_t, Lease> leases_;
  std::deque<WatchEvent> log_;
};

}  // namespace cartsail::emulator
