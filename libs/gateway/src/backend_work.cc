#include "backend_work.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstring>
#include <random>

#include "cartsail/base/hash.h"
#include "cartsail/net/async.h"

namespace cartsail {
namespace {

constexpr int kAttemptIdBytes = 12;
constexpr Duration kClaimTimeout = seconds(2);
constexpr Duration kPlatformRetryAfter = seconds(2);
constexpr Duration kDefaultRetryAfter = seconds(1);

RequestId NewRequestId() {
  static thread_local std::mt19937_64 random(std::random_device{}());
  return random();
}

bool GivesRetryAfter(ErrorKind kind) {
  const int status = HttpStatusFor(kind);
  return status == 503 || status == 429 || status == 502;
}

}  // namespace

BackendWork::BackendWork(boost::asio::any_io_executor executor, ControlPlane& control,
                         const Caller& caller, std::string model, uint64_t prefix_hash)
    : executor_(std::move(executor)),
      control_(control),
      caller_(caller),
      model_(std::move(model)),
      prefix_hash_(prefix_hash),
      arrival_(Now()) {}

BackendWork::~BackendWork() {
  DropReplacement();
  if (holds_slot_) Release(SlotEnd::kCancelled, {});
  // The caller is told "not run" and may come again with the same key.
  if (claimed_ && !may_have_started_) WithdrawClaim();
  if (admitted_) control_.EndRequest(caller_.tenant);
}

SlotRequest BackendWork::NewRequest(SlotPurpose purpose, std::function<void()> on_preempt) const {
  SlotRequest request;
  request.id = NewRequestId();
  request.policy = caller_.policy;
  request.model = model_;
  request.prefix_hash = prefix_hash_;
  request.arrival = arrival_;
  request.purpose = purpose;
  request.excluded = excluded_;
  if (on_preempt) {
    request.on_preempt = [executor = executor_, on_preempt = std::move(on_preempt)] {
      boost::asio::post(executor, on_preempt);
    };
  }
  return request;
}

boost::asio::awaitable<absl::Status> BackendWork::Acquire(SlotPurpose purpose,
                                                          std::function<void()> on_preempt) {
  if (caller_gone_) co_return MakeError(ErrorKind::kCancelled, "the caller has gone");
  SlotRequest request = NewRequest(purpose, std::move(on_preempt));
  pending_id_ = request.id;
  std::function<void(std::function<void(SlotDecision)>)> start =
      [this, request = std::move(request)](std::function<void(SlotDecision)> done) {
        control_.AcquireSlot(request, std::move(done));
      };
  slot_ = co_await AwaitCallback<SlotDecision>(std::move(start));
  pending_id_ = 0;
  const ErrorKind kind = KindOf(slot_.status);
  const bool limited = !slot_.status.ok() && kind == ErrorKind::kRateLimited;
  if (purpose == SlotPurpose::kFirst && !limited) admitted_ = true;
  if (!slot_.status.ok()) co_return slot_.status;
  holds_slot_ = true;
  grant_time_ = Now();
  if (caller_gone_) {
    Release(SlotEnd::kCancelled, {});
    co_return MakeError(ErrorKind::kCancelled, "the caller has gone");
  }
  co_return absl::OkStatus();
}

boost::asio::awaitable<absl::Status> BackendWork::PrepareAttempt() {
  if (caller_.policy->repeatable) {
    attempt_ = RandomHex(kAttemptIdBytes);
    co_return absl::OkStatus();
  }
  if (claimed_) co_return absl::OkStatus();
  attempt_ = RandomHex(kAttemptIdBytes);
  co_return co_await Claim();
}

boost::asio::awaitable<absl::Status> BackendWork::Claim() {
  const std::string key = ClaimKey(caller_.tenant, caller_.idempotency_key);
  const ClaimRecord record{attempt_, slot_.engine};
  std::function<void(std::function<void(ClaimResult)>)> start =
      [this, key, record](std::function<void(ClaimResult)> done) {
        control_.Claim(key, record, kClaimTimeout, std::move(done));
      };
  const ClaimResult result = co_await AwaitCallback<ClaimResult>(std::move(start));
  switch (result.verdict) {
    case ClaimVerdict::kWon:
      claimed_ = true;
      break;
    case ClaimVerdict::kLost:
      holder_stream_ = result.holder.engine + "." + result.holder.attempt;
      co_return MakeError(ErrorKind::kIdempotencyKeyInUse, "this Idempotency-Key was used before");
    case ClaimVerdict::kUndecided:
      // The record may exist; this attempt will not run, so it is withdrawn.
      WithdrawClaim();
      co_return MakeError(ErrorKind::kPlatformUnavailable,
                          "the claim on this Idempotency-Key could not be recorded");
  }
  if (caller_gone_) co_return MakeError(ErrorKind::kCancelled, "the caller has gone");
  co_return absl::OkStatus();
}

void BackendWork::WithdrawClaim() {
  const std::string key = ClaimKey(caller_.tenant, caller_.idempotency_key);
  control_.WithdrawClaim(key, {attempt_, slot_.engine});
}

void BackendWork::Release(SlotEnd end, ServiceReport report) {
  if (!holds_slot_) return;
  holds_slot_ = false;
  report.service_time = Now() - grant_time_;
  report.interval_target = caller_.policy->token_interval_target;
  control_.ReleaseSlot(slot_.id, end, report);
}

void BackendWork::SeekReplacement(std::function<void()> on_preempt,
                                  std::function<void()> on_granted) {
  DropReplacement();
  SlotRequest request = NewRequest(SlotPurpose::kRetry, std::move(on_preempt));
  request.excluded.insert(slot_.engine);
  replacement_ = std::make_shared<Replacement>();
  replacement_->id = request.id;
  replacement_->replaced = slot_.engine;
  control_.AcquireSlot(std::move(request),
                       [executor = executor_, &control = control_, replacement = replacement_,
                        on_granted = std::move(on_granted)](const SlotDecision& decision) {
                         boost::asio::post(executor, [&control, replacement, on_granted, decision] {
                           OnReplacementDecided(control, *replacement, decision, on_granted);
                         });
                       });
}

void BackendWork::OnReplacementDecided(ControlPlane& control, Replacement& replacement,
                                       const SlotDecision& decision,
                                       const std::function<void()>& on_granted) {
  replacement.is_pending = false;
  if (!decision.status.ok()) return;
  // A retry is granted at an excluded engine if no other is left.
  if (replacement.is_dropped || decision.engine == replacement.replaced) {
    control.ReleaseSlot(decision.id, SlotEnd::kCancelled, {.started = false});
    return;
  }
  replacement.granted = decision;
  on_granted();
}

void BackendWork::DropReplacement() {
  if (replacement_ == nullptr) return;
  const std::shared_ptr<Replacement> dropped = std::exchange(replacement_, nullptr);
  dropped->is_dropped = true;
  if (dropped->is_pending) control_.CancelSlot(dropped->id);
  if (!dropped->granted.has_value()) return;
  control_.ReleaseSlot(dropped->granted->id, SlotEnd::kCancelled, {.started = false});
}

void BackendWork::TakeReplacement() {
  slot_ = *std::exchange(replacement_, nullptr)->granted;
  holds_slot_ = true;
  grant_time_ = Now();
}

void BackendWork::CallerGone() {
  caller_gone_ = true;
  if (pending_id_ != 0) control_.CancelSlot(pending_id_);
}

void BackendWork::NoteState(RunState state) {
  if (state != RunState::kNotStarted) may_have_started_ = true;
}

bool BackendWork::MayTryAgain() const { return caller_.policy->repeatable || !may_have_started_; }

Failure BackendWork::Describe(absl::Status status) const {
  Failure failure;
  failure.status = std::move(status);
  const ErrorKind kind = KindOf(failure.status);
  const bool unknown = may_have_started_ || kind == ErrorKind::kIdempotencyKeyInUse;
  failure.outcome = unknown ? Outcome::kUnknown : Outcome::kNotRun;
  failure.stream = holder_stream_;
  if (kind == ErrorKind::kPlatformUnavailable) {
    failure.retry_after = kPlatformRetryAfter;
  } else if (GivesRetryAfter(kind)) {
    failure.retry_after = std::max<Duration>(slot_.retry_after, kDefaultRetryAfter);
  }
  return failure;
}

Duration BackendWork::TimeLeft() const {
  const Duration left = arrival_ + caller_.policy->deadline - Now();
  return std::max(left, Duration(0));
}

}  // namespace cartsail
