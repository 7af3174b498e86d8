#include "streams/stream_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/log.h"
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
  return fields[kConfirmed].is_bool() && fields[kVersion].is_string() &&
         fields[kEngine].is_string();
}

// nullopt if the value is no whole number in the range of T.
template <typename T>
std::optional<T> WholeNumber(const json::value& value) {
  boost::system::error_code error;
  const T number = value.to_number<T>(error);
  if (error) return std::nullopt;
  return number;
}

// A time that no record has would overflow a point in time.
Duration MillisWithin(int64_t millis, Duration limit) {
  const auto bound = std::chrono::duration_cast<milliseconds>(limit).count();
  return milliseconds(std::clamp<int64_t>(millis, -bound, bound));
}

// nullopt if the row is not a record.
std::optional<StreamRecord> DecodeRecord(const json::value& row, TimePoint now) {
  if (!IsRecord(row)) return std::nullopt;
  const json::array& fields = row.as_array();
  const std::optional<uint64_t> key = WholeNumber<uint64_t>(fields[kKey]);
  const std::optional<int64_t> started = WholeNumber<int64_t>(fields[kStarted]);
  const std::optional<int64_t> left = WholeNumber<int64_t>(fields[kLeft]);
  const std::optional<int64_t> begun = WholeNumber<int64_t>(fields[kBegun]);
  if (!key.has_value() || !started.has_value() || !left.has_value() || !begun.has_value()) {
    return std::nullopt;
  }
  // The writer's time of day may be another one.
  const int64_t wall = WallNow().count();
  const auto most = std::chrono::duration_cast<milliseconds>(kVersionRetention).count();
  const int64_t begun_near = std::clamp<int64_t>(*begun, wall - most, wall + most);
  StreamRecord record;
  record.key = *key;
  record.version = std::string(fields[kVersion].as_string());
  record.engine = std::string(fields[kEngine].as_string());
  record.started_ms = *started;
  record.is_confirmed = fields[kConfirmed].as_bool();
  record.until = now + MillisWithin(*left, kMaxResumeTime);
  record.begun = now - milliseconds(wall - begun_near);
  return record;
}

// Skips rows that are not records: other builds and other writers may have left them.
void DecodeRecords(const KeyValue& item, TimePoint now, std::vector<StreamRecord>* records) {
  const absl::StatusOr<json::value> value = ParseJson(item.value);
  const bool is_list = value.ok() && value->is_array();
  size_t skipped = is_list ? 0 : 1;
  if (is_list) {
    for (const json::value& row : value->as_array()) {
      std::optional<StreamRecord> record = DecodeRecord(row, now);
      if (record.has_value()) {
        records->push_back(std::move(*record));
      } else {
        ++skipped;
      }
    }
  }
  if (skipped == 0) return;
  Log(LogLevel::kWarning, "stream_records_invalid",
      {{"key", item.key}, {"skipped", std::to_string(skipped)}});
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
        DecodeRecords(item, now, &stored.records);
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
