#include "cartsail/claims/claim_batcher.h"

#include <fmt/format.h>

#include <algorithm>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"

namespace cartsail {

namespace {

// The platform bears some hundred writes a second; claims of the whole fleet take this part of it.
constexpr int kFleetTransactionsPerSecond = 150;
constexpr Duration kShortestInterval = milliseconds(10);

}  // namespace

Duration ClaimInterval(int zones) {
  const Duration share = Duration(seconds(1)) * zones / kFleetTransactionsPerSecond;
  return std::max(share, kShortestInterval);
}

void ClaimBatcher::Add(ClaimRequest request) { queue_.push_back(std::move(request)); }

std::vector<ClaimRequest> ClaimBatcher::TakeBatch(TimePoint now) {
  if (!in_flight_.empty() || queue_.empty() || now < next_send_) return {};
  while (!queue_.empty() && in_flight_.size() < policy_.batch_limit) {
    in_flight_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  next_send_ = now + policy_.interval;
  return in_flight_;
}

std::vector<ClaimResult> ClaimBatcher::OnReply(const std::vector<ClaimRecord>& holders) {
  std::vector<ClaimResult> results;
  for (size_t i = 0; i < in_flight_.size(); ++i) {
    const ClaimRequest& request = in_flight_[i];
    ClaimResult result;
    result.ticket = request.ticket;
    if (i < holders.size()) {
      const bool ours = holders[i].attempt == request.record.attempt;
      result.verdict = ours ? ClaimVerdict::kWon : ClaimVerdict::kLost;
      result.holder = holders[i];
    }
    results.push_back(std::move(result));
  }
  in_flight_.clear();
  return results;
}

void ClaimBatcher::OnFailure(TimePoint now) {
  // Back to the front, in order: the oldest claims go out first.
  for (auto request = in_flight_.rbegin(); request != in_flight_.rend(); ++request) {
    queue_.push_front(std::move(*request));
  }
  in_flight_.clear();
  next_send_ = now + policy_.retry_pause;
}

std::vector<ClaimResult> ClaimBatcher::Expire(TimePoint now) {
  std::vector<ClaimResult> results;
  std::erase_if(queue_, [&](const ClaimRequest& request) {
    if (request.deadline > now) return false;
    results.push_back({request.ticket, ClaimVerdict::kUndecided, {}});
    return true;
  });
  return results;
}

std::optional<TimePoint> ClaimBatcher::NextEvent(TimePoint now) const {
  if (queue_.empty()) return std::nullopt;
  TimePoint next = TimePoint::max();
  for (const ClaimRequest& request : queue_) next = std::min(next, request.deadline);
  if (in_flight_.empty()) next = std::min(next, std::max(now, next_send_));
  return next;
}

std::string SerializeClaim(const ClaimRecord& record) {
  return json::serialize(json::object{{"attempt", record.attempt}, {"engine", record.engine}});
}

ClaimRecord ParseClaim(std::string_view text) {
  const absl::StatusOr<json::object> object = ParseJsonObject(text);
  if (!object.ok()) return {};
  return {GetString(*object, "attempt"), GetString(*object, "engine")};
}

std::string ClaimKey(std::string_view tenant, std::string_view idempotency_key) {
  return fmt::format("cartsail/claims/{}/{}", tenant, Sha256Hex(idempotency_key));
}

}  // namespace cartsail
