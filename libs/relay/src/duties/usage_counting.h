// Counts the requests that this node has had run, by tenant and window, tells the counts to the
// nodes that may report them, and keeps what other nodes tell it. One thread.
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

// The order of the nodes that may report usage.
inline constexpr char kUsagePurpose[] = "usage";

class UsageCounting {
 public:
  struct Transport {
    std::function<void(const std::string& host, const UsageShares& shares)> send_shares;
    std::function<void(const std::string& host, const UsageReceipt& receipt)> send_receipt;
  };

  // Without `enabled` nothing is counted or sent.
  UsageCounting(const PeerTable& peers, UsageTerms terms, bool enabled);

  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  // A request of `tenant` began to run.
  void NoteStarted(const std::string& tenant, TimePoint now);

  // Clocks of the fleet.
  FleetClock& Clock() { return clock_; }

  // To be called each kTick: tells others what they have not got. `wall`: of this node's clock.
  void Tick(TimePoint now, WallTime wall);
  static constexpr Duration kTick = milliseconds(250);

  void OnShares(const std::string& host, const UsageShares& shares, TimePoint now);
  void OnReceipt(const std::string& host, const UsageReceipt& receipt);

  // What all nodes have counted, as far as this one knows.
  const UsageCollector& Collected() const { return collector_; }

  // The first window whose counts are still kept.
  WindowNumber FirstKept(TimePoint now) const;

  // Counts of this window came after it was reported.
  void NoteReported(WindowNumber window) { reported_.insert(window); }

 private:
  std::vector<UsageShare> SharesFor(const std::string& host, TimePoint now);
  Duration RunningInterval() const;
  UsageShare ShareOf(WindowNumber window, bool closed) const;
  void SendShares(const std::string& host, const std::vector<UsageShare>& shares);

  const PeerTable& peers_;
  UsageTerms terms_;
  bool enabled_;
  Transport transport_;
  uint32_t process_;
  FleetClock clock_;
  UsageLedger ledger_;
  UsageCollector collector_;
  std::map<std::string, std::set<WindowNumber>> received_;  // whole windows, by host told
  std::map<std::string, TimePoint> running_told_;           // the running window, by host told
  std::set<WindowNumber> reported_;
};

}  // namespace cartsail
