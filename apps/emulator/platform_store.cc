#include "platform_store.h"

namespace cartsail::emulator {
namespace {

constexpr size_t kLogLimit = 200000;

bool InRange(const std::string& key, const std::string& begin, const std::string& end) {
  if (end.empty()) return key == begin;
  return key >= begin && key < end;
}

}  // namespace

RangeResult PlatformStore::Range(const RangeRequest& request) const {
  RangeResult result;
  result.revision = revision_;
  for (auto entry = kvs_.lower_bound(request.key); entry != kvs_.end(); ++entry) {
    if (!InRange(entry->first, request.key, request.range_end)) break;
    if (entry->second.mod_revision < request.min_mod_revision) continue;
    if (request.limit != 0 && static_cast<int64_t>(result.kvs.size()) == request.limit) {
      result.more = true;
      break;
    }
    result.kvs.push_back(entry->second);
  }
  return result;
}

TxnResult PlatformStore::Txn(const TxnRequest& request) {
  bool changed = false;
  TxnResult result = Apply(request, revision_ + 1, &changed);
  if (changed) ++revision_;
  result.revision = revision_;
  return result;
}

TxnResult PlatformStore::Apply(const TxnRequest& request, int64_t revision, bool* changed) {
  TxnResult result;
  result.succeeded = true;
  for (const Compare& compare : request.compares) {
    if (!Holds(compare)) result.succeeded = false;
  }
  for (const Operation& operation : result.succeeded ? request.success : request.failure) {
    switch (operation.kind) {
      case Operation::Kind::kPut:
        Put(operation.put, revision);
        *changed = true;
        break;
      case Operation::Kind::kDelete:
        if (Delete(operation.range, revision)) *changed = true;
        break;
      case Operation::Kind::kRange:
        result.ranges.push_back(Range(operation.range));
        break;
      case Operation::Kind::kTxn:
        result.nested.push_back(Apply(operation.nested.front(), revision, changed));
        break;
    }
  }
  return result;
}

bool PlatformStore::Holds(const Compare& compare) const {
  const auto found = kvs_.find(compare.key);
  int64_t actual = 0;
  if (found != kvs_.end()) {
    actual = compare.target == Compare::Target::kCreateRevision ? found->second.create_revision
                                                                : found->second.mod_revision;
  }
  return actual == compare.equals;
}

void PlatformStore::Put(const PutRequest& put, int64_t revision) {
  KeyValue& kv = kvs_[put.key];
  if (kv.create_revision == 0) kv.create_revision = revision;
  kv.key = put.key;
  kv.value = put.value;
  kv.mod_revision = revision;
  kv.lease = put.lease;
  log_.push_back({false, kv});
  if (log_.size() > kLogLimit) log_.pop_front();
}

bool PlatformStore::Delete(const RangeRequest& range, int64_t revision) {
  bool any = false;
  for (auto entry = kvs_.lower_bound(range.key); entry != kvs_.end();) {
    if (!InRange(entry->first, range.key, range.range_end)) break;
    KeyValue gone;
    gone.key = entry->first;
    gone.mod_revision = revision;
    log_.push_back({true, gone});
    entry = kvs_.erase(entry);
    any = true;
  }
  return any;
}

int64_t PlatformStore::GrantLease(int64_t ttl_seconds, TimePoint now) {
  const int64_t id = next_lease_++;
  leases_[id] = {ttl_seconds, now + seconds(ttl_seconds)};
  return id;
}

bool PlatformStore::KeepAlive(int64_t lease, TimePoint now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.expires = now + seconds(found->second.ttl_seconds);
  return true;
}

void PlatformStore::RevokeLease(int64_t lease) {
  leases_.erase(lease);
  const int64_t revision = revision_ + 1;
  bool any = false;
  for (auto entry = kvs_.begin(); entry != kvs_.end();) {
    const auto next = std::next(entry);
    if (entry->second.lease == lease) {
      RangeRequest one;
      one.key = entry->first;
      any = Delete(one, revision) || any;
    }
    entry = next;
  }
  if (any) revision_ = revision;
}

void PlatformStore::ExpireLeases(TimePoint now) {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) expired.push_back(id);
  }
  for (const int64_t id : expired) RevokeLease(id);
}

std::vector<WatchEvent> PlatformStore::ChangesSince(const std::string& key,
                                                    const std::string& range_end,
                                                    int64_t revision) const {
  std::vector<WatchEvent> events;
  for (const WatchEvent& event : log_) {
    if (event.kv.mod_revision < revision) continue;
    if (InRange(event.kv.key, key, range_end)) events.push_back(event);
  }
  return events;
}

}  // namespace cartsail::emulator
