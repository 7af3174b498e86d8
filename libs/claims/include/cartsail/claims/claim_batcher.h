// At-most-once claims on idempotency keys, grouped into transactions. Pure.
//
// A claim is a record created in the platform's store if absent. It names the attempt that made
// it; only that attempt may run the request. Creating a claim is idempotent per attempt: when a
// reply is lost the same create is sent again, and a record that names the same attempt is a win.
// The cost in calls depends on the interval, not on the number of requests.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// What a claim's record says.
struct ClaimRecord {
  std::string attempt;  // random, unique
  std::string engine;   // back end that the attempt was granted
};

struct ClaimRequest {
  uint64_t ticket = 0;  // given by the caller, returned with the verdict
  std::string key;      // the store's key
  ClaimRecord record;
  TimePoint deadline{};  // then undecided
};

enum class ClaimVerdict {
  kWon,        // the record names this attempt
  kLost,       // the record names another attempt
  kUndecided,  // the platform did not answer in time: the record may or may not exist
};

struct ClaimResult {
  uint64_t ticket = 0;
  ClaimVerdict verdict = ClaimVerdict::kUndecided;
  ClaimRecord holder;  // kLost: whose it is
};

struct ClaimBatcherPolicy {
  size_t batch_limit = 128;              // creates per transaction
  Duration interval = milliseconds(10);  // least time between transactions of this node
  Duration retry_pause = milliseconds(200);
};

// The interval at which a zone's batching node writes, so that all zones together stay within a
// bounded number of transactions a second.
Duration ClaimInterval(int zones);

class ClaimBatcher {
 public:
  explicit ClaimBatcher(ClaimBatcherPolicy policy = {}) : policy_(policy) {}

  void SetInterval(Duration interval) { policy_.interval = interval; }

  void Add(ClaimRequest request);

  // The claims to send in one transaction now, or nothing. One transaction is out at a time; each
  // is answered with OnReply() or OnFailure().
  std::vector<ClaimRequest> TakeBatch(TimePoint now);

  // The platform answered: `holders[i]` is the record now standing under the i-th key sent.
  std::vector<ClaimResult> OnReply(const std::vector<ClaimRecord>& holders);

  // No answer, or a refusal: the batch goes out again until its deadlines.
  void OnFailure(TimePoint now);

  // Claims past their deadline, as undecided.
  std::vector<ClaimResult> Expire(TimePoint now);

  // When TakeBatch() or Expire() has something to do next.
  std::optional<TimePoint> NextEvent(TimePoint now) const;

  size_t Pending() const { return queue_.size() + in_flight_.size(); }

 private:
  ClaimBatcherPolicy policy_;
  std::deque<ClaimRequest> queue_;
  std::vector<ClaimRequest> in_flight_;
  TimePoint next_send_{};
};

// The stored form of a record.
std::string SerializeClaim(const ClaimRecord& record);
ClaimRecord ParseClaim(std::string_view text);

// The store's key of a tenant's idempotency key; the key itself is hashed.
std::string ClaimKey(std::string_view tenant, std::string_view idempotency_key);

}  // namespace cartsail
