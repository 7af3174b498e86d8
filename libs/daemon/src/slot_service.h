// Carries out the decisions of the pure scheduler: asks owners over the peer network, answers other
// nodes' asks for the engines owned here, and keeps the two sides together when ownership moves.
// Control thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "cartsail/daemon/options.h"
#include "cartsail/gateway/control_plane.h"
#include "cartsail/membership/member_table.h"
#include "cartsail/peer/peer_network.h"
#include "cartsail/scheduler/entry_scheduler.h"
#include "cartsail/scheduler/owner_table.h"
#include "cartsail/store/machine_list.h"
#include "request_recorder.h"

namespace cartsail {

class SlotService {
 public:
  SlotService(boost::asio::io_context& context, const NodeOptions& options, MemberTable& members);

  // The network is made after its handler, which needs this object.
  void SetNetwork(PeerNetwork* network) { network_ = network; }

  // For this node's own requests.
  void Acquire(SlotRequest request, std::function<void(SlotDecision)> done);
  void Cancel(RequestId id);
  void Release(RequestId id, SlotEnd end, const ServiceReport& report);
  void Adopt(RequestId id, const std::string& engine, const WorkItem& item);
  void EndRequest(const std::string& tenant) { entry_.EndRequest(tenant); }
  std::optional<Endpoint> Locate(const std::string& engine) const;

  // For other nodes, as owner.
  void OnPeerAcquire(AcquireRequest request, std::function<void(AcquireReply)> reply);
  void OnPeerCancel(const std::string& engine, RequestId id);
  QueueDigest OnPeerRelease(const std::string& engine, RequestId id, const ServiceReport& report);
  void OnPeerPreempt(RequestId id);
  void OnPeerAnnounce(const std::string& engine, const std::string& node,
                      const std::vector<WorkItem>& running);
  void OnHeartbeat(const Heartbeat& heartbeat);

  // The machine list or the set of live nodes has changed.
  void SetMachines(const std::vector<Machine>& machines);
  void OnMembershipChanged();
  void OnNodeLost(const std::string& node);
  void SetFleetPolicy(const FleetPolicy& fleet);

  // Every few tens of milliseconds.
  void Tick(TimePoint now);
  // Every few seconds: repeats this node's running grants to the owners, so that a lost message
  // does not hold or free a slot for good.
  void Reconcile(TimePoint now);

  // The recent requests, one JSON object per line.
  std::string RequestLogText() const { return recorder_.Text(); }

  std::vector<EngineDigest> Digests(TimePoint now) const;
  size_t EnginesKnown() const { return engines_.size(); }
  size_t EnginesOwned() const { return owned_.Size(); }

 private:
  struct EngineEntry {
    Machine machine;
    std::string owner;
    bool leaving_told = false;  // the machine list says that it leaves
  };
  // Where an ask went.
  struct AskTarget {
    std::string node;
    std::string engine;
    RequestId id = 0;
  };
  using ReplyKey = std::pair<std::string, RequestId>;  // engine, request

  void Run(EntryActions actions);
  void RunEntry(const EntryAction& action);
  void Ask(const EntryAction& action);
  void DeliverReply(uint64_t ask, AskReply reply);
  void DeliverLater(uint64_t ask, AskReply reply);
  void Withdraw(const EntryAction& action);
  void SendRelease(const std::string& node, const std::string& engine, RequestId id,
                   const ServiceReport& report);
  void ReturnSlot(const EntryAction& action);
  void Finish(RequestId id, SlotDecision decision);
  void Run(OwnerActions actions);
  void RunOwner(const OwnerAction& action);
  void Preempt(RequestId id);
  void AnnounceTo(const std::string& node, const std::string& engine);
  const std::string& OwnerOf(const std::string& engine) const;
  std::string AddressOf(const std::string& node) const;
  EngineQueuePolicy QueuePolicy(const FleetPolicy& fleet) const;

  boost::asio::io_context& context_;
  const NodeOptions& options_;
  MemberTable& members_;
  PeerNetwork* network_ = nullptr;
  EntryScheduler entry_;
  OwnerTable owned_;
  std::map<std::string, EngineEntry> engines_;
  std::unordered_map<RequestId, std::function<void(SlotDecision)>> waiting_;
  std::unordered_map<RequestId, std::function<void()>> preempt_;
  std::unordered_map<uint64_t, AskTarget> asks_;
  std::unordered_map<RequestId, uint64_t> local_asks_;  // asks of this node to itself
  std::map<ReplyKey, std::function<void(AcquireReply)>> remote_asks_;
  RequestRecorder recorder_;
  std::set<std::string> announced_;  // engines announced with grants at the last Reconcile()
};

}  // namespace cartsail
