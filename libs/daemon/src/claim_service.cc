#include "claim_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kBatchingRole = "claims";
// Claims written within this share of the retention share one lease.
constexpr int kLeasesPerRetention = 8;
constexpr int kWithdrawTries = 120;
constexpr Duration kWithdrawPause = milliseconds(500);
constexpr Duration kLongestWithdrawPause = seconds(10);

ClaimRecord HolderOf(const TxnResult& result, const ClaimRequest& claim) {
  if (result.succeeded) return claim.record;
  if (result.ranges.empty() || result.ranges.front().kvs.empty()) return {};
  return ParseClaim(result.ranges.front().kvs.front().value);
}

}  // namespace

ClaimService::ClaimService(asio::io_context& context, KeyValueStore& store, MemberTable& members)
    : context_(context), store_(store), members_(members), timer_(context) {}

void ClaimService::Claim(const ClaimCall& call, Done done) {
  const std::string batching = members_.OwnerOf(kBatchingRole, members_.Zone());
  const Member* member = members_.Find(batching);
  if (batching == members_.Self() || member == nullptr) {
    ClaimHere(call, std::move(done));
    return;
  }
  network_->Claim(member->address, call,
                  [this, call, done](const absl::StatusOr<ClaimResult>& result) {
                    if (result.ok()) {
                      done(*result);
                    } else {
                      ClaimHere(call, done);
                    }
                  });
}

void ClaimService::ClaimHere(const ClaimCall& call, Done done) {
  ClaimRequest request;
  request.ticket = next_ticket_++;
  request.key = call.key;
  request.record = call.record;
  request.deadline = Now() + call.timeout;
  done_[request.ticket] = std::move(done);
  batcher_.Add(std::move(request));
  Pump();
}

void ClaimService::Pump() {
  const TimePoint now = Now();
  Deliver(batcher_.Expire(now));
  std::vector<ClaimRequest> batch = batcher_.TakeBatch(now);
  if (!batch.empty()) {
    GlobalCounters().claim_batches_total.Add();
    asio::co_spawn(context_, SendBatch(std::move(batch)), asio::detached);
  }
  ArmTimer();
}

void ClaimService::ArmTimer() {
  const std::optional<TimePoint> next = batcher_.NextEvent(Now());
  if (!next.has_value()) return;
  timer_.expires_at(*next);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Pump();
  });
}

void ClaimService::Deliver(const std::vector<ClaimResult>& results) {
  Counters& counters = GlobalCounters();
  for (const ClaimResult& result : results) {
    const auto found = done_.find(result.ticket);
    if (found == done_.end()) continue;
    const Done done = std::move(found->second);
    done_.erase(found);
    switch (result.verdict) {
      case ClaimVerdict::kWon:
        counters.claims_won_total.Add();
        break;
      case ClaimVerdict::kLost:
        counters.claims_lost_total.Add();
        break;
      case ClaimVerdict::kUndecided:
        counters.claims_undecided_total.Add();
        break;
    }
    done(result);
  }
}

asio::awaitable<void> ClaimService::SendBatch(std::vector<ClaimRequest> batch) {
  const absl::StatusOr<int64_t> lease = co_await CurrentLease();
  if (!lease.ok()) {
    batcher_.OnFailure(Now());
    Pump();
    co_return;
  }
  TxnRequest request;
  for (const ClaimRequest& claim : batch) {
    request.success.push_back(CreateIfAbsent({claim.key, SerializeClaim(claim.record), *lease}));
  }
  const absl::StatusOr<TxnResult> result = co_await store_.Txn(std::move(request));
  if (!result.ok() || result->nested.size() != batch.size()) {
    batcher_.OnFailure(Now());
    Pump();
    co_return;
  }
  std::vector<ClaimRecord> holders;
  for (size_t i = 0; i < batch.size(); ++i) {
    holders.push_back(HolderOf(result->nested[i], batch[i]));
  }
  Deliver(batcher_.OnReply(holders));
  Pump();
}

// A lease that outlives the retention of claims written now.
asio::awaitable<absl::StatusOr<int64_t>> ClaimService::CurrentLease() {
  if (lease_ != 0 && Now() < lease_renewal_) co_return lease_;
  const Duration share = retention_ / kLeasesPerRetention;
  const auto ttl = static_cast<int64_t>(ToSeconds(retention_ + share));
  const absl::StatusOr<int64_t> lease = co_await store_.GrantLease(ttl);
  if (!lease.ok()) co_return lease.status();
  lease_ = *lease;
  lease_renewal_ = Now() + share;
  co_return lease_;
}

void ClaimService::Withdraw(const std::string& key, const ClaimRecord& record) {
  asio::co_spawn(context_, WithdrawLoop(key, record), asio::detached);
}

asio::awaitable<void> ClaimService::WithdrawLoop(std::string key, ClaimRecord record) {
  Duration pause = kWithdrawPause;
  for (int i = 0; i < kWithdrawTries; ++i) {
    RangeRequest range;
    range.key = key;
    const absl::StatusOr<RangeResult> standing = co_await store_.Range(std::move(range));
    if (standing.ok()) {
      if (standing->kvs.empty()) co_return;
      const KeyValue& kv = standing->kvs.front();
      if (ParseClaim(kv.value).attempt != record.attempt) co_return;
      TxnRequest txn;
      Compare unchanged;
      unchanged.key = key;
      unchanged.equals = kv.mod_revision;
      Operation erase;
      erase.kind = Operation::Kind::kDelete;
      erase.range.key = key;
      txn.compares.push_back(unchanged);
      txn.success.push_back(erase);
      const absl::StatusOr<TxnResult> erased = co_await store_.Txn(std::move(txn));
      if (erased.ok()) co_return;
    }
    Timer timer(context_);
    timer.expires_after(pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(pause * 2, kLongestWithdrawPause);
  }
}

}  // namespace cartsail
