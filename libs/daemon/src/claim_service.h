// At-most-once claims against the platform. A node passes its claims to the zone's batching node,
// which writes them in groups; when that node does not answer, it writes them itself, which is safe
// because a claim is idempotent per attempt. Control thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/timer.h"
#include "cartsail/claims/claim_batcher.h"
#include "cartsail/membership/member_table.h"
#include "cartsail/peer/peer_network.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

class ClaimService {
 public:
  using Done = std::function<void(ClaimResult)>;

  ClaimService(boost::asio::io_context& context, KeyValueStore& store, MemberTable& members);

  void SetNetwork(PeerNetwork* network) { network_ = network; }
  // The number of zones with nodes, which share the platform's rate.
  void SetZones(int zones) { batcher_.SetInterval(ClaimInterval(zones)); }
  void SetRetention(Duration retention) { retention_ = retention; }

  // Decides a claim within `timeout`, or kUndecided.
  void Claim(const ClaimCall& call, Done done);

  // The same without passing it on: another node's claim, or this one's after a failure.
  void ClaimHere(const ClaimCall& call, Done done);

  // Deletes the record if it names this attempt. Tries for a bounded time, in the background.
  void Withdraw(const std::string& key, const ClaimRecord& record);

 private:
  void Pump();
  void ArmTimer();
  void Deliver(const std::vector<ClaimResult>& results);
  boost::asio::awaitable<void> SendBatch(std::vector<ClaimRequest> batch);
  boost::asio::awaitable<absl::StatusOr<int64_t>> CurrentLease();
  boost::asio::awaitable<void> WithdrawLoop(std::string key, ClaimRecord record);

  boost::asio::io_context& context_;
  KeyValueStore& store_;
  MemberTable& members_;
  PeerNetwork* network_ = nullptr;
  ClaimBatcher batcher_;
  Timer timer_;
  std::unordered_map<uint64_t, Done> done_;
  uint64_t next_ticket_ = 1;
  Duration retention_ = std::chrono::hours(24);
  int64_t lease_ = 0;
  TimePoint lease_renewal_{};
};

}  // namespace cartsail
