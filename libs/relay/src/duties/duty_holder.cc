#include "duties/duty_holder.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kPollInterval = milliseconds(200);
// Time in which a node that starts learns enough about its peers to rank the candidates.
constexpr Duration kStartupDelay = seconds(1);
// The candidates after the first one ask less often whether the duty is free, and let those before
// them take it first.
constexpr Duration kFirstCandidateInterval = milliseconds(400);
constexpr Duration kOtherCandidatesInterval = milliseconds(1200);
constexpr Duration kDelayPerRank = seconds(1);
constexpr int kRenewalsPerLease = 4;
// A holder that is no longer a candidate releases the duty after this time, since other nodes send
// what a holder has to know to the candidates only. Brief changes of the ranking cause no change of
// holder.
constexpr Duration kOutrankedGracePeriod = seconds(1);

}  // namespace

DutyHolder::DutyHolder(asio::io_context& io, KeyValueStore& store, std::string key,
                       LeaseTiming terms, Candidacy candidacy)
    : io_(io),
      store_(store),
      key_(std::move(key)),
      terms_(terms),
      candidacy_(std::move(candidacy)),
      lease_(terms, candidacy_.first_start ? TimePoint() : Now()),
      attempts_(std::random_device{}()) {}

void DutyHolder::Start() { asio::co_spawn(io_, Run(), asio::detached); }

std::optional<FencingToken> DutyHolder::Token() const {
  return stopping_ ? std::nullopt : lease_.Token(Now());
}

std::optional<FencingToken> DutyHolder::MayAct() const {
  return stopping_ ? std::nullopt : lease_.MayAct(Now());
}

void DutyHolder::NoteAct() { lease_.NoteAct(Now()); }

bool DutyHolder::IsHeld() const { return lease_.IsHeld(Now()); }

asio::awaitable<void> DutyHolder::Run() {
  Timer timer(io_);
  Duration pause = kStartupDelay;
  while (!stopping_) {
    timer.expires_after(pause);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (stopping_) break;
    const std::optional<size_t> rank = candidacy_.rank();
    const TimePoint now = Now();
    pause = kPollInterval;
    if (rank.has_value()) outranked_since_ = now;
    if (lease_.IsHeld(now)) {
      if (now - outranked_since_ > kOutrankedGracePeriod) {
        co_await Release("outranked");
      } else if (now - renewed_ >= terms_.lease / kRenewalsPerLease) {
        co_await Renew();
      }
      continue;
    }
    if (store_lease_ != 0) Lose("lease_over");
    if (!rank.has_value()) {
      free_since_.reset();
      continue;
    }
    pause = *rank == 0 ? kFirstCandidateInterval : kOtherCandidatesInterval;
    co_await TakeIfFree(*rank);
  }
}

asio::awaitable<void> DutyHolder::Renew() {
  const TimePoint asked = Now();
  const int64_t store_lease = store_lease_;
  const absl::Status status = co_await store_.KeepLease(store_lease);
  if (store_lease != store_lease_) co_return;
  if (status.ok()) {
    lease_.OnRenewed(asked);
    renewed_ = asked;
  } else if (KindOf(status) == ErrorKind::kConflict) {
    Lose("lease_gone");
  }
}

asio::awaitable<bool> DutyHolder::IsFree() {
  RangeRequest request;
  request.key = key_;
  request.may_be_stale = true;
  const absl::StatusOr<RangeResult> result = co_await store_.Range(request);
  if (!result.ok()) co_return false;
  for (const KeyValue& item : result->kvs) {
    if (item.key == key_) co_return false;
  }
  co_return true;
}

asio::awaitable<void> DutyHolder::TakeIfFree(size_t rank) {
  if (!co_await IsFree()) {
    free_since_.reset();
    co_return;
  }
  const TimePoint now = Now();
  if (!free_since_.has_value()) free_since_ = now;
  if (now - *free_since_ < static_cast<int64_t>(rank) * kDelayPerRank) co_return;
  co_await Take();
}

asio::awaitable<void> DutyHolder::Take() {
  const TimePoint asked = Now();
  const int64_t seconds_long = std::chrono::ceil<seconds>(terms_.lease).count();
  const absl::StatusOr<int64_t> granted = co_await store_.GrantLease(seconds_long);
  if (!granted.ok()) co_return;
  const std::string value = fmt::format("{}/{}", candidacy_.node, ++attempts_);
  TxnRequest request;
  Compare absent;
  absent.key = key_;
  request.compares.push_back(absent);
  Operation create;
  create.kind = Operation::Kind::kPut;
  create.put = {key_, value, *granted};
  request.success.push_back(create);
  const absl::StatusOr<TxnResult> result = co_await store_.Txn(request);
  std::optional<FencingToken> token;
  if (result.ok() && result->succeeded) token = result->revision;
  if (!result.ok()) {
    // The write may have succeeded with its answer lost.
    const std::optional<KeyValue> own = co_await ReadOwn(value);
    if (own.has_value()) token = own->mod_revision;
  }
  if (token.has_value()) {
    store_lease_ = *granted;
    Win(*token, asked);
    co_return;
  }
  // A write that is still in flight fails without its lease. If this call fails as well, the lease
  // expires on its own.
  (void)co_await store_.EndLease(*granted);
}

asio::awaitable<std::optional<KeyValue>> DutyHolder::ReadOwn(const std::string& value) {
  RangeRequest request;
  request.key = key_;
  const absl::StatusOr<RangeResult> result = co_await store_.Range(request);
  if (!result.ok()) co_return std::nullopt;
  for (const KeyValue& item : result->kvs) {
    if (item.key == key_ && item.value == value) co_return item;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<bool>> DutyHolder::Confirm() {
  const std::optional<FencingToken> token = lease_.Token(Now());
  if (!token.has_value()) co_return false;
  RangeRequest request;
  request.key = key_;
  const absl::StatusOr<RangeResult> result = co_await store_.Range(request);
  if (!result.ok()) co_return std::nullopt;
  for (const KeyValue& item : result->kvs) {
    if (item.key == key_ && item.mod_revision == *token) co_return true;
  }
  Lose("record_of_another");
  co_return false;
}

void DutyHolder::Win(FencingToken token, TimePoint asked) {
  lease_.OnAcquired(token, asked);
  renewed_ = asked;
  outranked_since_ = Now();
  free_since_.reset();
  Log(LogLevel::kInfo, "duty_taken", {{"duty", key_}, {"token", std::to_string(token)}});
}

void DutyHolder::Lose(std::string_view why) {
  lease_.OnLost();
  store_lease_ = 0;
  Log(LogLevel::kWarning, "duty_lost", {{"duty", key_}, {"why", std::string(why)}});
}

asio::awaitable<void> DutyHolder::Release(std::string_view why) {
  const int64_t store_lease = store_lease_;
  Lose(why);
  (void)co_await store_.EndLease(store_lease);
}

asio::awaitable<void> DutyHolder::Stop() {
  stopping_ = true;
  if (store_lease_ != 0) co_await Release("stopping");
}

}  // namespace cartsail
