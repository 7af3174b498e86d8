#include "quarantine/quarantine_service.h"

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

// A strike is sent at these times after the end of the back end: with 5 in 100 datagrams lost, one
// in 8,000 strikes misses a node that counts.
constexpr std::array<Duration, 3> kStrikePauses = {milliseconds(0), milliseconds(150),
                                                   milliseconds(450)};
// The same for word of a quarantine. Nodes that miss all of them learn it with the next change of
// the catalog.
constexpr std::array<Duration, 3> kNoticePauses = {milliseconds(0), milliseconds(250),
                                                   milliseconds(750)};
// A back end that has asked this node to back off is probed when that is over, while a doubt
// lasts: BackendEndWatch.
constexpr Duration kLongestProbeDelay = seconds(10);
// A process that is ending may close its connections before it stops listening, and its host takes
// connections for it until then: some milliseconds, more on a busy machine. A connection that was
// made is looked at after these times, 0.6 s in all; where it was closed a new one is tried. With
// engines that listened for 10 ms longer one request ended 30 of them, and 10 of its tries came
// late; 3 at most come late with this.
constexpr std::array<Duration, 7> kOpenChecks = {
    milliseconds(5),  milliseconds(10),  milliseconds(20), milliseconds(40),
    milliseconds(80), milliseconds(160), milliseconds(320)};
// Between ends at one moment and the verdict. Runs of others show in that time that a popular
// request is innocent; without it a poll that was in flight at all of them was refused everywhere,
// in 4 of 4 runs, 600 s long.
constexpr Duration kSuspicionTime = milliseconds(500);
// Back ends that take connections and close them unused are not worth more.
constexpr int kMostProbeConnections = 3;
// A request that a back end has run to the end at this node within that time is not held
// responsible for the end of another one: of many copies of a popular request some run wherever a
// back end ends.
constexpr Duration kAlibiTime = seconds(10);

QuarantineNotice LiftedNotice(RequestFingerprint request) {
  QuarantineNotice notice;
  notice.request = request;
  notice.is_lifted = true;
  return notice;
}

}  // namespace

QuarantineService::QuarantineService(asio::io_context& io, std::string host,
                                     Duration connect_timeout, const Dispatcher& dispatcher,
                                     const PeerTable& peers, UpstreamPool& pool, Examine examine)
    : io_(io),
      host_(std::move(host)),
      connect_timeout_(connect_timeout),
      dispatcher_(dispatcher),
      peers_(peers),
      pool_(pool),
      examine_(std::move(examine)) {}

std::optional<Duration> QuarantineService::LeftFor(RequestFingerprint request,
                                                   TimePoint now) const {
  return list_.LeftFor(request, now);
}

QuarantineService::WatchId QuarantineService::Watch(RequestFingerprint request,
                                                    std::function<void()> on_quarantined) {
  const WatchId watch = next_watch_++;
  watches_[request][watch] = std::move(on_quarantined);
  return watch;
}

void QuarantineService::Unwatch(RequestFingerprint request, WatchId watch) {
  const auto watches = watches_.find(request);
  if (watches == watches_.end()) return;
  watches->second.erase(watch);
  if (watches->second.empty()) watches_.erase(watches);
}

void QuarantineService::NoteCompleted(RequestFingerprint request, TimePoint now) {
  runs_.Note(request, now);
  if (list_.LeftFor(request, now).has_value()) LiftEverywhere(request, "ran", now);
}

// The entry stands and does not announce an end: back ends that leave end when they are done.
bool QuarantineService::IsReady(BackendKey backend) const {
  const Backend* known = dispatcher_.Registry().FindByKey(backend);
  return known != nullptr && known->state == BackendState::kReady &&
         !known->missing_until.has_value();
}

void QuarantineService::NoteBroken(RequestFingerprint request, const Backend& backend,
                                   TimePoint now) {
  if (!IsReady(backend.key)) return;
  Report(ends_.NoteBroken({request, backend.key, now}), now);
  if (ends_.TakeProbe(backend.key, now)) asio::co_spawn(io_, Probe(backend), asio::detached);
}

// A process that has ended refuses connections; one that lives gets a connection that the next
// request uses.
asio::awaitable<void> QuarantineService::Probe(Backend backend) {
  const std::optional<Duration> backoff = dispatcher_.Registry().BackoffLeft(backend.key, Now());
  if (backoff.has_value()) co_await Pause(std::min(*backoff, kLongestProbeDelay));
  for (int i = 0; i < kMostProbeConnections; ++i) {
    // Otherwise the end of its entry tells.
    if (!dispatcher_.Registry().MayContact(backend.key, Now())) co_return;
    const std::shared_ptr<UpstreamConnection> connection = pool_.MakeNew();
    GlobalCounters().backend_connects_total.Add();
    const ConnectResult result =
        co_await connection->Connect(backend.address, Now() + connect_timeout_);
    if (result == ConnectResult::kRefused) co_await AskOthers(backend);
    if (result != ConnectResult::kConnected) co_return;
    if (co_await StaysOpen(*connection)) {
      ends_.NoteListening(backend.key);
      pool_.Keep(backend.key, connection, Now());
      co_return;
    }
  }
}

// Connections may be refused to this node alone, by a path that is cut.
asio::awaitable<void> QuarantineService::AskOthers(Backend backend) {
  const PathVerdict verdict = co_await examine_(backend);
  if (verdict == PathVerdict::kEnded) NoteEnded(backend.key, Now());
  if (verdict == PathVerdict::kCut) ends_.NoteListening(backend.key);
}

asio::awaitable<bool> QuarantineService::StaysOpen(UpstreamConnection& connection) {
  for (const Duration pause : kOpenChecks) {
    co_await Pause(pause);
    if (!connection.IsQuiet()) co_return false;
  }
  co_return true;
}

void QuarantineService::NoteEnded(BackendKey backend, TimePoint now) {
  Report(ends_.NoteEnded(backend, now), now);
}

void QuarantineService::NoteReplaced(BackendKey backend, TimePoint now) {
  Report(ends_.NoteReplaced(backend, now), now);
}

void QuarantineService::Report(const std::vector<Strike>& strikes, TimePoint now) {
  if (strikes.empty()) return;
  std::vector<Strike> held;
  for (const Strike& strike : strikes) {
    if (!runs_.RanSince(strike.request, now - kAlibiTime)) held.push_back(strike);
  }
  GlobalCounters().strikes_total.Add(static_cast<int64_t>(held.size()));
  Log(LogLevel::kWarning, "backend_ended",
      {{"backend_key", std::to_string(strikes.front().backend)},
       {"requests", std::to_string(strikes.size())},
       {"strikes", std::to_string(held.size())},
       {"first", FingerprintText(strikes.front().request)}});
  // Also here: a node that reaches no other one keeps its own count.
  for (const Strike& strike : held) Count(strike);
  if (transport_.send && !held.empty()) {
    asio::co_spawn(io_, TellStrikes(std::move(held)), asio::detached);
  }
}

std::vector<std::string> QuarantineService::CountersOf(RequestFingerprint request) const {
  std::vector<std::string> hosts = {host_};
  for (const LivePeer& peer : peers_.LivePeers()) hosts.push_back(peer.host);
  return StrikeCountersOf(request, std::move(hosts));
}

asio::awaitable<void> QuarantineService::TellStrikes(std::vector<Strike> strikes) {
  for (const Duration pause : kStrikePauses) {
    if (pause > Duration(0)) co_await Pause(pause);
    std::map<std::string, StrikeReport> reports;  // by host
    for (const Strike& strike : strikes) {
      for (const std::string& host : CountersOf(strike.request)) {
        if (host != host_) reports[host].strikes.push_back(strike);
      }
    }
    for (const auto& [host, report] : reports) transport_.send(host, report);
  }
}

void QuarantineService::OnStrikes(const StrikeReport& report) {
  for (const Strike& strike : report.strikes) Count(strike);
}

void QuarantineService::Count(const Strike& strike) {
  const std::optional<Verdict> verdict = ledger_.Note(strike);
  if (!verdict.has_value()) return;
  if (verdict->is_of_one_moment) {
    Suspect(*verdict, Now());
  } else {
    Decide(*verdict, Now());
  }
}

// All that was in flight at these back ends has the same strikes; one that runs elsewhere meanwhile
// is innocent. An end at another moment decides at once.
void QuarantineService::Suspect(const Verdict& verdict, TimePoint now) {
  if (!suspected_.insert(verdict.request).second) return;
  if (runs_.RanSince(verdict.request, verdict.first_strike)) {
    suspected_.erase(verdict.request);
    return LiftEverywhere(verdict.request, "ran_before", now);
  }
  QuarantineNotice question;
  question.request = verdict.request;
  question.first_strike_age = now - verdict.first_strike;
  if (transport_.spread) asio::co_spawn(io_, TellAll(question), asio::detached);
  asio::co_spawn(io_, DecideLater(verdict.request), asio::detached);
}

asio::awaitable<void> QuarantineService::DecideLater(RequestFingerprint request) {
  co_await Pause(kSuspicionTime);
  suspected_.erase(request);
  const std::optional<Verdict> verdict = ledger_.VerdictOn(request);
  if (!verdict.has_value() || list_.LeftFor(request, Now()).has_value()) co_return;
  Decide(*verdict, Now());
}

void QuarantineService::Decide(const Verdict& verdict, TimePoint now) {
  if (list_.WasLifted(verdict.request, now)) return;
  ledger_.Explain(verdict.backends, verdict.request, now);
  Quarantine({verdict.request, now + kQuarantineTime}, "strikes", now);
  QuarantineNotice notice;
  notice.request = verdict.request;
  notice.left = list_.LeftFor(verdict.request, now).value_or(kQuarantineTime);
  notice.first_strike_age = now - verdict.first_strike;
  notice.backends = verdict.backends;
  if (transport_.spread) asio::co_spawn(io_, TellAll(notice), asio::detached);
  const std::vector<std::string> counters = CountersOf(verdict.request);
  const auto self = std::find(counters.begin(), counters.end(), host_);
  const auto rank = static_cast<size_t>(self - counters.begin());
  if (recorder_.record) recorder_.record(verdict.request, rank);
}

void QuarantineService::Quarantine(const QuarantinedRequest& quarantined, std::string_view source,
                                   TimePoint now) {
  if (!list_.Add(quarantined, now)) return;
  GlobalCounters().quarantines_total.Add();
  Log(LogLevel::kWarning, "request_quarantined",
      {{"fingerprint", FingerprintText(quarantined.request)},
       {"source", std::string(source)},
       {"strikes_here", std::to_string(ledger_.StrikesOf(quarantined.request))},
       {"for_s", std::to_string(static_cast<int64_t>(ToSeconds(quarantined.until - now)))}});
  const auto watches = watches_.find(quarantined.request);
  if (watches == watches_.end()) return;
  // A callback may end its watch.
  const std::map<WatchId, std::function<void()>> copies = watches->second;
  for (const auto& [watch, on_quarantined] : copies) on_quarantined();
}

void QuarantineService::Lift(RequestFingerprint request, std::string_view why, TimePoint now) {
  ledger_.Clear(request);
  if (!list_.Lift(request, now)) return;
  GlobalCounters().quarantines_lifted_total.Add();
  Log(LogLevel::kWarning, "quarantine_lifted",
      {{"fingerprint", FingerprintText(request)}, {"why", std::string(why)}});
}

void QuarantineService::LiftEverywhere(RequestFingerprint request, std::string_view why,
                                       TimePoint now) {
  Lift(request, why, now);
  TellLifted(request);
  if (recorder_.erase) recorder_.erase(request);
}

void QuarantineService::TellLifted(RequestFingerprint request) {
  if (transport_.spread) asio::co_spawn(io_, TellAll(LiftedNotice(request)), asio::detached);
}

asio::awaitable<void> QuarantineService::TellAll(QuarantineNotice notice) {
  for (const Duration pause : kNoticePauses) {
    if (pause > Duration(0)) co_await Pause(pause);
    const bool is_outdated = !notice.is_lifted && list_.WasLifted(notice.request, Now());
    if (is_outdated) co_return;
    transport_.spread(notice);
  }
}

asio::awaitable<void> QuarantineService::Pause(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void QuarantineService::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  if (notice.is_lifted) return Lift(notice.request, "peer", now);
  const bool is_innocent = runs_.RanSince(notice.request, now - notice.first_strike_age);
  if (notice.left <= Duration(0)) {
    if (is_innocent) TellCounters(notice.request);
    return;
  }
  ledger_.Explain(notice.backends, notice.request, now);
  Quarantine({notice.request, now + notice.left}, "peer", now);
  if (is_innocent) LiftEverywhere(notice.request, "ran_before", now);
}

// Of a request that is only suspected no other node has to know that it ran.
void QuarantineService::TellCounters(RequestFingerprint request) {
  if (!transport_.tell) return;
  for (const std::string& host : CountersOf(request)) {
    if (host != host_) transport_.tell(host, LiftedNotice(request));
  }
}

void QuarantineService::NoteRecorded(RequestFingerprint request, TimePoint now) {
  Quarantine({request, now + kQuarantineTime}, "store", now);
}

// An operator or another node has taken it back, or its time is over. The readers of the store tell
// the others.
void QuarantineService::NoteErased(RequestFingerprint request, TimePoint now) {
  if (!list_.LeftFor(request, now).has_value()) return;
  Lift(request, "record_gone", now);
  TellLifted(request);
}

void QuarantineService::Merge(const std::vector<QuarantinedRequest>& quarantined, TimePoint now) {
  for (const QuarantinedRequest& entry : quarantined) Quarantine(entry, "catalog", now);
}

void QuarantineService::Tick(TimePoint now) {
  const auto has_entry = [this](BackendKey backend) {
    return dispatcher_.Registry().FindByKey(backend) != nullptr;
  };
  Report(ends_.Settle(has_entry, now), now);
  ledger_.Expire(now);
  list_.Expire(now);
}

}  // namespace cartsail
