#include "duties/usage_reporter.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/duties/usage_record.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kDutyKey[] = "cartsail/duty/usage";
constexpr Duration kPollInterval = milliseconds(200);
// Time that a holder needs from its decision to the platform's answer, retries included, as a
// fraction (1/n) of the time until a report is due.
constexpr int kSendingFraction = 4;
// Number of windows whose records stay in the store, for the next holder.
constexpr WindowNumber kRecordsKept = 8;

}  // namespace

UsageReporter::UsageReporter(RelayContext& context, KeyValueStore& store, DutyPlatform& platform)
    : io_(context.io),
      store_(store),
      platform_(platform),
      counting_(context.usage),
      peers_(context.peers),
      node_(context.options.node_id),
      terms_(context.options.duties.usage),
      started_(Now()),
      first_start_(context.options.first_start),
      holder_(context.io, store, kDutyKey, context.options.duties.lease,
              {context.options.node_id, context.options.first_start, [this] { return Rank(); }}) {}

std::optional<size_t> UsageReporter::Rank() const {
  return OwnRank(peers_.RankCoordinators(kUsagePurpose, kDutyCandidates, Now()));
}

void UsageReporter::Start() {
  holder_.Start();
  asio::co_spawn(io_, Run(), asio::detached);
}

asio::awaitable<void> UsageReporter::Run() {
  Timer timer(io_);
  while (true) {
    timer.expires_after(kPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::optional<FencingToken> token = holder_.MayAct();
    if (!token.has_value()) continue;
    if (*token != token_) co_await TakeOver(*token);
    if (*token != token_) continue;
    AddDueReports(Now());
    std::vector<WindowNumber> windows;
    for (const auto& [window, report] : reports_) windows.push_back(window);
    for (const WindowNumber window : windows) co_await Advance(window, *token);
  }
}

// Records of earlier holders are sent again unchanged: their reports may not have been sent.
asio::awaitable<void> UsageReporter::TakeOver(FencingToken token) {
  RangeRequest request;
  request.key = std::string(kUsageRecordPrefix);
  request.range_end = PrefixEnd(request.key);
  const absl::StatusOr<RangeResult> result = co_await store_.Range(request);
  if (!result.ok()) co_return;
  token_ = token;
  reports_.clear();
  finished_.clear();
  const TimePoint now = Now();
  SkipEarlierWindows(now);
  const WindowNumber first = counting_.FirstKept(now);
  const WindowNumber running = WindowAt(counting_.Clock().At(now), terms_);
  for (const KeyValue& item : result->kvs) {
    const std::optional<WindowNumber> window = UsageRecordWindow(item.key, first, running);
    if (!window.has_value() || finished_.contains(*window)) continue;
    reports_.emplace(*window, WindowReport(DecodeUsageRecord(item.value), true));
  }
}

// Skips windows that were due under an earlier holder or began before the first start of the
// system.
void UsageReporter::SkipEarlierWindows(TimePoint now) {
  const WallTime wall = counting_.Clock().At(now);
  const WallTime process_began = wall - std::chrono::duration_cast<WallTime>(now - started_);
  for (WindowNumber window = counting_.FirstKept(now); window < WindowAt(wall, terms_); ++window) {
    const bool was_due = wall >= EndOf(window, terms_) + terms_.due;
    const bool is_before = first_start_ && EndOf(window - 1, terms_) < process_began;
    if (was_due || is_before) finished_.insert(window);
  }
}

// True when at least half of the live nodes have counted since the window began. The counts of a
// node from before its restart are known to others up to some tenths of a second, but not when most
// nodes were lost at once.
bool UsageReporter::HasEnoughCoverage(WindowNumber window, TimePoint now) const {
  const Duration since_begin = counting_.Clock().At(now) - EndOf(window - 1, terms_);
  size_t before = now - started_ >= since_begin ? 1 : 0;
  size_t live = 1;
  for (const auto& [host, peer] : peers_.Peers()) {
    if (!PeerTable::IsLive(peer)) continue;
    ++live;
    if (peer.state.uptime + (now - peer.noted) >= since_begin) ++before;
  }
  return 2 * before >= live;
}

// True when all live nodes, and the lost nodes that have sent counts of the window, have sent all
// their counts.
bool UsageReporter::IsComplete(WindowNumber window, TimePoint now) const {
  const std::set<std::string> complete = counting_.Collected().CompleteHosts(window);
  if (!complete.contains("")) return false;
  for (const LivePeer& peer : peers_.LivePeers()) {
    if (!complete.contains(peer.host)) return false;
  }
  for (const std::string& host : counting_.Collected().ReportingHosts(window)) {
    if (!complete.contains(host)) return false;
  }
  return true;
}

void UsageReporter::AddDueReports(TimePoint now) {
  const WallTime wall = counting_.Clock().At(now);
  const WindowNumber running = WindowAt(wall, terms_);
  const WindowNumber first = counting_.FirstKept(now);
  finished_.erase(finished_.begin(), finished_.lower_bound(first));
  for (WindowNumber window = first; window < running; ++window) {
    if (finished_.contains(window) || reports_.contains(window)) continue;
    const WallTime end = EndOf(window, terms_);
    const bool is_urgent = wall >= end + terms_.due - terms_.due / kSendingFraction;
    if (!is_urgent && !IsComplete(window, now)) continue;
    const bool is_over = wall >= end + terms_.due;
    if (is_over || !HasEnoughCoverage(window, now)) {
      finished_.insert(window);
      GlobalCounters().usage_windows_missed_total.Add();
      Log(LogLevel::kWarning, "usage_not_reported",
          {{"window", std::to_string(window)}, {"why", is_over ? "too_late" : "nodes_restarted"}});
      continue;
    }
    reports_.emplace(window, WindowReport(counting_.Collected().Total(window), false));
  }
}

asio::awaitable<void> UsageReporter::Advance(WindowNumber window, FencingToken token) {
  while (holder_.MayAct() == token) {
    const auto entry = reports_.find(window);
    if (entry == reports_.end()) co_return;
    WindowReport& report = entry->second;
    const WindowReport::Step step = report.Next();
    if (step == WindowReport::Step::kRecord) {
      report.OnRecorded(co_await Record(window, token, report.Counts()));
    } else if (step == WindowReport::Step::kRead) {
      co_await Read(window, &report);
      if (report.Next() == WindowReport::Step::kRead) co_return;  // the store did not answer
    } else if (step == WindowReport::Step::kSend) {
      const SendOutcome outcome = co_await Send(window, token, report.Counts());
      report.OnSent(outcome);
      if (outcome == SendOutcome::kUnknown) co_return;  // sent again after kPollInterval
    } else {
      Finish(window, report, token);
      co_return;
    }
  }
}

asio::awaitable<RecordOutcome> UsageReporter::Record(WindowNumber window, FencingToken token,
                                                     const TenantCounts& counts) {
  TxnRequest request;
  Compare held;
  held.key = holder_.Key();
  held.equals = token;
  Compare absent;
  absent.key = UsageRecordKey(window);
  request.compares = {held, absent};
  Operation put;
  put.kind = Operation::Kind::kPut;
  put.put = {UsageRecordKey(window), EncodeUsageRecord(counts), 0};
  Operation remove;
  remove.kind = Operation::Kind::kDelete;
  remove.range.key = UsageRecordKey(window - kRecordsKept);
  request.success = {put, remove};
  const absl::StatusOr<TxnResult> result = co_await store_.Txn(request);
  if (!result.ok()) co_return RecordOutcome::kUnknown;
  co_return result->succeeded ? RecordOutcome::kWritten : RecordOutcome::kConditionFailed;
}

asio::awaitable<void> UsageReporter::Read(WindowNumber window, WindowReport* report) {
  const std::optional<bool> holds = co_await holder_.Confirm();
  if (!holds.has_value()) co_return;
  RangeRequest request;
  request.key = UsageRecordKey(window);
  const absl::StatusOr<RangeResult> result = co_await store_.Range(request);
  if (!result.ok()) co_return;
  std::optional<TenantCounts> recorded;
  for (const KeyValue& item : result->kvs) {
    if (item.key == request.key) recorded = DecodeUsageRecord(item.value);
  }
  report->OnRead(std::move(recorded), *holds);
}

asio::awaitable<SendOutcome> UsageReporter::Send(WindowNumber window, FencingToken token,
                                                 const TenantCounts& counts) {
  holder_.NoteAct();
  const DutyCredentials credentials{node_, token};
  const UsageReport report{window, counts};
  const absl::Status status = co_await platform_.ReportUsage(credentials, report);
  holder_.NoteAct();
  if (status.ok()) co_return SendOutcome::kAccepted;
  if (KindOf(status) != ErrorKind::kConflict) co_return SendOutcome::kUnknown;
  // The platform has seen a greater token. The record shows that too, unless the greater token is
  // this node's own later one.
  (void)co_await holder_.Confirm();
  co_return SendOutcome::kFenced;
}

void UsageReporter::Finish(WindowNumber window, const WindowReport& report, FencingToken token) {
  const bool is_done = report.Next() == WindowReport::Step::kDone;
  int64_t requests = 0;
  for (const auto& [tenant, count] : report.Counts()) requests += count;
  const WallTime age = counting_.Clock().At(Now()) - EndOf(window, terms_);
  Counters& counters = GlobalCounters();
  (is_done ? counters.usage_windows_reported_total : counters.usage_windows_missed_total).Add();
  Log(is_done ? LogLevel::kInfo : LogLevel::kWarning, "usage_reported",
      {{"window", std::to_string(window)},
       {"accepted", is_done ? "true" : "false"},
       {"token", std::to_string(token)},
       {"tenants", std::to_string(report.Counts().size())},
       {"requests", std::to_string(requests)},
       {"after_ms", std::to_string(age.count())}});
  counting_.NoteReported(window);
  finished_.insert(window);
  reports_.erase(window);
}

}  // namespace cartsail
