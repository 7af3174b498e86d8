#include "quarantine/part_strike_service.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <utility>

#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"
#include "cartsail/quarantine/strike_ledger.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Pauses before each transmission: with 5 in 100 datagrams lost, one in 8,000 messages is lost.
constexpr std::array<Duration, 3> kSendPauses = {milliseconds(0), milliseconds(150),
                                                 milliseconds(450)};
// Nodes report an exit within some milliseconds of each other. A decision before all have reported
// would blame a part that only the first ones had there.
constexpr Duration kCollectionTime = milliseconds(50);
// The requests that an exit cuts end one after the other, and so do reports of it arrive: they are
// reported, and asked about, together.
constexpr Duration kGatheringTime = milliseconds(10);
// How long a node tells of completions after an inquiry; the next exit brings another one.
constexpr Duration kWatchTime = seconds(30);
constexpr size_t kMaxWatchedParts = 10000;
// In one message, which must fit into a datagram.
constexpr size_t kMaxPartsInMessage = 128;
// For one exit, and for one inquiry. 1,024 parts are those of some 500 requests.
constexpr size_t kMaxMessages = 8;
// Exits that a node reports within a second: the loss of a zone of 200 back ends is one event, in
// which single requests say nothing.
constexpr int kMaxReportsPerSecond = 32;

// Divides the parts into as many as fit into a message each; of very many the first ones.
std::vector<std::vector<PartFingerprint>> MessagesOf(const std::set<PartFingerprint>& parts) {
  std::vector<std::vector<PartFingerprint>> messages;
  for (const PartFingerprint part : parts) {
    const bool is_full = messages.empty() || messages.back().size() >= kMaxPartsInMessage;
    if (is_full && messages.size() == kMaxMessages) break;
    if (is_full) messages.emplace_back();
    messages.back().push_back(part);
  }
  return messages;
}

std::vector<PartFingerprint> Without(const std::vector<PartFingerprint>& parts,
                                     const std::vector<PartFingerprint>& without) {
  std::vector<PartFingerprint> rest;
  std::set_difference(parts.begin(), parts.end(), without.begin(), without.end(),
                      std::back_inserter(rest));
  return rest;
}

}  // namespace

PartStrikeService::PartStrikeService(asio::io_context& io, std::string host, const PeerTable& peers,
                                     Decisions decisions)
    : io_(io), host_(std::move(host)), peers_(peers), decisions_(std::move(decisions)) {}

std::vector<std::string> PartStrikeService::CountingNodesOf(ServiceKey service) const {
  std::vector<std::string> hosts = {host_};
  for (const LivePeer& peer : peers_.LivePeers()) hosts.push_back(peer.host);
  return StrikeLedgerNodesOf(service, std::move(hosts));
}

size_t PartStrikeService::RankFor(ServiceKey service) const {
  const std::vector<std::string> nodes = CountingNodesOf(service);
  return static_cast<size_t>(std::find(nodes.begin(), nodes.end(), host_) - nodes.begin());
}

void PartStrikeService::NoteCompleted(const SharedParts& completed, TimePoint now) {
  SharedParts watched{completed.service, {}};
  for (const PartFingerprint part : completed.parts) {
    completions_.Note(part, now);
    const auto watch = watched_.find(part);
    if (watch == watched_.end()) continue;
    if (watch->second.until > now) watched.parts.push_back(part);
    watched_.erase(watch);
  }
  if (!watched.parts.empty()) ReportCompleted(watched, now);
}

void PartStrikeService::ReportCompleted(const SharedParts& completed, TimePoint now) {
  PartCompletions report;
  report.service = completed.service;
  for (const PartFingerprint part : completed.parts) report.parts.push_back({part, Duration(0)});
  Report(std::move(report), now);
}

void PartStrikeService::Report(PartCompletions completions, TimePoint now) {
  if (transport_.send_completions) {
    asio::co_spawn(io_, SendCompletions(completions), asio::detached);
  }
  OnCompletions(completions, now);
}

bool PartStrikeService::MayReport(TimePoint now) {
  if (now - reports_since_ >= seconds(1)) {
    reports_since_ = now;
    reports_ = 0;
  }
  return ++reports_ <= kMaxReportsPerSecond;
}

void PartStrikeService::ReportExits(const std::vector<Strike>& strikes) {
  for (const Strike& strike : strikes) {
    const ExitKey key = {strike.backend, strike.in_flight.service};
    const auto [pending, is_new] = exits_.try_emplace(key);
    PendingExit& exit = pending->second;
    exit.when = is_new ? strike.when : std::min(exit.when, strike.when);
    exit.parts.insert(strike.in_flight.parts.begin(), strike.in_flight.parts.end());
    if (is_new) asio::co_spawn(io_, ReportExit(key), asio::detached);
  }
}

// Reports all parts that were in flight there, but those that have just been completed.
asio::awaitable<void> PartStrikeService::ReportExit(ExitKey key) {
  co_await Pause(kGatheringTime);
  PendingExit exit = std::move(exits_[key]);
  exits_.erase(key);
  std::erase_if(exit.parts, [this, &exit](PartFingerprint part) {
    return completions_.CompletedSince(part, exit.when - kPartExonerationTime);
  });
  if (exit.parts.empty() || !MayReport(Now())) co_return;
  const auto [backend, service] = key;
  for (std::vector<PartFingerprint>& parts : MessagesOf(exit.parts)) {
    const PartStrikes strikes = {backend, exit.when, {service, std::move(parts)}};
    // Counted at this node too, in case it reaches no other one.
    Count(strikes);
    if (transport_.send_strikes) asio::co_spawn(io_, SendStrikes(strikes), asio::detached);
  }
}

void PartStrikeService::OnStrikes(const PartStrikes& strikes) { Count(strikes); }

void PartStrikeService::Count(const PartStrikes& strikes) {
  const std::vector<PartFingerprint> struck = ledger_.Note(strikes);
  if (struck.empty()) return;
  Inquire(strikes.in_flight.service, struck, strikes.when);
  ScheduleEvaluation(strikes.in_flight.service);
}

void PartStrikeService::Inquire(ServiceKey service, const std::vector<PartFingerprint>& parts,
                                TimePoint struck) {
  const auto [pending, is_new] = inquiries_.try_emplace(service);
  PendingInquiry& inquiry = pending->second;
  inquiry.first_strike = is_new ? struck : std::min(inquiry.first_strike, struck);
  for (const PartFingerprint part : parts) {
    inquiry.first_strike = ledger_.FirstStrikeOf(part, inquiry.first_strike);
    inquiry.parts.insert(part);
  }
  if (is_new) asio::co_spawn(io_, SendInquiry(service), asio::detached);
}

asio::awaitable<void> PartStrikeService::SendInquiry(ServiceKey service) {
  co_await Pause(kGatheringTime);
  const PendingInquiry pending = inquiries_[service];
  inquiries_.erase(service);
  for (std::vector<PartFingerprint>& parts : MessagesOf(pending.parts)) {
    const TimePoint now = Now();
    const PartInquiry inquiry = {service, now - pending.first_strike, std::move(parts), {}};
    if (transport_.broadcast_inquiry) transport_.broadcast_inquiry(inquiry);
    OnInquiry(inquiry, now);
  }
}

void PartStrikeService::OnInquiry(const PartInquiry& inquiry, TimePoint now) {
  const TimePoint since = now - inquiry.first_strike_age - kPartExonerationTime;
  PartCompletions report;
  report.service = inquiry.service;
  for (const PartFingerprint part : inquiry.parts) {
    const std::optional<TimePoint> completed = completions_.LastOf(part);
    if (completed.has_value() && *completed > since) {
      report.parts.push_back({part, now - *completed});
    } else if (watched_.size() < kMaxWatchedParts) {
      watched_[part] = {inquiry.service, now + kWatchTime};
    }
  }
  if (!report.parts.empty()) Report(std::move(report), now);
}

// A completion that is older than a strike does not speak against it.
void PartStrikeService::OnCompletions(const PartCompletions& completions, TimePoint now) {
  for (const auto& [part, age] : completions.parts) ledger_.NoteCompleted(part, now - age);
  Evaluate(completions.service);
  for (const auto& [part, age] : completions.parts) {
    const bool is_recent = age <= kPartExonerationTime;
    if (is_recent && !ledger_.HasStrikes(part)) decisions_.exonerate(part);
  }
}

void PartStrikeService::ScheduleEvaluation(ServiceKey service) {
  if (!evaluating_.insert(service).second) return;
  asio::co_spawn(io_, EvaluateLater(service), asio::detached);
}

asio::awaitable<void> PartStrikeService::EvaluateLater(ServiceKey service) {
  co_await Pause(kCollectionTime);
  evaluating_.erase(service);
  Evaluate(service);
}

// What is quarantined follows from the strikes known now: each exit may show that another part, or
// fewer parts, are to blame.
void PartStrikeService::Evaluate(ServiceKey service) {
  Groups groups;
  for (SuspectedGroup& group : ledger_.GroupsOf(service, decisions_.exits_by_requests())) {
    const RequestFingerprint fingerprint = GroupFingerprintOf(group.parts);
    groups[fingerprint] = std::move(group);
  }
  const Groups before = std::exchange(decided_[service], groups);
  for (const auto& [fingerprint, group] : groups) {
    const auto known = before.find(fingerprint);
    const bool is_news = known == before.end() || known->second.backends != group.backends;
    if (is_news) decisions_.quarantine(group);
  }
  for (const auto& [fingerprint, group] : before) {
    if (!groups.contains(fingerprint)) decisions_.lift(fingerprint, "explained");
  }
  if (groups.empty()) decided_.erase(service);
}

asio::awaitable<void> PartStrikeService::SendStrikes(PartStrikes strikes) {
  for (const Duration pause : kSendPauses) {
    if (pause > Duration(0)) co_await Pause(pause);
    for (const std::string& host : CountingNodesOf(strikes.in_flight.service)) {
      if (host != host_) transport_.send_strikes(host, strikes);
    }
  }
}

asio::awaitable<void> PartStrikeService::SendCompletions(PartCompletions completions) {
  for (const Duration pause : kSendPauses) {
    if (pause > Duration(0)) co_await Pause(pause);
    for (PartCompletions::Completion& completion : completions.parts) completion.age += pause;
    for (const std::string& host : CountingNodesOf(completions.service)) {
      if (host != host_) transport_.send_completions(host, completions);
    }
  }
}

asio::awaitable<void> PartStrikeService::Pause(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool PartStrikeService::TakeTrial(const QuarantinedRequest& group, const SharedParts& request,
                                  TimePoint now) {
  if (RankFor(request.service) != 0) return false;
  const std::vector<PartFingerprint> others = Without(request.parts, group.parts);
  const auto is_suspected = [this](PartFingerprint part) { return ledger_.HasStrikes(part); };
  if (std::any_of(others.begin(), others.end(), is_suspected)) return false;
  if (!trials_.Take(group.request, now)) return false;
  Log(LogLevel::kWarning, "quarantine_trial", {{"fingerprint", FingerprintText(group.request)}});
  return true;
}

void PartStrikeService::Tick(TimePoint now) {
  ledger_.Expire(now);
  std::erase_if(watched_, [now](const auto& entry) { return entry.second.until <= now; });
  trials_.Expire(now);
}

}  // namespace cartsail
