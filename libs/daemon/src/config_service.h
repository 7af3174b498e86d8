// Keeps this node's configuration current. A few nodes per zone watch the platform; the others take
// newer revisions from peers, whose heartbeats name the revision in force. Revisions are applied
// strictly upward. Runs on the control thread; Current() may be called from any thread.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "cartsail/config/snapshot.h"
#include "cartsail/daemon/options.h"
#include "cartsail/membership/member_table.h"
#include "cartsail/peer/peer_network.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

// The role, in rendezvous order, of the nodes that watch the platform for their zone.
inline constexpr std::string_view kRelayRole = "relay";

class ConfigService {
 public:
  ConfigService(boost::asio::io_context& context, const NodeOptions& options, KeyValueStore& store,
                MemberTable& members, std::function<void(const ConfigSnapshot&)> on_applied);

  void SetNetwork(PeerNetwork* network) { network_ = network; }
  void Start();

  ConfigSnapshotPtr Current() const { return current_.load(); }

  // A peer has `revision` in force: fetches it when it is newer than this node's.
  void OnPeerRevision(const std::string& address, int64_t revision);

  // When the platform last answered; the epoch before it ever did.
  TimePoint LastPlatformContact() const { return last_contact_; }

  // True if this node is one of the zone's relays: it watches the platform.
  bool IsRelay() const;

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<absl::Status> Refresh();
  boost::asio::awaitable<absl::Status> RefreshIfHeadMoved();
  boost::asio::awaitable<absl::Status> WatchOnce();
  boost::asio::awaitable<void> Sleep(Duration duration);
  void OnWatchEvents(const std::vector<WatchEvent>& events);
  void Apply(const ConfigDelta& delta, std::string_view source);
  Duration Jittered(Duration duration);

  boost::asio::io_context& context_;
  const NodeOptions& options_;
  KeyValueStore& store_;
  MemberTable& members_;
  PeerNetwork* network_ = nullptr;
  std::function<void(const ConfigSnapshot&)> on_applied_;
  std::atomic<ConfigSnapshotPtr> current_;
  std::mt19937_64 random_{std::random_device{}()};
  std::vector<BranchDocument> watched_branches_;
  int64_t store_revision_ = 0;  // of the last complete read
  bool refresh_needed_ = false;
  bool fetching_ = false;
  TimePoint last_contact_{};
};

}  // namespace cartsail
