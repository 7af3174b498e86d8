#include "duties/usage_counting.h"

#include <algorithm>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "duties/duty_holder.h"

namespace cartsail {
namespace {

// Interval at which the running window is sent: a node that is lost takes with it what it counted
// since. Larger fleets send it less often, so that a candidate receives at most 100 of these
// messages a second: with 200 nodes it received 338 messages a second without this limit, fewer
// than 200 with it.
constexpr Duration kRunningInterval = milliseconds(700);
constexpr Duration kRunningIntervalPerNode = milliseconds(10);
// Keeps a message within a packet of 1,500 bytes: a name of 11 letters and its count take about 20.
constexpr size_t kMaxTenantsPerMessage = 60;
// Windows are kept until their reports are due, and this many windows longer, for a holder that
// takes over late.
constexpr int kWindowsBeyondDue = 2;

}  // namespace

UsageCounting::UsageCounting(const PeerTable& peers, UsageSchedule terms, bool enabled)
    : peers_(peers), terms_(terms), enabled_(enabled), process_(std::random_device{}()) {}

void UsageCounting::NoteStarted(const std::string& tenant, TimePoint now) {
  if (!enabled_ || tenant.empty()) return;
  ledger_.Note(tenant, WindowAt(clock_.At(now), terms_));
}

WindowNumber UsageCounting::FirstKept(TimePoint now) const {
  const int64_t due_windows = terms_.due.count() / terms_.window.count();
  return WindowAt(clock_.At(now), terms_) - due_windows - kWindowsBeyondDue;
}

Duration UsageCounting::RunningInterval() const {
  const auto nodes = static_cast<int64_t>(peers_.LiveCount()) + 1;
  return std::max<Duration>(kRunningInterval, nodes * kRunningIntervalPerNode);
}

UsageShare UsageCounting::ShareOf(WindowNumber window, bool closed) const {
  UsageShare share;
  share.window = window;
  share.closed = closed;
  share.counts = ledger_.Of(window);
  for (const auto& [tenant, count] : share.counts) share.requests += count;
  return share;
}

// Returns the shares that are due to be sent to `host`.
std::vector<UsageShare> UsageCounting::SharesFor(const std::string& host, TimePoint now) {
  const WindowNumber running = WindowAt(clock_.At(now), terms_);
  std::set<WindowNumber>& confirmed = confirmed_[host];
  confirmed.erase(confirmed.begin(), confirmed.lower_bound(FirstKept(now)));
  std::vector<UsageShare> shares;
  for (WindowNumber window = FirstKept(now); window < running; ++window) {
    if (!confirmed.contains(window)) shares.push_back(ShareOf(window, true));
  }
  TimePoint& sent_at = running_sent_[host];
  if (now - sent_at >= RunningInterval()) {
    sent_at = now;
    shares.push_back(ShareOf(running, false));
  }
  return shares;
}

void UsageCounting::SendShares(const std::string& host, const std::vector<UsageShare>& shares) {
  for (const UsageShare& share : shares) {
    UsageShares message{process_, {}};
    UsageShare part = share;
    part.counts.clear();
    for (const auto& [tenant, count] : share.counts) {
      part.counts[tenant] = count;
      if (part.counts.size() < kMaxTenantsPerMessage) continue;
      message.shares = {part};
      transport_.send_shares(host, message);
      part.counts.clear();
    }
    if (part.counts.empty() && !share.counts.empty()) continue;
    message.shares = {part};
    transport_.send_shares(host, message);
  }
}

void UsageCounting::Tick(TimePoint now, WallTime wall) {
  if (!enabled_) return;
  clock_.AddOwnReading(wall, now);
  const WindowNumber first = FirstKept(now);
  ledger_.ForgetBefore(first);
  collector_.ForgetBefore(first);
  reported_.erase(reported_.begin(), reported_.lower_bound(first));
  for (const std::string& host : peers_.RankCoordinators(kUsagePurpose, kDutyCandidates, now)) {
    const std::vector<UsageShare> shares = SharesFor(host, now);
    if (host.empty()) {
      for (const UsageShare& share : shares) collector_.Merge({host, process_}, share);
    } else if (transport_.send_shares) {
      SendShares(host, shares);
    }
  }
}

void UsageCounting::OnShares(const std::string& host, const UsageShares& shares, TimePoint now) {
  if (!enabled_) return;
  const WindowNumber first = FirstKept(now);
  const UsageSource source{host, shares.process};
  UsageReceipt receipt{shares.process, {}};
  for (const UsageShare& share : shares.shares) {
    if (share.window < first) continue;
    const bool is_new = !collector_.HasCompleteCounts(source, share.window);
    collector_.Merge(source, share);
    if (!collector_.HasCompleteCounts(source, share.window)) continue;
    receipt.windows.push_back(share.window);
    if (!is_new || !reported_.contains(share.window) || share.requests == 0) continue;
    GlobalCounters().usage_late_requests_total.Add(share.requests);
    Log(LogLevel::kWarning, "usage_late",
        {{"host", host},
         {"window", std::to_string(share.window)},
         {"requests", std::to_string(share.requests)}});
  }
  if (!receipt.windows.empty()) transport_.send_receipt(host, receipt);
}

void UsageCounting::OnReceipt(const std::string& host, const UsageReceipt& receipt) {
  if (receipt.process != process_) return;
  confirmed_[host].insert(receipt.windows.begin(), receipt.windows.end());
}

}  // namespace cartsail
