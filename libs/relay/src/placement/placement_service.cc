#include "placement/placement_service.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"
#include "placement/rate_notices.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr size_t kMaxCoordinators = 2;  // asked before this node places by itself
// A question or its answer may be lost: the question is sent again after the first time-out.
constexpr Duration kFirstAnswerTimeout = milliseconds(15);
constexpr Duration kSecondAnswerTimeout = milliseconds(35);
constexpr Duration kInitialSuspicion = milliseconds(300);
constexpr Duration kMaxSuspicion = seconds(4);
constexpr Duration kProgressDelay = milliseconds(5);  // progress of this period is sent together
constexpr size_t kMaxConnected = 32;                  // back ends named in a question
// Excluded back ends in a question, 4 bytes each. A grant of an excluded back end beyond them is
// not adopted.
constexpr size_t kMaxExcluded = 128;
// Rate limits in a question, about 20 bytes each. A grant of a rate-limited back end beyond them is
// not adopted.
constexpr size_t kMaxRateWords = 32;
constexpr size_t kMaxProgressEntries = 64;  // in one message

}  // namespace

PlacementService::PlacementService(asio::io_context& io, Dispatcher& dispatcher, PeerTable& peers,
                                   const UpstreamPool& pool)
    : io_(io),
      dispatcher_(dispatcher),
      peers_(peers),
      pool_(pool),
      progress_timer_(io),
      next_question_(std::random_device{}()) {}

bool PlacementService::IsSuspected(const std::string& host, TimePoint now) const {
  const auto suspicion = suspicions_.find(host);
  return suspicion != suspicions_.end() && now < suspicion->second.until;
}

void PlacementService::Suspect(const std::string& host, TimePoint now) {
  Suspicion& suspicion = suspicions_[host];
  // Failures of simultaneous questions count once.
  if (now < suspicion.until) return;
  Duration length = kInitialSuspicion;
  for (int i = 0; i < suspicion.failures && length < kMaxSuspicion; ++i) length *= 2;
  suspicion.until = now + std::min(length, kMaxSuspicion);
  ++suspicion.failures;
  GlobalCounters().coordinator_losses_total.Add();
  Log(LogLevel::kWarning, "coordinator_lost",
      {{"host", host}, {"failures", std::to_string(suspicion.failures)}});
}

void PlacementService::NoteCoordinator(const std::string& service, const std::string& host) {
  std::string& last = coordinators_[service];
  if (last == host) return;
  last = host;
  Log(LogLevel::kInfo, "coordinator", {{"service", service}, {"host", host}});
  transport_.announce(host);
}

GrantAuthority PlacementService::GrantRightFor(const std::string& service, TimePoint now) const {
  if (!dispatcher_.MayBeMetered(service)) return {};
  return GrantAuthorityOf(peers_.FleetOf(service, now));
}

void PlacementService::CountMetered(const Placement& placement) const {
  if (!placement.send_by.has_value()) return;
  const bool is_limited = dispatcher_.Registry().Limits().Of(placement.backend.key).has_value();
  Counters& counters = GlobalCounters();
  (is_limited ? counters.limited_placements_total : counters.cold_placements_total).Add();
}

asio::awaitable<PlacementResult> PlacementService::Place(const RequestProfile& profile,
                                                         const std::vector<BackendKey>& tried) {
  PlacementResult result;
  if (transport_.send) result = co_await PlaceByCoordinator(profile, tried);
  if (result.placement.has_value()) {
    GlobalCounters().placements_asked_total.Add();
    co_return result;
  }
  // The coordinator knows best which back ends are metered: its refusal is final.
  if (!result.metered_wait.has_value()) result = PlaceLocally(profile, tried);
  if (result.metered_wait.has_value())
    cold_backend_log_.NoteRefused(profile.service, *result.metered_wait);
  co_return result;
}

PlacementResult PlacementService::PlaceLocally(const RequestProfile& profile,
                                               const std::vector<BackendKey>& tried) {
  GlobalCounters().placements_own_total.Add();
  const TimePoint now = Now();
  const GrantAuthority right = GrantRightFor(profile.service, now);
  PlacementResult result;
  result.placement = dispatcher_.Place(profile, tried, now, pool_.Connected(kMaxConnected), right);
  if (!result.placement.has_value()) {
    result.metered_wait =
        dispatcher_.MeteredWait(profile, dispatcher_.ExcludedFor(profile, tried, now), now, right);
  } else {
    CountMetered(*result.placement);
  }
  return result;
}

// Returns neither a placement nor a wait if this node must place the request itself.
asio::awaitable<PlacementResult> PlacementService::PlaceByCoordinator(
    const RequestProfile& profile, const std::vector<BackendKey>& tried) {
  const std::vector<std::string> hosts =
      peers_.RankCoordinators(profile.service, kMaxCoordinators, Now());
  PlacementResult result;
  for (const std::string& host : hosts) {
    if (host.empty()) break;  // this node is the coordinator
    if (IsSuspected(host, Now())) continue;
    NoteCoordinator(profile.service, host);
    const TimePoint asked = Now();
    const PlacementQuestion question = MakeQuestion(profile, tried);
    const std::optional<PlacementAnswer> answer = co_await Ask(host, question);
    if (!answer.has_value()) continue;
    result.placement = AdoptAnswer(host, question, *answer, asked);
    result.metered_wait = answer->metered_wait;
    break;
  }
  co_return result;
}

PlacementQuestion PlacementService::MakeQuestion(const RequestProfile& profile,
                                                 const std::vector<BackendKey>& tried) {
  PlacementQuestion question;
  question.id = next_question_++;
  question.profile = profile;
  // A coordinator does not know which back ends this node is backing off from.
  question.tried = dispatcher_.ExcludedFor(profile, tried, Now());
  if (question.tried.size() > kMaxExcluded) question.tried.resize(kMaxExcluded);
  question.connected = pool_.Connected(kMaxConnected);
  const BackendRegistry& registry = dispatcher_.Registry();
  question.rate_words = registry.RateNoticesOf(profile.service, kMaxRateWords, Now());
  question.brittle_words = registry.BrittleNoticesOf(profile.service, kMaxRateWords, Now());
  return question;
}

std::optional<Placement> PlacementService::AdoptAnswer(const std::string& host,
                                                       const PlacementQuestion& question,
                                                       const PlacementAnswer& answer,
                                                       TimePoint asked) {
  if (!answer.grant.has_value()) return std::nullopt;
  const BackendKey backend = answer.grant->backend;
  const auto is_on_it = [backend](const BackendRateNotice& word) {
    return word.backend == backend;
  };
  const bool was_reported =
      std::any_of(question.rate_words.begin(), question.rate_words.end(), is_on_it);
  // The coordinator may not know the rate limit of a back end that the question did not report.
  const TimePoint words_known = answer.heard_rate_words && was_reported ? asked : TimePoint::min();
  std::optional<Placement> placement =
      dispatcher_.Adopt(host, *answer.grant, question.profile, words_known, Now());
  if (placement.has_value()) {
    questions_[placement->ticket] = {host, answer.id};
    if (answer.grant->is_metered) placement->send_by = asked + kGrantLifetime;
  } else {
    // This node has newer information: the back end is shutting down, gone, or not known here yet.
    QueueProgress(host, {answer.id, true, std::nullopt, {}});
  }
  return placement;
}

asio::awaitable<std::optional<PlacementAnswer>> PlacementService::Ask(const std::string& host,
                                                                      PlacementQuestion question) {
  const PlacementQueryId id = question.id;
  const Datagram datagram = std::move(question);
  PendingQuestion waiting{host, Timer(io_), std::nullopt};
  pending_questions_[id] = &waiting;
  for (const Duration timeout : {kFirstAnswerTimeout, kSecondAnswerTimeout}) {
    transport_.send(host, datagram);
    if (co_await WaitForAnswer(waiting, timeout)) break;
  }
  pending_questions_.erase(id);
  if (waiting.answer.has_value()) {
    suspicions_.erase(host);
  } else {
    Suspect(host, Now());
  }
  co_return waiting.answer;
}

asio::awaitable<bool> PlacementService::WaitForAnswer(PendingQuestion& waiting, Duration timeout) {
  waiting.timer.expires_after(timeout);
  boost::system::error_code ignored;
  co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return waiting.answer.has_value();
}

void PlacementService::OnAnswer(const std::string& host, const PlacementAnswer& answer) {
  const auto waiting = pending_questions_.find(answer.id);
  if (waiting != pending_questions_.end() && waiting->second->host == host) {
    waiting->second->answer = answer;
    waiting->second->timer.cancel();
    return;
  }
  const auto is_this = [&host, &answer](const auto& entry) {
    return entry.second.id == answer.id && entry.second.host == host;
  };
  const bool is_known = std::any_of(questions_.begin(), questions_.end(), is_this);
  // The answer is too late: the request was placed elsewhere. Release the grant.
  if (!is_known && answer.grant.has_value())
    QueueProgress(host, {answer.id, true, std::nullopt, {}});
}

void PlacementService::Output(PlacementTicket ticket, TimePoint now) {
  dispatcher_.Output(ticket, now);
  const auto question = questions_.find(ticket);
  if (question == questions_.end() || question->second.output_reported) return;
  question->second.output_reported = true;
  QueueProgress(question->second.host, {question->second.id, false, std::nullopt, {}});
}

void PlacementService::Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now) {
  const StreamPauses pauses = dispatcher_.PausesOf(ticket);
  dispatcher_.Finish(ticket, outcome, now);
  const auto question = questions_.find(ticket);
  if (question == questions_.end()) return;
  QueueProgress(question->second.host, {question->second.id, true, outcome, pauses});
  questions_.erase(question);
}

void PlacementService::QueueProgress(const std::string& host, const RequestProgress& progress) {
  const bool is_first = progress_.empty();
  std::vector<RequestProgress>& entries = progress_[host].entries;
  entries.push_back(progress);
  if (entries.size() >= kMaxProgressEntries) {
    FlushProgress();
    return;
  }
  if (!is_first) return;
  progress_timer_.expires_after(kProgressDelay);
  progress_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) FlushProgress();
  });
}

void PlacementService::FlushProgress() {
  for (const auto& [host, report] : progress_) transport_.send(host, report);
  progress_.clear();
}

void PlacementService::OnQuestion(const std::string& host, const PlacementQuestion& question,
                                  TimePoint now) {
  grants_.Heard(host, now);
  PlacementAnswer answer;
  answer.id = question.id;
  answer.heard_rate_words = true;
  for (const BackendRateNotice& word : question.rate_words) {
    NoteRate(dispatcher_, word.backend, word.notice, host);
  }
  for (const BackendRateNotice& word : question.brittle_words) {
    NoteBrittle(dispatcher_, word.backend, word.notice, host);
  }
  const OutstandingGrant* known = grants_.Find(host, question.id);
  if (known != nullptr) {
    answer.grant = known->grant;
    transport_.send(host, answer);
    return;
  }
  const Requester requester{host, peers_.ZoneOf(host), question.connected};
  const GrantAuthority right = GrantRightFor(question.profile.service, now);
  const std::optional<Placement> placement =
      dispatcher_.PlaceFor(requester, question.profile, question.tried, now, right);
  if (!placement.has_value()) {
    answer.metered_wait = dispatcher_.MeteredWait(question.profile, question.tried, now, right);
  } else {
    answer.grant = GrantOf(*placement);
    grants_.Add(host, question.id, {placement->ticket, *answer.grant, now});
    GlobalCounters().placements_for_peers_total.Add();
    CountMetered(*placement);
  }
  transport_.send(host, answer);
}

void PlacementService::OnProgress(const std::string& host, const ProgressReport& report,
                                  TimePoint now) {
  grants_.Heard(host, now);
  for (const RequestProgress& progress : report.entries) {
    if (!progress.ended) {
      const OutstandingGrant* grant = grants_.Find(host, progress.id);
      if (grant != nullptr) dispatcher_.Output(grant->ticket, now);
      continue;
    }
    const std::optional<PlacementTicket> ticket = grants_.Take(host, progress.id);
    if (!ticket.has_value()) continue;
    dispatcher_.NotePauses(*ticket, progress.pauses, now);
    if (progress.outcome.has_value()) {
      dispatcher_.Finish(*ticket, *progress.outcome, now);
    } else {
      dispatcher_.Drop(*ticket, now);
    }
  }
}

void PlacementService::OnLiveQuestions(const std::string& host,
                                       const std::vector<PlacementQueryId>& live, TimePoint now) {
  grants_.Heard(host, now);
  for (const PlacementTicket ticket : grants_.Reconcile(host, live, now)) {
    dispatcher_.Drop(ticket, now);
  }
}

std::vector<PlacementQueryId> PlacementService::LiveQuestions(const std::string& host) const {
  std::vector<PlacementQueryId> live;
  for (const auto& [ticket, question] : questions_) {
    if (question.host == host) live.push_back(question.id);
  }
  return live;
}

void PlacementService::Tick(TimePoint now) {
  for (const PlacementTicket ticket : grants_.TakeFromSilentNodes(now))
    dispatcher_.Drop(ticket, now);
  for (const std::string& service : dispatcher_.ServicesWithWarmUp()) {
    if (GrantsToCold(service, now)) {
      cold_backend_log_.NoteCold(service, dispatcher_.ColdOf(service, now), now);
    } else {
      cold_backend_log_.Forget(service);
    }
  }
}

}  // namespace cartsail
