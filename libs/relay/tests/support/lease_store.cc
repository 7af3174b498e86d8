#include "support/lease_store.h"

#include <boost/asio/use_awaitable.hpp>
#include <vector>

#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

absl::Status Away() { return MakeError(ErrorKind::kPlatformUnavailable, "away"); }

bool IsIn(const std::string& key, const RangeRequest& range) {
  if (range.range_end.empty()) return key == range.key;
  return key >= range.key && key < range.range_end;
}

}  // namespace

absl::Status LeaseStore::Begin() {
  ++calls_;
  ExpireDue();
  return away_ ? Away() : absl::OkStatus();
}

void LeaseStore::Expire(int64_t lease) {
  leases_.erase(lease);
  const size_t before = items_.size();
  std::erase_if(items_, [lease](const auto& entry) { return entry.second.lease == lease; });
  if (items_.size() != before) ++revision_;
}

void LeaseStore::ExpireDue() {
  std::vector<int64_t> due;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= Now()) due.push_back(id);
  }
  for (const int64_t id : due) Expire(id);
}

const KeyValue* LeaseStore::Find(const std::string& key) const {
  const auto item = items_.find(key);
  return item == items_.end() ? nullptr : &item->second;
}

KeyValueStore::Result<RangeResult> LeaseStore::Range(RangeRequest request) {
  const absl::Status status = Begin();
  if (!status.ok()) co_return status;
  RangeResult result;
  result.revision = revision_;
  for (const auto& [key, item] : items_) {
    if (IsIn(key, request)) result.kvs.push_back(item);
  }
  co_return result;
}

KeyValueStore::Result<TxnResult> LeaseStore::Txn(TxnRequest request) {
  const absl::Status status = Begin();
  if (!status.ok()) co_return status;
  TxnResult result;
  for (const Compare& compare : request.compares) {
    const KeyValue* item = Find(compare.key);
    if ((item == nullptr ? 0 : item->mod_revision) != compare.equals) co_return result;
  }
  ++revision_;
  for (const Operation& operation : request.success) {
    if (operation.kind == Operation::Kind::kDelete) items_.erase(operation.range.key);
    if (operation.kind != Operation::Kind::kPut) continue;
    const PutRequest& put = operation.put;
    if (put.lease != 0 && !leases_.contains(put.lease)) {
      co_return MakeError(ErrorKind::kConflict, "no such lease");
    }
    KeyValue& item = items_[put.key];
    if (item.create_revision == 0) item.create_revision = revision_;
    item = {put.key, put.value, item.create_revision, revision_, put.lease};
  }
  result.succeeded = true;
  result.revision = revision_;
  if (lost_answers_ > 0) {
    --lost_answers_;
    co_return Away();
  }
  co_return result;
}

KeyValueStore::Result<int64_t> LeaseStore::GrantLease(int64_t ttl_seconds) {
  const absl::Status status = Begin();
  if (!status.ok()) co_return status;
  const int64_t id = next_lease_++;
  leases_[id] = {seconds(ttl_seconds), Now() + seconds(ttl_seconds)};
  co_return id;
}

asio::awaitable<absl::Status> LeaseStore::KeepLease(int64_t lease) {
  const absl::Status status = Begin();
  if (!status.ok()) co_return status;
  const auto found = leases_.find(lease);
  if (found == leases_.end()) co_return MakeError(ErrorKind::kConflict, "no such lease");
  found->second.until = Now() + found->second.length;
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> LeaseStore::EndLease(int64_t lease) {
  const absl::Status status = Begin();
  if (!status.ok()) co_return status;
  if (!leases_.contains(lease)) co_return MakeError(ErrorKind::kConflict, "no such lease");
  Expire(lease);
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> LeaseStore::Watch(std::string key, std::string range_end,
                                                int64_t start_revision, WatchCallback on_events) {
  Timer timer(io_, seconds(60));
  co_await timer.async_wait(asio::use_awaitable);
  co_return absl::OkStatus();
}

}  // namespace cartsail::testing
