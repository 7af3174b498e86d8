#include "streams/stream_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kLedgerName = "versions";
constexpr std::string_view kRecordsName = "records/";
constexpr int64_t kItemsPerPage = 500;
constexpr int kRegisterAttempts = 3;
constexpr int kProcessIdBytes = 4;
// Leases are granted for this much longer than needed, so that the saves of this time share one.
constexpr Duration kLeaseSharingTime = seconds(5);

// Fields of an encoded record, in this order.
enum Field : size_t { kKey, kVersion, kEngine, kStarted, kConfirmed, kLeft, kBegun, kFields };

std::string EncodeRecords(const std::vector<StreamRecord>& records, TimePoint now) {
  json::array rows;
  for (const StreamRecord& record : records) {
    const auto left = static_cast<int64_t>(ToMillis(record.until - now));
    const auto age = std::chrono::duration_cast<milliseconds>(now - record.begun);
    const int64_t begun = (WallNow() - age).count();
    rows.push_back(json::array{record.key, record.version, record.engine, record.started_ms,
                               record.is_confirmed, left, begun});
  }
  return json::serialize(rows);
}

bool IsRecord(const json::value& row) {
  if (!row.is_array() || row.as_array().size() != kFields) return false;
  const json::array& fields = row.as_array();
  return fields[kConfirmed].is_bool() && fields[kKey].is_number() && fields[kVersion].is_string() &&
         fields[kEngine].is_string() && fields[kStarted].is_number() && fields[kLeft].is_number() &&
         fields[kBegun].is_number();
}

// Skips rows that are not records.
void DecodeRecords(const std::string& text, TimePoint now, std::vector<StreamRecord>* records) {
  const absl::StatusOr<json::value> value = ParseJson(text);
  if (!value.ok() || !value->is_array()) return;
  for (const json::value& row : value->as_array()) {
    if (!IsRecord(row)) continue;
    const json::array& fields = row.as_array();
    StreamRecord record;
    record.key = fields[kKey].to_number<uint64_t>();
    record.version = std::string(fields[kVersion].as_string());
    record.engine = std::string(fields[kEngine].as_string());
    record.started_ms = fields[kStarted].to_number<int64_t>();
    record.is_confirmed = fields[kConfirmed].as_bool();
    record.until = now + milliseconds(fields[kLeft].to_number<int64_t>());
    record.begun = now - (WallNow() - milliseconds(fields[kBegun].to_number<int64_t>()));
    records->push_back(std::move(record));
  }
}

}  // namespace

// The random suffix keeps a restarted process from overwriting records of the previous one.
StreamStore::StreamStore(KeyValueStore& store, std::string prefix, std::string node)
    : store_(store),
      prefix_(std::move(prefix)),
      node_(std::move(node) + "-" + RandomHex(kProcessIdBytes)) {}

std::string StreamStore::PrefixOf(const std::string& service) const {
  return prefix_ + service + "/";
}

asio::awaitable<absl::StatusOr<StoredStreams>> StreamStore::Read(std::string service) {
  const std::string prefix = PrefixOf(service);
  StoredStreams stored;
  RangeRequest request;
  request.key = prefix;
  request.range_end = PrefixEnd(prefix);
  request.limit = kItemsPerPage;
  const TimePoint now = Now();
  while (true) {
    const absl::StatusOr<RangeResult> page = co_await store_.Range(request);
    if (!page.ok()) co_return page.status();
    for (const KeyValue& item : page->kvs) {
      const std::string_view name = std::string_view(item.key).substr(prefix.size());
      if (name == kLedgerName) {
        stored.ledger = VersionLedger::Decode(item.value);
        stored.ledger_revision = item.mod_revision;
      } else if (name.starts_with(kRecordsName)) {
        DecodeRecords(item.value, now, &stored.records);
      }
    }
    if (!page->more || page->kvs.empty()) break;
    request.key = page->kvs.back().key + '\0';
  }
  co_return stored;
}

asio::awaitable<absl::Status> StreamStore::WriteLedger(std::string service, VersionLedger ledger,
                                                       int64_t revision) {
  TxnRequest request;
  Compare unchanged;
  unchanged.key = PrefixOf(service) + std::string(kLedgerName);
  unchanged.equals = revision;
  request.compares.push_back(unchanged);
  Operation write;
  write.kind = Operation::Kind::kPut;
  write.put = {unchanged.key, ledger.Encode(), 0};
  request.success.push_back(write);
  const absl::StatusOr<TxnResult> result = co_await store_.Txn(request);
  if (!result.ok()) co_return result.status();
  if (!result->succeeded)
    co_return MakeError(ErrorKind::kConflict,
                        "version ledger was written by another node since it was read");
  co_return absl::OkStatus();
}

// A failed write may have succeeded with its answer lost; reading the ledger again decides.
asio::awaitable<absl::StatusOr<VersionLedger>> StreamStore::Register(std::string service,
                                                                     std::string version) {
  absl::Status failed = absl::OkStatus();
  for (int i = 0; i < kRegisterAttempts; ++i) {
    const absl::StatusOr<StoredStreams> stored = co_await Read(service);
    if (!stored.ok()) co_return stored.status();
    VersionLedger ledger = stored->ledger.value_or(VersionLedger());
    if (ledger.Has(version)) co_return ledger;
    ledger.Add(version);
    failed = co_await WriteLedger(service, ledger, stored->ledger_revision);
    if (failed.ok()) co_return ledger;
  }
  co_return failed;
}

asio::awaitable<absl::Status> StreamStore::KeepOnly(std::string service,
                                                    std::vector<std::string> kept) {
  const absl::StatusOr<StoredStreams> stored = co_await Read(service);
  if (!stored.ok()) co_return stored.status();
  VersionLedger ledger = stored->ledger.value_or(VersionLedger());
  if (!ledger.KeepOnly(kept)) co_return absl::OkStatus();
  co_return co_await WriteLedger(service, ledger, stored->ledger_revision);
}

asio::awaitable<absl::StatusOr<int64_t>> StreamStore::LeaseFor(Duration length) {
  const TimePoint now = Now();
  if (lease_ != 0 && now + length <= lease_ends_) co_return lease_;
  const seconds granted = std::chrono::ceil<seconds>(length + kLeaseSharingTime);
  const absl::StatusOr<int64_t> lease = co_await store_.GrantLease(granted.count());
  if (!lease.ok()) co_return lease.status();
  lease_ = *lease;
  lease_ends_ = now + granted;
  co_return lease_;
}

asio::awaitable<absl::Status> StreamStore::Save(std::string service,
                                                std::vector<StreamRecord> records) {
  if (records.empty()) co_return absl::OkStatus();
  TimePoint last{};
  for (const StreamRecord& record : records) last = std::max(last, record.until);
  const absl::StatusOr<int64_t> lease = co_await LeaseFor(last - Now());
  if (!lease.ok()) co_return lease.status();
  TxnRequest request;
  Operation write;
  write.kind = Operation::Kind::kPut;
  write.put = {fmt::format("{}{}{}-{}", PrefixOf(service), kRecordsName, node_, ++saves_),
               EncodeRecords(records, Now()), *lease};
  request.success.push_back(write);
  const absl::StatusOr<TxnResult> result = co_await store_.Txn(request);
  // The lease may have expired: the next save requests a new one.
  if (!result.ok()) lease_ = 0;
  co_return result.status();
}

}  // namespace cartsail
