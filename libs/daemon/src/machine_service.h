// Keeps the machine list current: relays read it from the platform, the others take it from peers
// when a heartbeat names a newer version. Control thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <random>
#include <string>

#include "cartsail/daemon/options.h"
#include "cartsail/peer/peer_network.h"
#include "cartsail/store/machine_list.h"

namespace cartsail {

class MachineService {
 public:
  // `is_relay` tells whether this node reads from the platform regularly.
  MachineService(boost::asio::io_context& context, const NodeOptions& options,
                 std::function<bool()> is_relay,
                 std::function<void(const std::vector<Machine>&)> on_changed);

  void SetNetwork(PeerNetwork* network) { network_ = network; }
  void Start();

  void OnPeerVersion(const std::string& address, int64_t version);
  MachineListText Text() const;
  int64_t Version() const { return list_.version; }
  TimePoint LastPlatformContact() const { return last_contact_; }

 private:
  boost::asio::awaitable<void> Run();
  void Apply(MachineList list);
  Duration NextPoll();

  boost::asio::io_context& context_;
  const NodeOptions& options_;
  std::function<bool()> is_relay_;
  std::function<void(const std::vector<Machine>&)> on_changed_;
  PeerNetwork* network_ = nullptr;
  std::mt19937_64 random_{std::random_device{}()};
  MachineList list_;
  bool fetching_ = false;
  TimePoint last_contact_{};
};

}  // namespace cartsail
