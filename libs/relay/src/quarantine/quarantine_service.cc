#include "quarantine/quarantine_service.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Pauses before each transmission of a strike: with 5 in 100 datagrams lost, one in 8,000 strikes
// misses a counting node.
constexpr std::array<Duration, 3> kStrikeSendPauses = {milliseconds(0), milliseconds(150),
                                                       milliseconds(450)};
// The same for quarantine notices. Nodes that miss all transmissions learn of the quarantine with
// the next change of the catalog.
constexpr std::array<Duration, 3> kNoticeSendPauses = {milliseconds(0), milliseconds(250),
                                                       milliseconds(750)};
// A back end that has asked this node to back off is probed when the back-off is over, but no later
// than BackendExitDetector keeps the suspicion.
constexpr Duration kMaxProbeDelay = seconds(10);
// A terminating process may close its connections before it stops listening, and its host accepts
// connections for it until then: some milliseconds, more on a busy machine. A new connection is
// checked after each of these pauses, 0.6 s in all; if it was closed, another one is tried. With
// engines that listened for 10 ms longer, one request terminated 30 of them, and 10 of its attempts
// came late; at most 3 come late with these checks.
constexpr std::array<Duration, 7> kOpenCheckPauses = {
    milliseconds(5),  milliseconds(10),  milliseconds(20), milliseconds(40),
    milliseconds(80), milliseconds(160), milliseconds(320)};
// From back ends that terminate at one moment to the verdict. Completions at other nodes show in
// this time that a popular request is innocent; without it a polling request that was in flight at
// all of these back ends was refused everywhere for 600 s, in 4 of 4 runs.
constexpr Duration kSuspicionPeriod = milliseconds(500);
// Limit for back ends that accept connections and close them unused.
constexpr int kMaxProbeConnections = 3;
// A request that a back end has completed at this node within this time gets no strike when another
// back end terminates: of many copies of a popular request, some run wherever a back end
// terminates.
constexpr Duration kExonerationTime = seconds(10);
// Why a quarantine was lifted: another one explains its exits.
constexpr std::string_view kExplained = "explained";

QuarantineNotice LiftedNotice(RequestFingerprint request) {
  QuarantineNotice notice;
  notice.request = request;
  notice.is_lifted = true;
  return notice;
}

// True if `larger` has each of `smaller`, and more; both in ascending order.
bool IsPartOf(const std::vector<BackendKey>& smaller, const std::vector<BackendKey>& larger) {
  return smaller.size() < larger.size() &&
         std::includes(larger.begin(), larger.end(), smaller.begin(), smaller.end());
}

bool IsAffected(const QuarantinedRequest& quarantined, const RequestTraits& traits) {
  if (quarantined.request == traits.request) return true;
  return !quarantined.parts.empty() && AreAmong(quarantined.parts, traits.shared.parts);
}

}  // namespace

QuarantineService::QuarantineService(asio::io_context& io, std::string host,
                                     Duration connect_timeout, const Dispatcher& dispatcher,
                                     const PeerTable& peers, UpstreamPool& pool,
                                     ExaminePath examine)
    : io_(io),
      host_(std::move(host)),
      connect_timeout_(connect_timeout),
      dispatcher_(dispatcher),
      peers_(peers),
      pool_(pool),
      examine_path_(std::move(examine)),
      parts_(io, host_, peers,
             {[this](const SuspectedGroup& group) { DecideGroup(group, Now()); },
              [this](RequestFingerprint group, std::string_view why) {
                LiftEverywhere(group, why, Now());
              },
              [this](PartFingerprint part) { ExonerateInGroups(part, Now()); },
              [this] { return ExitsByRequests(); }}) {}

std::vector<std::vector<BackendKey>> QuarantineService::ExitsByRequests() const {
  std::vector<std::vector<BackendKey>> exits;
  for (QuarantinedRequest& entry : list_.All()) {
    if (!entry.parts.empty()) continue;
    std::sort(entry.backends.begin(), entry.backends.end());
    exits.push_back(std::move(entry.backends));
  }
  return exits;
}

void QuarantineService::SetTransport(Transport transport) {
  transport_ = std::move(transport);
  parts_.SetTransport({transport_.send_part_strikes, transport_.send_part_completions,
                       transport_.broadcast_part_inquiry});
}

std::optional<Duration> QuarantineService::LeftFor(const RequestTraits& traits,
                                                   TimePoint now) const {
  const std::optional<QuarantinedRequest> reason = ReasonFor(traits, now);
  if (!reason.has_value()) return std::nullopt;
  return reason->until - now;
}

std::optional<QuarantinedRequest> QuarantineService::ReasonFor(const RequestTraits& traits,
                                                               TimePoint now) const {
  if (list_.Size() == 0) return std::nullopt;
  const std::vector<QuarantinedRequest> matches = list_.MatchesOf(traits, now);
  const auto ends_before = [](const auto& left, const auto& right) {
    return left.until < right.until;
  };
  const auto last = std::max_element(matches.begin(), matches.end(), ends_before);
  if (last == matches.end()) return std::nullopt;
  return *last;
}

bool QuarantineService::TakeTrial(const RequestTraits& traits, TimePoint now) {
  const std::vector<QuarantinedRequest> matches = list_.MatchesOf(traits, now);
  if (matches.size() != 1) return false;
  const QuarantinedRequest& reason = matches.front();
  if (!reason.parts.empty()) return parts_.TakeTrial(reason, traits.shared, now);
  if (!simultaneous_.contains(reason.request)) return false;
  if (CountingNodesOf(reason.request).front() != host_) return false;
  if (!trials_.Take(reason.request, now)) return false;
  Log(LogLevel::kWarning, "quarantine_trial", {{"fingerprint", FingerprintText(reason.request)}});
  return true;
}

void QuarantineService::ReturnTrial(const RequestTraits& traits, TimePoint now) {
  for (const QuarantinedRequest& reason : list_.MatchesOf(traits, now)) {
    if (reason.parts.empty()) {
      trials_.Return(reason.request, now);
    } else {
      parts_.ReturnTrial(reason.request, now);
    }
  }
}

QuarantineService::WatchId QuarantineService::Watch(const RequestTraits& traits,
                                                    std::function<void()> on_quarantined) {
  const WatchId watch = next_watch_++;
  watches_[watch] = {traits, std::move(on_quarantined)};
  return watch;
}

void QuarantineService::Unwatch(WatchId watch) { watches_.erase(watch); }

void QuarantineService::NoteCompleted(const RequestTraits& traits, TimePoint now) {
  runs_.Note(traits.request, now);
  parts_.NoteCompleted(traits.shared, now);
  for (const QuarantinedRequest& quarantined : list_.MatchesOf(traits, now)) {
    LiftEverywhere(quarantined.request, "ran", now);
    if (quarantined.parts.empty()) continue;
    parts_.ReportCompleted({traits.shared.service, quarantined.parts}, now);
  }
}

// True when the back end is listed and does not announce its end: back ends that leave terminate
// once they are done.
bool QuarantineService::IsReady(BackendKey backend) const {
  const Backend* known = dispatcher_.Registry().FindByKey(backend);
  return known != nullptr && known->state == BackendState::kReady &&
         !known->missing_until.has_value();
}

void QuarantineService::NoteBroken(const RequestTraits& traits, const Backend& backend,
                                   TimePoint now) {
  if (!IsReady(backend.key)) return;
  ReportStrikes(ends_.NoteBroken({traits.request, backend.key, now, traits.shared}), now);
  if (ends_.TakeProbe(backend.key, now)) asio::co_spawn(io_, Probe(backend), asio::detached);
}

// A process that has terminated refuses connections; the connection to a live one is pooled for the
// next request.
asio::awaitable<void> QuarantineService::Probe(Backend backend) {
  const std::optional<Duration> backoff = dispatcher_.Registry().BackoffLeft(backend.key, Now());
  if (backoff.has_value()) co_await Pause(std::min(*backoff, kMaxProbeDelay));
  for (int i = 0; i < kMaxProbeConnections; ++i) {
    // If it may not be contacted, only the removal of its entry can show that it has terminated.
    if (!dispatcher_.Registry().MayContact(backend.key, Now())) co_return;
    const std::shared_ptr<UpstreamConnection> connection = pool_.MakeNew();
    GlobalCounters().backend_connects_total.Add();
    const ConnectResult result =
        co_await connection->Connect(backend.address, Now() + connect_timeout_);
    if (result == ConnectResult::kRefused) co_await ExamineRefusal(backend);
    if (result != ConnectResult::kConnected) co_return;
    if (co_await StaysOpen(*connection)) {
      ends_.NoteListening(backend.key);
      pool_.Keep(backend.key, connection, Now());
      co_return;
    }
  }
}

// The connection may have been refused to this node alone, by a cut path.
asio::awaitable<void> QuarantineService::ExamineRefusal(Backend backend) {
  const PathVerdict verdict = co_await examine_path_(backend);
  if (verdict == PathVerdict::kEnded) NoteEnded(backend.key, Now());
  if (verdict == PathVerdict::kCut) ends_.NoteListening(backend.key);
}

asio::awaitable<bool> QuarantineService::StaysOpen(UpstreamConnection& connection) {
  for (const Duration pause : kOpenCheckPauses) {
    co_await Pause(pause);
    if (!connection.IsQuiet()) co_return false;
  }
  co_return true;
}

void QuarantineService::NoteEnded(BackendKey backend, TimePoint now) {
  ReportStrikes(ends_.NoteEnded(backend, now), now);
}

void QuarantineService::NoteReplaced(BackendKey backend, TimePoint now) {
  ReportStrikes(ends_.NoteReplaced(backend, now), now);
}

void QuarantineService::ReportStrikes(const std::vector<Strike>& strikes, TimePoint now) {
  if (strikes.empty()) return;
  std::vector<Strike> counted;
  for (const Strike& strike : strikes) {
    if (!runs_.CompletedSince(strike.request, now - kExonerationTime)) counted.push_back(strike);
  }
  GlobalCounters().strikes_total.Add(static_cast<int64_t>(counted.size()));
  const Backend* backend = dispatcher_.Registry().FindByKey(strikes.front().backend);
  Log(LogLevel::kWarning, "backend_ended",
      {{"backend", backend == nullptr ? "" : backend->id},
       {"backend_key", std::to_string(strikes.front().backend)},
       {"requests", std::to_string(strikes.size())},
       {"strikes", std::to_string(counted.size())},
       {"first", FingerprintText(strikes.front().request)}});
  parts_.ReportExits(strikes);
  // Counted at this node too, in case it reaches no other one.
  for (const Strike& strike : counted) Count(strike);
  if (transport_.send_strikes && !counted.empty()) {
    asio::co_spawn(io_, SendStrikes(std::move(counted)), asio::detached);
  }
}

std::vector<std::string> QuarantineService::CountingNodesOf(RequestFingerprint request) const {
  std::vector<std::string> hosts = {host_};
  for (const LivePeer& peer : peers_.LivePeers()) hosts.push_back(peer.host);
  return StrikeLedgerNodesOf(request, std::move(hosts));
}

asio::awaitable<void> QuarantineService::SendStrikes(std::vector<Strike> strikes) {
  for (const Duration pause : kStrikeSendPauses) {
    if (pause > Duration(0)) co_await Pause(pause);
    std::map<std::string, StrikeReport> reports;  // by host
    for (const Strike& strike : strikes) {
      for (const std::string& host : CountingNodesOf(strike.request)) {
        if (host != host_) reports[host].strikes.push_back(strike);
      }
    }
    for (const auto& [host, report] : reports) transport_.send_strikes(host, report);
  }
}

void QuarantineService::OnStrikes(const StrikeReport& report) {
  for (const Strike& strike : report.strikes) Count(strike);
}

void QuarantineService::Count(const Strike& strike) {
  const std::optional<Verdict> verdict = ledger_.Note(strike);
  if (!verdict.has_value()) return;
  if (verdict->is_simultaneous) {
    Suspect(*verdict, Now());
  } else {
    Decide(*verdict, Now());
  }
}

// All requests that were in flight at these back ends have the same strikes; a request that
// completes elsewhere meanwhile is innocent. A strike at another moment decides at once.
void QuarantineService::Suspect(const Verdict& verdict, TimePoint now) {
  if (!suspected_.insert(verdict.request).second) return;
  if (IsExonerated(verdict.request, verdict.first_strike)) {
    suspected_.erase(verdict.request);
    return LiftEverywhere(verdict.request, "ran_before", now);
  }
  QuarantineNotice question;
  question.request = verdict.request;
  question.first_strike_age = now - verdict.first_strike;
  if (transport_.broadcast_notice) asio::co_spawn(io_, BroadcastNotice(question), asio::detached);
  asio::co_spawn(io_, DecideLater(verdict.request), asio::detached);
}

asio::awaitable<void> QuarantineService::DecideLater(RequestFingerprint request) {
  co_await Pause(kSuspicionPeriod);
  suspected_.erase(request);
  const std::optional<Verdict> verdict = ledger_.VerdictOn(request);
  if (!verdict.has_value() || list_.RemainingTime(request, Now()).has_value()) co_return;
  if (verdict->is_simultaneous) simultaneous_.insert(request);
  Decide(*verdict, Now());
}

// A popular request is in flight everywhere, and completes all the time. Nodes that have just
// started have not seen that, and hold the exits of several causes against it.
bool QuarantineService::IsExonerated(RequestFingerprint request, TimePoint first_strike) const {
  return runs_.CompletedSince(request, first_strike - kPartExonerationTime);
}

void QuarantineService::Decide(const Verdict& verdict, TimePoint now) {
  if (IsExonerated(verdict.request, verdict.first_strike)) {
    return LiftEverywhere(verdict.request, "ran_before", now);
  }
  const QuarantinedRequest quarantined = {
      verdict.request, now + kQuarantineTime, {}, verdict.backends};
  if (list_.IsOutdated(quarantined, now)) return;
  ledger_.AttributeExits(verdict.backends, verdict.request, now);
  Quarantine(quarantined, "strikes", now);
  QuarantineNotice notice;
  notice.request = verdict.request;
  notice.left = list_.RemainingTime(verdict.request, now).value_or(kQuarantineTime);
  notice.first_strike_age = now - verdict.first_strike;
  notice.backends = verdict.backends;
  if (transport_.broadcast_notice) asio::co_spawn(io_, BroadcastNotice(notice), asio::detached);
  const std::vector<std::string> counting_nodes = CountingNodesOf(verdict.request);
  const auto self = std::find(counting_nodes.begin(), counting_nodes.end(), host_);
  const auto rank = static_cast<size_t>(self - counting_nodes.begin());
  if (recorder_.record) recorder_.record(quarantined, rank);
}

void QuarantineService::DecideGroup(const SuspectedGroup& group, TimePoint now) {
  const RequestFingerprint fingerprint = GroupFingerprintOf(group.parts);
  ledger_.AttributeExits(group.backends, fingerprint, now);
  Quarantine({fingerprint, now + kQuarantineTime, group.parts, group.backends}, "strikes", now);
  const std::optional<Duration> left = list_.RemainingTime(fingerprint, now);
  if (!left.has_value()) return;
  LiftExplained(group.backends, now);
  QuarantineNotice notice;
  notice.request = fingerprint;
  notice.left = *left;
  notice.first_strike_age = now - group.first_strike;
  notice.backends = group.backends;
  notice.parts = group.parts;
  if (transport_.broadcast_notice) asio::co_spawn(io_, BroadcastNotice(notice), asio::detached);
  const std::optional<QuarantinedRequest> entry = list_.Find(fingerprint);
  if (recorder_.record) recorder_.record(*entry, parts_.RankFor(group.service));
}

void QuarantineService::ExonerateInGroups(PartFingerprint part, TimePoint now) {
  for (const QuarantinedRequest& entry : list_.GroupsWith(part, now)) {
    LiftEverywhere(entry.request, "part_ran", now);
    SuspectedGroup rest = {entry.parts, entry.backends, now, 0};
    std::erase(rest.parts, part);
    if (!rest.parts.empty()) DecideGroup(rest, now);
  }
}

void QuarantineService::LiftExplained(const std::vector<BackendKey>& exits, TimePoint now) {
  for (const QuarantinedRequest& entry : list_.All()) {
    const bool is_counted_here = ledger_.StrikesOf(entry.request) >= kStrikesToQuarantine;
    const bool is_attributed = is_counted_here && !ledger_.VerdictOn(entry.request).has_value();
    // A request that came back after a lift has ended a back end while the group was kept away.
    const bool has_come_back = list_.WasLifted(entry.request, now);
    const bool is_explained =
        entry.parts.empty() ? is_attributed && !has_come_back : IsPartOf(entry.backends, exits);
    if (is_explained) LiftEverywhere(entry.request, kExplained, now);
  }
}

void QuarantineService::Quarantine(const QuarantinedRequest& quarantined, std::string_view source,
                                   TimePoint now) {
  if (!list_.Add(quarantined, now)) return;
  GlobalCounters().quarantines_total.Add();
  Log(LogLevel::kWarning, "request_quarantined",
      {{"fingerprint", FingerprintText(quarantined.request)},
       {"source", std::string(source)},
       {"strikes_here", std::to_string(ledger_.StrikesOf(quarantined.request))},
       {"for_s", std::to_string(static_cast<int64_t>(ToSeconds(quarantined.until - now)))},
       {"parts", PartsText(quarantined.parts)},
       {"backend_keys", fmt::format("{}", fmt::join(quarantined.backends, ","))}});
  std::vector<std::function<void()>> affected;  // copies: a callback may call Unwatch()
  for (const auto& [watch, watcher] : watches_) {
    if (IsAffected(quarantined, watcher.traits)) affected.push_back(watcher.on_quarantined);
  }
  for (const std::function<void()>& on_quarantined : affected) on_quarantined();
}

void QuarantineService::Lift(const QuarantineNotice& notice, std::string_view why, TimePoint now) {
  const RequestFingerprint request = notice.request;
  if (!notice.is_explained) ledger_.Clear(request);
  const std::optional<QuarantinedRequest> entry = list_.Find(request);
  const bool is_group = entry.has_value() && !entry->parts.empty();
  if (!list_.Lift(request, now, notice.backends, is_group || notice.is_explained)) return;
  GlobalCounters().quarantines_lifted_total.Add();
  Log(LogLevel::kWarning, "quarantine_lifted",
      {{"fingerprint", FingerprintText(request)}, {"why", std::string(why)}});
}

void QuarantineService::LiftEverywhere(RequestFingerprint request, std::string_view why,
                                       TimePoint now) {
  QuarantineNotice notice = LiftedNotice(request);
  notice.is_explained = why == kExplained;
  const std::optional<QuarantinedRequest> entry = list_.Find(request);
  if (entry.has_value()) notice.backends = entry->backends;
  Lift(notice, why, now);
  BroadcastLifted(notice);
  // The next exit may bring such a request back at once, and the erasure of its record, which takes
  // some time, would lift that too. The record expires with its lease.
  const bool is_single = !entry.has_value() || entry->parts.empty();
  const bool keeps_record = notice.is_explained && is_single;
  if (recorder_.erase && !keeps_record) recorder_.erase(request);
}

void QuarantineService::BroadcastLifted(const QuarantineNotice& notice) {
  if (transport_.broadcast_notice) {
    asio::co_spawn(io_, BroadcastNotice(notice), asio::detached);
  }
}

asio::awaitable<void> QuarantineService::BroadcastNotice(QuarantineNotice notice) {
  for (const Duration pause : kNoticeSendPauses) {
    if (pause > Duration(0)) co_await Pause(pause);
    const bool is_quarantined = list_.RemainingTime(notice.request, Now()).has_value();
    const bool was_lifted = !is_quarantined && list_.WasLifted(notice.request, Now());
    // A group may be quarantined again after its quarantine was lifted.
    const bool is_outdated = notice.is_lifted ? is_quarantined : was_lifted;
    if (is_outdated) co_return;
    transport_.broadcast_notice(notice);
  }
}

asio::awaitable<void> QuarantineService::Pause(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void QuarantineService::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  if (notice.is_lifted) return OnLifted(notice, now);
  const bool is_innocent = IsExonerated(notice.request, now - notice.first_strike_age);
  if (notice.left <= Duration(0)) {
    if (is_innocent) NotifyCountingNodes(notice.request);
    return;
  }
  ledger_.AttributeExits(notice.backends, notice.request, now);
  Quarantine({notice.request, now + notice.left, notice.parts, notice.backends}, "peer", now);
  if (!notice.parts.empty()) LiftExplained(notice.backends, now);
  if (is_innocent) LiftEverywhere(notice.request, "ran_before", now);
}

// A notice that was delayed does not lift what was quarantined for later exits.
void QuarantineService::OnLifted(const QuarantineNotice& notice, TimePoint now) {
  const std::optional<QuarantinedRequest> entry = list_.Find(notice.request);
  const bool has_later_exits =
      entry.has_value() && entry->backends.size() > notice.backends.size() && !entry->parts.empty();
  if (!has_later_exits) Lift(notice, "peer", now);
}

// Only the counting nodes need to know that a request that is merely suspected has completed.
void QuarantineService::NotifyCountingNodes(RequestFingerprint request) {
  if (!transport_.send_notice) return;
  for (const std::string& host : CountingNodesOf(request)) {
    if (host != host_) transport_.send_notice(host, LiftedNotice(request));
  }
}

void QuarantineService::NoteRecorded(RequestFingerprint request,
                                     const std::vector<PartFingerprint>& parts, TimePoint now) {
  Quarantine({request, now + kQuarantineTime, parts, {}}, "store", now);
}

// An operator or another node has removed the record, or it has expired. Nodes that read the store
// notify the others.
void QuarantineService::NoteErased(RequestFingerprint request, TimePoint now) {
  if (!list_.RemainingTime(request, now).has_value()) return;
  QuarantineNotice notice = LiftedNotice(request);
  notice.backends = list_.Find(request)->backends;
  Lift(notice, "record_gone", now);
  BroadcastLifted(notice);
}

void QuarantineService::Merge(const std::vector<QuarantinedRequest>& quarantined, TimePoint now) {
  for (const QuarantinedRequest& entry : quarantined) Quarantine(entry, "catalog", now);
}

void QuarantineService::Tick(TimePoint now) {
  const auto has_entry = [this](BackendKey backend) {
    return dispatcher_.Registry().FindByKey(backend) != nullptr;
  };
  ReportStrikes(ends_.Settle(has_entry, now), now);
  ledger_.Expire(now);
  parts_.Tick(now);
  list_.Expire(now);
  trials_.Expire(now);
  std::erase_if(simultaneous_, [this, now](RequestFingerprint request) {
    return !list_.RemainingTime(request, now).has_value();
  });
}

}  // namespace cartsail
