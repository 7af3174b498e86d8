// Counts the requests of this node that began to run, by tenant and window, sends the counts to the
// nodes that may report usage, and keeps the counts that other nodes send. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/duties/fleet_clock.h"
#include "cartsail/duties/usage_collector.h"
#include "cartsail/duties/usage_ledger.h"
#include "cartsail/duties/usage_window.h"
#include "duties/usage_message.h"
#include "fleet/peer_table.h"

namespace cartsail {

// Purpose by which the nodes that may report usage are ranked.
inline constexpr char kUsagePurpose[] = "usage";

class UsageCounting {
 public:
  struct Transport {
    std::function<void(const std::string& host, const UsageShares& shares)> send_shares;
    std::function<void(const std::string& host, const UsageReceipt& receipt)> send_receipt;
  };

  // When `enabled` is false nothing is counted or sent.
  UsageCounting(const PeerTable& peers, UsageSchedule terms, bool enabled);

  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  // A request of `tenant` has begun to run. Not counted when `tenant` is empty.
  void NoteStarted(const std::string& tenant, TimePoint now);

  // The fleet's time of day, by which windows are numbered.
  FleetClock& Clock() { return clock_; }

  // Must be called every kTick. Sends counts that other nodes have not confirmed. `wall`: the time
  // of day by this node's clock.
  void Tick(TimePoint now, WallTime wall);
  static constexpr Duration kTick = milliseconds(250);

  void OnShares(const std::string& host, const UsageShares& shares, TimePoint now);
  void OnReceipt(const std::string& host, const UsageReceipt& receipt);

  // Counts of all nodes, as far as this node knows them.
  const UsageCollector& Collected() const { return collector_; }

  // Returns the first window whose counts are still kept.
  WindowNumber FirstKept(TimePoint now) const;

  // The window has been reported: counts of it that come from now on are late.
  void NoteReported(WindowNumber window) { reported_.insert(window); }

 private:
  std::vector<UsageShare> SharesFor(const std::string& host, TimePoint now);
  Duration RunningInterval() const;
  UsageShare ShareOf(WindowNumber window, bool closed) const;
  void SendShares(const std::string& host, const std::vector<UsageShare>& shares);

  const PeerTable& peers_;
  UsageSchedule terms_;
  bool enabled_;
  Transport transport_;
  uint32_t process_;
  FleetClock clock_;
  UsageLedger ledger_;
  UsageCollector collector_;
  std::map<std::string, std::set<WindowNumber>> confirmed_;  // by host: windows it has confirmed
  std::map<std::string, TimePoint> running_sent_;            // by host: when last sent
  std::set<WindowNumber> reported_;
};

}  // namespace cartsail
