// Claims of requests that may not be repeated.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet_run.h"

namespace cartsail::emulator {

void Fleet::Claim(size_t node, const RequestPtr& request) {
  const std::string batcher = nodes_[node]->members.OwnerOf("claims", nodes_[node]->zone);
  const size_t to = node_index_[batcher];
  Send(
      node, to,
      [this, to, request] {
        ClaimRequest claim;
        claim.ticket = next_ticket_++;
        claim.key = std::to_string(claim.ticket);
        claim.record = {std::to_string(claim.ticket), ""};
        claim.deadline = events_.Time() + kClaimTimeout;
        claimants_[claim.ticket] = request;
        nodes_[to]->claims.Add(std::move(claim));
        PumpClaims(to);
      },
      [this, request] { EndClaim(request, false); });
}

void Fleet::PumpClaims(size_t node) {
  HollowNode& hollow = *nodes_[node];
  DeliverClaims(hollow.claims.Expire(events_.Time()));
  const std::vector<ClaimRequest> batch = hollow.claims.TakeBatch(events_.Time());
  if (!batch.empty()) SendBatch(node, batch);
  ArmClaims(node);
}

void Fleet::ArmClaims(size_t node) {
  HollowNode& hollow = *nodes_[node];
  const std::optional<TimePoint> next = hollow.claims.NextEvent(events_.Time());
  if (!next.has_value()) return;
  // A later call replaces the event of an earlier one, like a timer set anew.
  const uint64_t version = ++hollow.claim_timer;
  const uint64_t incarnation = incarnation_[node];
  events_.At(*next, [this, node, incarnation, version] {
    if (!IsUp(node, incarnation) || nodes_[node]->claim_timer != version) return;
    PumpClaims(node);
  });
}

void Fleet::SendBatch(size_t node, const std::vector<ClaimRequest>& batch) {
  CountPlatformCall();
  const uint64_t incarnation = incarnation_[node];
  std::vector<ClaimRecord> holders;
  for (const ClaimRequest& claim : batch) holders.push_back(claim.record);
  const bool out = platform_out_;
  events_.After(out ? kPlatformTimeout : kPlatformLatency,
                [this, node, incarnation, out, holders = std::move(holders)] {
                  if (!IsUp(node, incarnation)) return;
                  if (out) {
                    nodes_[node]->claims.OnFailure(events_.Time());
                  } else {
                    DeliverClaims(nodes_[node]->claims.OnReply(holders));
                  }
                  PumpClaims(node);
                });
}

void Fleet::DeliverClaims(const std::vector<ClaimResult>& results) {
  for (const ClaimResult& result : results) {
    const auto found = claimants_.find(result.ticket);
    if (found == claimants_.end()) continue;
    const RequestPtr request = found->second;
    claimants_.erase(found);
    EndClaim(request, result.verdict == ClaimVerdict::kWon);
  }
}

void Fleet::EndClaim(const RequestPtr& request, bool won) {
  if (!IsUp(request->node) || request->done) return;
  if (won) {
    request->claimed = true;
    StartOnEngine(request);
    return;
  }
  ReleaseSlot(request, SlotEnd::kCancelled, {.started = false});
  Fail(request, "platform_unavailable");
}

}  // namespace cartsail::emulator
