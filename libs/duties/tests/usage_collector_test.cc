// Tests the sum of counts that nodes report repeatedly, in parts and out of order.
#include "cartsail/duties/usage_collector.h"

#include "cartsail/duties/usage_ledger.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr WindowNumber kWindow = 40;

UsageShare ShareOf(TenantCounts counts, int64_t requests, bool closed) {
  UsageShare share;
  share.window = kWindow;
  share.closed = closed;
  share.requests = requests;
  share.counts = std::move(counts);
  return share;
}

Test(usage_collector, counts_told_twice_or_late_count_once) {
  UsageCollector collector;
  collector.Merge({"a", 1}, ShareOf({{"x", 5}}, 5, false));
  collector.Merge({"a", 1}, ShareOf({{"x", 9}}, 9, true));
  collector.Merge({"a", 1}, ShareOf({{"x", 5}}, 5, false));
  collector.Merge({"b", 1}, ShareOf({{"x", 2}, {"y", 1}}, 3, true));
  cr_assert(collector.Total(kWindow) == TenantCounts({{"x", 11}, {"y", 1}}));
}

Test(usage_collector, a_node_that_was_restarted_adds_to_what_it_told_before) {
  UsageCollector collector;
  collector.Merge({"a", 1}, ShareOf({{"x", 5}}, 5, false));
  collector.Merge({"a", 2}, ShareOf({{"x", 3}}, 3, true));
  cr_assert(collector.Total(kWindow) == TenantCounts({{"x", 8}}));
}

Test(usage_collector, a_window_is_whole_when_all_its_messages_are_there) {
  UsageCollector collector;
  const UsageSource source{"a", 1};
  collector.Merge(source, ShareOf({{"x", 4}}, 7, true));
  cr_assert(!collector.HasCompleteCounts(source, kWindow));
  cr_assert(collector.ReportingHosts(kWindow).contains("a"));
  collector.Merge(source, ShareOf({{"y", 3}}, 7, true));
  cr_assert(collector.HasCompleteCounts(source, kWindow));
  cr_assert(collector.CompleteHosts(kWindow).contains("a"));
}

Test(usage_collector, a_node_without_requests_is_whole_once_it_says_so) {
  UsageCollector collector;
  collector.Merge({"a", 1}, ShareOf({}, 0, false));
  cr_assert(!collector.HasCompleteCounts({"a", 1}, kWindow));
  collector.Merge({"a", 1}, ShareOf({}, 0, true));
  cr_assert(collector.HasCompleteCounts({"a", 1}, kWindow));
}

Test(usage_ledger, requests_count_in_their_window_and_old_windows_go) {
  UsageLedger ledger;
  ledger.Note("x", 40);
  ledger.Note("x", 40);
  ledger.Note("x", 41);
  cr_assert(ledger.Of(40) == TenantCounts({{"x", 2}}));
  ledger.ForgetBefore(41);
  cr_assert(ledger.Of(40).empty());
  cr_assert(ledger.Of(41) == TenantCounts({{"x", 1}}));
}

Test(usage_window, windows_are_numbered_from_1970) {
  const UsageSchedule schedule{std::chrono::milliseconds(5000), std::chrono::milliseconds(10000)};
  cr_assert(WindowAt(WallTime(1'767'225'600'000), schedule) == 353445120);
  cr_assert(EndOf(353445120, schedule) == WallTime(1'767'225'605'000));
}

}  // namespace
}  // namespace cartsail
