// Calls between nodes: Cap'n Proto two-party RPC over TCP, on the control thread's io_context.
// Everything here runs on that one thread.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/peer/messages.h"

namespace cartsail {

// What other nodes ask of this one. `reply` functions may be called later, once.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void OnAcquire(AcquireRequest request, std::function<void(AcquireReply)> reply) = 0;
  virtual void OnCancel(const std::string& engine, RequestId id) = 0;
  virtual QueueDigest OnRelease(const std::string& engine, RequestId id,
                                const ServiceReport& report) = 0;
  virtual void OnHeartbeat(const Heartbeat& heartbeat) = 0;
  virtual ConfigDelta OnFetchConfig(int64_t since) = 0;
  virtual void OnClaim(ClaimCall call, std::function<void(ClaimResult)> reply) = 0;
  virtual void OnPreempt(const std::string& engine, RequestId id) = 0;
  virtual void OnAnnounce(const std::string& engine, const std::string& node,
                          const std::vector<WorkItem>& running) = 0;
  virtual MachineListText OnFetchMachines() = 0;
};

template <typename T>
using PeerCallback = std::function<void(absl::StatusOr<T>)>;

// Calls to other nodes, addressed by IP:PORT. A call fails with kPeerUnavailable when the node
// cannot be reached or does not answer within the timeout; it may have been carried out.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  // Starts listening. kInvalidArgument when the address cannot be bound.
  virtual absl::Status Start() = 0;

  // Waits for the decision without a timeout; DropNode() ends it.
  virtual void Acquire(const std::string& address, const AcquireRequest& request,
                       PeerCallback<AcquireReply> done) = 0;
  virtual void Cancel(const std::string& address, const std::string& engine, RequestId id) = 0;
  virtual void Release(const std::string& address, const std::string& engine, RequestId id,
                       const ServiceReport& report, PeerCallback<QueueDigest> done) = 0;
  // Skipped while the one before is unanswered.
  virtual void SendHeartbeat(const std::string& address, const Heartbeat& heartbeat) = 0;
  virtual void FetchConfig(const std::string& address, int64_t since,
                           PeerCallback<ConfigDelta> done) = 0;
  virtual void Claim(const std::string& address, const ClaimCall& call,
                     PeerCallback<ClaimResult> done) = 0;
  virtual void Preempt(const std::string& address, const std::string& engine, RequestId id) = 0;
  virtual void Announce(const std::string& address, const std::string& engine,
                        const std::string& node, const std::vector<WorkItem>& running) = 0;

  virtual void FetchMachines(const std::string& address, PeerCallback<MachineListText> done) = 0;

  // Closes the connection to a node and fails its pending calls.
  virtual void DropNode(const std::string& address) = 0;
};

struct PeerNetworkOptions {
  std::string listen_host;
  uint16_t listen_port = 0;
  Duration call_timeout = seconds(1);
};

// `handler` must outlive the network. The calling thread becomes the Cap'n Proto thread.
std::unique_ptr<PeerNetwork> MakePeerNetwork(boost::asio::io_context& context,
                                             PeerNetworkOptions options, PeerHandler& handler);

}  // namespace cartsail
