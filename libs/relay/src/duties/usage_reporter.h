// Reports the usage of all nodes to the platform while this node holds the reporting duty. Not
// thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cartsail/duties/window_report.h"
#include "cartsail/relay/duty_options.h"
#include "cartsail/relay/duty_platform.h"
#include "cartsail/store/key_value_store.h"
#include "duties/duty_holder.h"
#include "relay_context.h"

namespace cartsail {

class UsageReporter {
 public:
  UsageReporter(RelayContext& context, KeyValueStore& store, DutyPlatform& platform);

  // Starts the reporting, which runs until the process ends.
  void Start();

  // Releases the duty, for a planned shutdown.
  boost::asio::awaitable<void> Stop() { return holder_.Stop(); }

 private:
  std::optional<size_t> Rank() const;
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> TakeOver(FencingToken token);
  void SkipEarlierWindows(TimePoint now);
  void AddDueReports(TimePoint now);
  bool IsComplete(WindowNumber window, TimePoint now) const;
  bool HasEnoughCoverage(WindowNumber window, TimePoint now) const;
  boost::asio::awaitable<void> Advance(WindowNumber window, FencingToken token);
  boost::asio::awaitable<RecordOutcome> Record(WindowNumber window, FencingToken token,
                                               const TenantCounts& counts);
  boost::asio::awaitable<void> Read(WindowNumber window, WindowReport* report);
  boost::asio::awaitable<SendOutcome> Send(WindowNumber window, FencingToken token,
                                           const TenantCounts& counts);
  void Finish(WindowNumber window, const WindowReport& report, FencingToken token);

  boost::asio::io_context& io_;
  KeyValueStore& store_;
  DutyPlatform& platform_;
  UsageCounting& counting_;
  const PeerTable& peers_;
  std::string node_;
  UsageSchedule terms_;
  TimePoint started_;
  bool first_start_;  // of the whole system
  DutyHolder holder_;
  FencingToken token_ = 0;  // under which `reports_` and `finished_` were built; 0: none
  std::map<WindowNumber, WindowReport> reports_;
  std::set<WindowNumber> finished_;
};

}  // namespace cartsail
