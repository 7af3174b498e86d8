#include "quarantine/quarantine_recorder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Delay for each rank: the counting nodes decide within some milliseconds of each other, and the
// first one has written the record by then.
constexpr Duration kDelayPerRank = milliseconds(700);
constexpr Duration kInitialRetryPause = milliseconds(300);
constexpr Duration kMaxRetryPause = seconds(5);
constexpr int kEraseAttempts = 5;

}  // namespace

QuarantineRecorder::QuarantineRecorder(asio::io_context& io, KeyValueStore& store,
                                       std::string prefix, QuarantineService& service)
    : io_(io), store_(store), prefix_(std::move(prefix)), service_(service) {
  service_.SetRecorder({[this](const QuarantinedRequest& quarantined, size_t rank) {
                          if (!recording_.insert(quarantined.request).second) return;
                          asio::co_spawn(io_, Record(quarantined, rank), asio::detached);
                        },
                        [this](RequestFingerprint request) {
                          asio::co_spawn(io_, Erase(request), asio::detached);
                        }});
}

std::string QuarantineRecorder::KeyOf(RequestFingerprint request) const {
  return prefix_ + FingerprintText(request);
}

bool QuarantineRecorder::IsStillQuarantined(RequestFingerprint request) const {
  return service_.List().RemainingTime(request, Now()).has_value();
}

asio::awaitable<void> QuarantineRecorder::Pause(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Retries until the record is in the store or the quarantine is over.
asio::awaitable<void> QuarantineRecorder::Record(QuarantinedRequest quarantined, size_t rank) {
  const RequestFingerprint request = quarantined.request;
  const std::string key = KeyOf(request);
  co_await Pause(static_cast<int64_t>(rank) * kDelayPerRank);
  Duration pause = kInitialRetryPause;
  while (IsStillQuarantined(request)) {
    absl::Status status = absl::OkStatus();
    const bool is_recorded = co_await IsRecorded(key);
    if (!is_recorded) status = co_await Write(key, PartsText(quarantined.parts));
    Log(status.ok() ? LogLevel::kInfo : LogLevel::kWarning, "quarantine_recorded",
        {{"fingerprint", FingerprintText(request)},
         {"ok", status.ok() ? "true" : "false"},
         {"by_another", is_recorded ? "true" : "false"},
         {"why", std::string(status.message())}});
    if (status.ok()) break;
    co_await Pause(pause);
    pause = std::min<Duration>(2 * pause, kMaxRetryPause);
  }
  recording_.erase(request);
  // The quarantine may have been lifted during the write.
  if (!IsStillQuarantined(request)) co_await Erase(request);
}

asio::awaitable<bool> QuarantineRecorder::IsRecorded(const std::string& key) {
  RangeRequest request;
  request.key = key;
  request.may_be_stale = true;
  const absl::StatusOr<RangeResult> result = co_await store_.Range(request);
  co_return result.ok() && !result->kvs.empty();
}

// OK also when another node has written the record first.
asio::awaitable<absl::Status> QuarantineRecorder::Write(const std::string& key,
                                                        const std::string& value) {
  const int64_t seconds_long = std::chrono::ceil<seconds>(kQuarantineTime).count();
  const absl::StatusOr<int64_t> lease = co_await store_.GrantLease(seconds_long);
  if (!lease.ok()) co_return lease.status();
  TxnRequest request;
  Compare absent;
  absent.key = key;
  request.compares.push_back(absent);
  Operation create;
  create.kind = Operation::Kind::kPut;
  create.put = {key, value, *lease};
  request.success.push_back(create);
  const absl::StatusOr<TxnResult> result = co_await store_.Txn(request);
  // The lease is of no use without the record; it expires on its own if this call fails.
  if (result.ok() && !result->succeeded) (void)co_await store_.EndLease(*lease);
  co_return result.status();
}

asio::awaitable<void> QuarantineRecorder::Erase(RequestFingerprint request) {
  TxnRequest erase;
  Operation remove;
  remove.kind = Operation::Kind::kDelete;
  remove.range.key = KeyOf(request);
  erase.success.push_back(remove);
  for (int i = 0; i < kEraseAttempts; ++i) {
    // A group may be quarantined again, for later exits.
    if (IsStillQuarantined(request)) co_return;
    const absl::StatusOr<TxnResult> result = co_await store_.Txn(erase);
    if (result.ok()) co_return;
    Log(LogLevel::kWarning, "quarantine_not_erased",
        {{"fingerprint", FingerprintText(request)},
         {"why", std::string(result.status().message())}});
    co_await Pause(kInitialRetryPause);
  }
}

}  // namespace cartsail
