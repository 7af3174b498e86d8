// One request's dealings with the control plane: its slot, its claim, and whether a back end may
// have started it. Shared by model traffic and plain services.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "caller.h"
#include "cartsail/backend/engine_stream.h"
#include "cartsail/gateway/control_plane.h"
#include "error_response.h"

namespace cartsail {

class BackendWork {
 public:
  BackendWork(boost::asio::any_io_executor executor, ControlPlane& control, const Caller& caller,
              std::string model, uint64_t prefix_hash);
  // Gives back what is still held.
  ~BackendWork();
  BackendWork(const BackendWork&) = delete;
  BackendWork& operator=(const BackendWork&) = delete;

  // Gets a slot. `on_preempt` is called on this work's executor.
  boost::asio::awaitable<absl::Status> Acquire(SlotPurpose purpose,
                                               std::function<void()> on_preempt);

  // Makes sure that a request that may not run twice holds its claim, and gives the attempt its
  // id. To be called with a slot held, before the first byte goes to the back end.
  boost::asio::awaitable<absl::Status> PrepareAttempt();

  // Gives the slot back.
  void Release(SlotEnd end, ServiceReport report);

  // Asks for a slot at another engine, which is to replace the one held. That one stays held. Both
  // functions are called on this work's executor: `on_granted` once such a slot is held,
  // `on_preempt` when it is taken back.
  void SeekReplacement(std::function<void()> on_preempt, std::function<void()> on_granted);

  // True while no decision about the replacement has arrived.
  bool IsSeekingReplacement() const { return replacement_ != nullptr && replacement_->is_pending; }
  bool HasReplacement() const {
    return replacement_ != nullptr && replacement_->granted.has_value();
  }

  // Gives up the replacement that is sought or held, if any.
  void DropReplacement();

  // Makes the replacement the slot that is held. The earlier slot must have been given back.
  void TakeReplacement();

  // The caller has gone: ends a pending Acquire().
  void CallerGone();

  // Records what the back end may have done in an attempt that has ended.
  void NoteState(RunState state);

  // True if another attempt may be made: repeatable, or provably never started.
  bool MayTryAgain() const;

  // Describes a failure truthfully by what has been sent so far.
  Failure Describe(absl::Status status) const;

  const SlotDecision& Slot() const { return slot_; }
  const std::string& Attempt() const { return attempt_; }
  std::string StreamId() const { return slot_.engine + "." + attempt_; }
  TimePoint Arrival() const { return arrival_; }
  TimePoint GrantTime() const { return grant_time_; }
  bool RetryDenied() const { return slot_.retry_denied; }
  const ClassPolicy& Policy() const { return *caller_.policy; }
  // Time left until the class's deadline; at least zero.
  Duration TimeLeft() const;
  void Exclude(const std::string& engine) { excluded_.insert(engine); }

 private:
  // A request for a slot that is to replace the one held; outlives this work until it is decided.
  struct Replacement {
    RequestId id = 0;
    std::string replaced;  // engine of the slot held
    bool is_pending = true;
    bool is_dropped = false;
    std::optional<SlotDecision> granted;
  };

  static void OnReplacementDecided(ControlPlane& control, Replacement& replacement,
                                   const SlotDecision& decision,
                                   const std::function<void()>& on_granted);
  SlotRequest NewRequest(SlotPurpose purpose, std::function<void()> on_preempt) const;
  boost::asio::awaitable<absl::Status> Claim();
  void WithdrawClaim();

  boost::asio::any_io_executor executor_;
  ControlPlane& control_;
  const Caller& caller_;
  std::string model_;
  uint64_t prefix_hash_;
  TimePoint arrival_;
  TimePoint grant_time_{};
  SlotDecision slot_;
  RequestId pending_id_ = 0;
  bool holds_slot_ = false;
  bool admitted_ = false;  // counted against the tenant's limits
  bool caller_gone_ = false;
  bool claimed_ = false;
  bool may_have_started_ = false;
  std::string attempt_;
  std::string holder_stream_;  // of a claim that another attempt holds
  std::set<std::string> excluded_;
  std::shared_ptr<Replacement> replacement_;  // nullptr: none is sought or held
};

}  // namespace cartsail
