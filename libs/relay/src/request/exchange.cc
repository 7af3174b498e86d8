#include "request/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/json.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"
#include "request/message_head.h"
#include "request/retry_after.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kLeastTimeForAttempt = milliseconds(20);
constexpr Duration kRetryAfterNotRun = milliseconds(100);
// The node that began the stream may be about to tell, or the store to come back.
constexpr Duration kRetryAfterUnknownStream = milliseconds(250);
// A process of that version may start again; a new stream may begin at once.
constexpr Duration kRetryAfterVersionGone = milliseconds(1000);
// A node that starts has its catalog after 0.05 to 0.3 s. Callers that come before wait for it: a
// refusal would cost them one of their few retries.
constexpr Duration kCatalogPatience = milliseconds(300);
constexpr Duration kCatalogPoll = milliseconds(10);
constexpr Duration kLeastFirstPatience = milliseconds(300);
constexpr Duration kLeastPausePatience = milliseconds(900);
// What came on this node's own path within that time shows that there is one.
constexpr Duration kHeardHolds = milliseconds(500);
constexpr int kPatienceGoals = 3;   // goals of the first output that a repeatable request waits
constexpr int kPatiencePauses = 6;  // longest pauses that a resumable stream waits

std::string_view ReasonOf(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

// What a node hears of a back end over another one may be the doing of that one's path. That it
// ended is told by the other node.
AttemptOutcome OutcomeOver(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kCut ? outcome : AttemptOutcome::kPathLost;
}

// The connection was of no use: the back end's doing, or that of the path to it.
bool IsOfPathPerhaps(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kCut || outcome == AttemptOutcome::kSilent ||
         outcome == AttemptOutcome::kTimedOut;
}

}  // namespace

Exchange::Exchange(RelayContext& context, std::shared_ptr<CallerConnection> caller,
                   std::shared_ptr<HeldRequest> held, CallerRequest request)
    : context_(context),
      caller_(std::move(caller)),
      held_(std::move(held)),
      writer_(std::make_shared<AnswerWriter>(context.io, caller_, held_)),
      request_(std::move(request)) {
  keep_alive_ = request_.keep_alive && !request_.http_1_0;
}

asio::awaitable<void> Exchange::WaitForCatalog() {
  const TimePoint last = request_.received + kCatalogPatience;
  Timer timer(context_.io);
  while (!context_.HasCatalog() && Now() < last) {
    timer.expires_after(kCatalogPoll);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<bool> Exchange::Run() {
  GlobalCounters().requests_total.Add();
  const WireNames& names = context_.format.Names();
  if (context_.refusing) {
    request_id_ = std::string(request_.Header(names.request_id));
    co_return co_await AnswerRefusal(ErrorKind::kDraining, kRetryAfterNotRun);
  }
  co_await WaitForCatalog();
  head_.method = request_.method;
  head_.target = request_.target;
  head_.host = std::string(request_.Header("Host"));
  head_.request_id = std::string(request_.Header(names.request_id));
  head_.authorization = std::string(request_.Header("Authorization"));
  head_.time_left = std::string(request_.Header(names.time_left));
  head_.prompt_parts = std::string(request_.Header(names.prompt_parts));
  head_.token_counts = std::string(request_.Header(names.token_counts));
  head_.resumes = std::string(request_.Header(names.resumes));
  request_id_ = head_.request_id;
  resumes_ = head_.resumes;

  AdmissionResult result = Admit(head_, context_.routing, context_.format,
                                 context_.document_limits.refusing_unknown, request_.received);
  admitted_ = std::move(result.admitted);
  fingerprint_ = FingerprintOf({request_.method, head_.host, head_.target, admitted_.tenant,
                                std::string_view(*request_.body)});
  residency_table_ = admitted_.table;
  if (result.refusal.has_value()) {
    if (admitted_.route != nullptr) LogResidencyRefusal("no_common_region");
    co_return co_await AnswerRefusal(result.refusal->kind, result.refusal->retry_after);
  }
  deadline_ = request_.received + admitted_.time_left;
  last_event_id_ = std::string(request_.Header("Last-Event-ID"));

  GlobalCounters().requests_in_flight.Set(++context_.requests_in_flight);
  caller_->WatchGone([weak = weak_from_this()] {
    const std::shared_ptr<Exchange> self = weak.lock();
    if (self == nullptr) return;
    self->caller_gone_ = true;
    if (self->upstream_ != nullptr) self->upstream_->Close();
  });
  held_->OnGiveUp([weak = weak_from_this()](int64_t bytes, Duration left_alone) {
    const std::shared_ptr<Exchange> self = weak.lock();
    if (self != nullptr) self->OnGiveUp(bytes, left_alone);
  });
  const auto on_quarantined = [weak = weak_from_this()] {
    const std::shared_ptr<Exchange> self = weak.lock();
    if (self != nullptr) self->OnQuarantined();
  };
  const QuarantineService::WatchId watch = context_.quarantine.Watch(fingerprint_, on_quarantined);
  const bool keep = co_await RunAdmitted();
  context_.quarantine.Unwatch(fingerprint_, watch);
  caller_->StopWatch();
  GlobalCounters().requests_in_flight.Set(--context_.requests_in_flight);
  co_return keep && !caller_gone_;
}

bool Exchange::MayRepeat() const {
  const RouteRule& route = *admitted_.route;
  if (route.kind == RequestKind::kRepeatable) return true;
  return route.kind == RequestKind::kStream && route.resumable;
}

asio::awaitable<bool> Exchange::RunAdmitted() {
  context_.retries.NoteRequest(admitted_.profile.service, request_.received);
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  follows_versions_ = FollowsVersions();
  const bool takes_up = !last_event_id_.empty() || !resumes_.empty();
  if (follows_versions_ && takes_up && !co_await FindVersion()) {
    GlobalCounters().stream_take_ups_unknown_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kStreamUnknown, kRetryAfterUnknownStream);
  }
  while (true) {
    FollowDocument();
    if (IsQuarantined()) break;
    follows_versions_ = FollowsVersions();
    admitted_.profile.version = stream_version_;
    const PlacementResult result = co_await context_.placement.Place(admitted_.profile, tried_);
    const std::optional<Placement>& placement = result.placement;
    metered_wait_ = result.metered_wait;
    if (!placement.has_value()) break;
    if (caller_gone_) {
      context_.placement.Finish(placement->ticket, AttemptOutcome::kCallerGone, Now());
      break;
    }
    tried_.push_back(placement->backend.key);
    last_backend_ = placement->backend.id;
    last_version_ = placement->backend.version;
    placed_by_ = placement->placed_by;
    outcome = co_await Attempt(*placement);
    LogAttempt(*placement, outcome);
    if (IsOfPathPerhaps(outcome) && over_.empty()) {
      asio::co_spawn(context_.io, ExplainAttempt(shared_from_this(), *placement, outcome),
                     asio::detached);
    } else {
      FinishAttempt(*placement, IsOfPathPerhaps(outcome) ? OutcomeOver(outcome) : outcome, Now());
    }
    if (caller_gone_) break;
    if (outcome == AttemptOutcome::kAnswered) {
      // The back end is free again while the caller takes the rest.
      if (!co_await writer_->Finish())
        co_return co_await FinishUnserved(AttemptOutcome::kCallerGone);
      LogAnswered();
      co_return keep_alive_;
    }
    if (bound_to_backend_ || !MayTryAgain(*admitted_.route, outcome, history_)) break;
    if (!co_await IsVersionSure()) break;
    if (deadline_ - Now() < kLeastTimeForAttempt) break;
    if (!co_await TakeRepeat()) break;
  }
  co_return co_await FinishUnserved(outcome);
}

// The data residency in force now binds, also where the request waited through a change.
void Exchange::FollowDocument() {
  if (residency_table_ == context_.routing.Table()) return;
  residency_table_ = context_.routing.Table();
  Residency& residency = admitted_.profile.residency;
  residency = ResidencyIn(*residency_table_, head_, residency);
}

// Its data residency leaves it no back end.
bool Exchange::IsWithoutHome(TimePoint now) {
  const RequestProfile& profile = admitted_.profile;
  return profile.residency.has_value() && context_.dispatcher.ReadyFor(profile, now) == 0;
}

bool Exchange::IsQuarantined() const {
  return context_.quarantine.LeftFor(fingerprint_, Now()).has_value();
}

// Where the back end has not begun to answer, the request may still wait there: a connection that
// closes takes it out of the queue, before it ends one more back end.
void Exchange::OnQuarantined() {
  if (upstream_ == nullptr || has_output_) return;
  given_up_ = true;
  upstream_->Close();
}

void Exchange::OnGiveUp(int64_t bytes, Duration left_alone) {
  given_up_for_memory_ = true;
  caller_gone_ = true;
  GlobalCounters().answers_cut_for_memory_total.Add();
  Log(LogLevel::kWarning, "answer_given_up",
      {{"request", request_id_},
       {"bytes", std::to_string(bytes)},
       {"left_alone_ms", fmt::format("{:.0f}", ToMillis(left_alone))},
       {"held", std::to_string(context_.held->Total())},
       {"limit", std::to_string(context_.held->Limit())}});
  caller_->Close();
  if (upstream_ != nullptr) upstream_->Close();
}

void Exchange::FinishAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended) {
  context_.placement.Finish(placement.ticket, outcome, Now());
  NoteEndOfAttempt(placement, outcome, ended);
}

// The request goes on meanwhile; what is believed of the back end waits.
asio::awaitable<void> Exchange::ExplainAttempt(std::shared_ptr<Exchange> self, Placement placement,
                                               AttemptOutcome outcome) {
  // All that was cut by one event is told with its moment, however long each examination takes:
  // ends of one moment are judged otherwise than those one after the other.
  const TimePoint ended = Now();
  // What broke is not mended by what came before; silence is.
  const Duration heard_holds = outcome == AttemptOutcome::kCut ? Duration(0) : kHeardHolds;
  const TimePoint since = ended - heard_holds;
  const PathVerdict verdict = co_await self->context_.paths.Examine(placement.backend, since);
  const bool is_path = verdict == PathVerdict::kCut;
  self->FinishAttempt(placement, is_path ? AttemptOutcome::kPathLost : outcome, ended);
  if (verdict == PathVerdict::kEnded) {
    self->context_.quarantine.NoteEnded(placement.backend.key, Now());
  }
}

void Exchange::NoteEndOfAttempt(const Placement& placement, AttemptOutcome outcome,
                                TimePoint ended) {
  const TimePoint now = Now();
  if (outcome == AttemptOutcome::kCut) {
    context_.quarantine.NoteBroken(fingerprint_, placement.backend, ended);
  } else if (outcome == AttemptOutcome::kWrongInstance) {
    context_.quarantine.NoteReplaced(placement.backend.key, now);
  } else if (outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kFailedAnswer) {
    context_.quarantine.NoteCompleted(fingerprint_, now);
  }
}

asio::awaitable<bool> Exchange::TakeRepeat() {
  // Only bytes that reached a back end count as a repeat there.
  if (history_.attempts == 0) co_return true;
  if (repeat_ != nullptr && repeat_->MaySend(Now())) co_return true;
  repeat_.reset();
  repeat_ = co_await context_.retries.Take(admitted_.profile.service);
  const bool granted = repeat_ != nullptr;
  Counters& counters = GlobalCounters();
  (granted ? counters.retries_total : counters.retries_denied_total).Add();
  if (granted && head_sent_) counters.continuations_total.Add();
  LogRepeat();
  co_return granted;
}

void Exchange::EndRepeat(AttemptOutcome outcome) {
  const TimePoint now = Now();
  const bool may_be_on_its_way = outcome == AttemptOutcome::kSilent ||
                                 outcome == AttemptOutcome::kTimedOut ||
                                 outcome == AttemptOutcome::kPathLost || caller_gone_ || given_up_;
  // What a silent path holds reaches the back end when the path comes back.
  if (!was_heard_ && may_be_on_its_way) {
    unheard_until_ = now + context_.options.retry_budget.window;
  }
  if (repeat_ == nullptr) return;
  repeat_->Close(std::max(now, unheard_until_));
  repeat_.reset();
}

asio::awaitable<bool> Exchange::FinishUnserved(AttemptOutcome last) {
  if (caller_gone_ || last == AttemptOutcome::kCallerGone) {
    LogEnd(given_up_for_memory_ ? kCutForMemoryResult : kCallerGoneResult, status_sent_);
    caller_->Close();
    co_return false;
  }
  if (head_sent_) {
    // Part of an answer was passed on: the caller must see that it is cut.
    (void)co_await writer_->Finish();
    LogEnd(kCutResult, status_sent_);
    caller_->Close();
    co_return false;
  }
  const std::optional<Duration> quarantined = context_.quarantine.LeftFor(fingerprint_, Now());
  if (history_.may_have_run == 0 && quarantined.has_value()) {
    GlobalCounters().quarantine_refusals_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kQuarantined, *quarantined);
  }
  if (history_.may_have_run == 0 && IsWithoutHome(Now())) {
    LogResidencyRefusal("no_backend");
    co_return co_await AnswerRefusal(ErrorKind::kNoBackend, kRetryAfterNotRun);
  }
  const bool is_version_gone =
      !stream_version_.empty() && context_.dispatcher.ReadyFor(admitted_.profile, Now()) == 0;
  if (history_.may_have_run == 0 && is_version_gone) {
    GlobalCounters().stream_take_ups_gone_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kStreamVersionGone, kRetryAfterVersionGone);
  }
  if (history_.may_have_run == 0) {
    const Dispatcher::Backoffs backoffs = context_.dispatcher.BackoffsFor(admitted_.profile, Now());
    if (backoffs.all) GlobalCounters().backoff_refusals_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kOverloaded, WaitUntilServed(backoffs));
  }
  const bool out_of_time = last == AttemptOutcome::kTimedOut || last == AttemptOutcome::kSilent;
  co_return co_await AnswerRefusal(out_of_time ? ErrorKind::kTimeout : ErrorKind::kBackendFailed,
                                   Duration(0));
}

// The request was not run: the time after which some back end may take it.
Duration Exchange::WaitUntilServed(const Dispatcher::Backoffs& backoffs) const {
  if (metered_wait_.has_value())
    return std::min(*metered_wait_, backoffs.shortest.value_or(*metered_wait_));
  // A caller told less would be refused again: 0.1 s was told with 2.5 s of back-off left.
  return backoffs.all ? *backoffs.shortest : kRetryAfterNotRun;
}

asio::awaitable<AttemptOutcome> Exchange::Attempt(const Placement& placement) {
  answer_ = {};
  answer_end_.reset();
  if (!co_await MayBegin(placement)) co_return AttemptOutcome::kWithheld;
  const OpenedPath opened = co_await OpenUpstream(placement);
  upstream_ = opened.connection;
  over_ = upstream_ == nullptr ? std::string() : upstream_->Over();
  if (caller_gone_) co_return AttemptOutcome::kCallerGone;
  if (upstream_ == nullptr) {
    ++history_.connects_failed;
    if (Now() >= deadline_) co_return AttemptOutcome::kTimedOut;
    co_return opened.says_nothing_of_backend ? AttemptOutcome::kNoPath : AttemptOutcome::kNotSent;
  }
  const bool may_go_on = co_await MayGoOnAt(placement);
  if (caller_gone_) co_return AttemptOutcome::kCallerGone;
  FollowDocument();
  const bool may_send =
      may_go_on && context_.dispatcher.MaySend(placement, admitted_.profile, Now());
  const bool has_lapsed = history_.attempts > 0 && !repeat_->MaySend(Now());
  if (!may_send || IsQuarantined() || has_lapsed) {
    context_.pool.Return(placement.backend.key, std::exchange(upstream_, nullptr));
    co_return AttemptOutcome::kWithheld;
  }
  ++history_.attempts;
  ++history_.may_have_run;
  if (repeat_ != nullptr) repeat_->NoteSent();
  was_heard_ = false;
  has_output_ = false;
  sent_ = Now();
  upstream_->StartRequest(UpstreamHead(placement, Now()), request_.body,
                          {request_id_, deadline_ - Now(), MayRepeat()});
  const AttemptOutcome outcome = OutcomeOfPath(co_await Converse(placement));
  if (outcome != AttemptOutcome::kWithheld) EndRepeat(outcome);
  if (ProvablyNotRun(outcome)) {
    --history_.may_have_run;
    GlobalCounters().backend_refusals_total.Add();
  }
  const std::shared_ptr<UpstreamConnection> used = std::exchange(upstream_, nullptr);
  context_.pool.Return(placement.backend.key, used);
  const bool is_silent = outcome == AttemptOutcome::kSilent || outcome == AttemptOutcome::kTimedOut;
  // Links may drop all open connections without a word while new ones work.
  if (is_silent) context_.pool.CloseIdle(placement.backend.key);
  if (caller_gone_) co_return AttemptOutcome::kCallerGone;
  co_return given_up_ ? AttemptOutcome::kGivenUp : outcome;
}

asio::awaitable<OpenedPath> Exchange::OpenUpstream(const Placement& placement) {
  // So that the caller's going ends the wait.
  const PathService::OnPending on_pending = [this](std::shared_ptr<UpstreamConnection> pending) {
    upstream_ = std::move(pending);
  };
  const RegionMap& regions = context_.dispatcher.Registry().Regions();
  const RegionSet allowed = regions.AllowedFor(admitted_.profile);
  OpenedPath opened =
      co_await context_.paths.Open(placement.backend, allowed, deadline_, on_pending);
  connect_result_ = opened.own;
  if (opened.verdict == PathVerdict::kEnded) {
    context_.quarantine.NoteEnded(placement.backend.key, Now());
  }
  co_return opened;
}

// What ended on the way says nothing of the back end.
AttemptOutcome Exchange::OutcomeOfPath(AttemptOutcome outcome) {
  if (upstream_->WasWithheld()) {
    --history_.attempts;
    if (repeat_ != nullptr) repeat_->NoteNotSent();
    return AttemptOutcome::kWithheld;
  }
  const bool is_of_connection = outcome == AttemptOutcome::kCut;
  return is_of_connection && upstream_->IsLostOnTheWay() ? AttemptOutcome::kPathLost : outcome;
}

std::string Exchange::UpstreamHead(const Placement& placement, TimePoint now) const {
  const WireNames& names = context_.format.Names();
  std::vector<std::string> without = names.reserved;
  without.insert(without.end(), {names.time_left, names.tenant, names.expected_instance,
                                 names.urgency, names.fetch_prefix_from, "Expect"});
  const bool strips_key = admitted_.table->NeedsKeys();
  if (strips_key) without.emplace_back("Authorization");
  if (!last_event_id_.empty()) without.emplace_back("Last-Event-ID");
  HttpHeaders headers = EndToEndHeaders(request_.headers, without);

  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
  headers.push_back({names.time_left, std::to_string(std::max<int64_t>(left.count(), 1))});
  headers.push_back({names.expected_instance, placement.backend.id});
  if (!admitted_.tenant.empty()) headers.push_back({names.tenant, admitted_.tenant});
  if (admitted_.profile.is_generation) {
    headers.push_back({names.urgency, context_.format.FormatUrgency(admitted_.tier)});
    if (!placement.fetch_prefix_from.empty()) {
      headers.push_back({names.fetch_prefix_from, placement.fetch_prefix_from});
    }
  }
  if (!last_event_id_.empty()) headers.push_back({"Last-Event-ID", last_event_id_});
  const bool has_body = !request_.body->empty() || request_.method != "GET";
  if (has_body) headers.push_back({"Content-Length", std::to_string(request_.body->size())});
  return RequestHeadText(request_.method, request_.target, headers);
}

TimePoint Exchange::Patience(const Placement& placement, TimePoint now) const {
  if (!MayRepeat() || history_.may_have_run >= admitted_.route->max_attempts) return deadline_;
  const Duration expected = FromSeconds(placement.first_output_ms / 1e3);
  const Duration patience = std::max<Duration>(
      kLeastFirstPatience, kPatienceGoals * (admitted_.route->first_output_goal + expected));
  return std::min(deadline_, now + patience);
}

Duration Exchange::PauseLimit() const {
  const Duration pause = admitted_.route->longest_pause.value_or(Duration(0));
  return std::max<Duration>(kLeastPausePatience, kPatiencePauses * pause);
}

AttemptOutcome Exchange::OutcomeOf(UpstreamError error, TimePoint deadline) const {
  if (caller_gone_) return AttemptOutcome::kCallerGone;
  switch (error) {
    case UpstreamError::kNone:
      return AttemptOutcome::kAnswered;
    case UpstreamError::kTimeout:
      return deadline >= deadline_ ? AttemptOutcome::kTimedOut : AttemptOutcome::kSilent;
    case UpstreamError::kMalformed:
      return AttemptOutcome::kSpoilt;
    case UpstreamError::kBroken:
      break;
  }
  return AttemptOutcome::kCut;
}

asio::awaitable<bool> Exchange::Answer(int status, std::string_view reason, HttpHeaders headers,
                                       std::string_view body, size_t body_bytes) {
  const bool has_body = !HasNoBody(status);
  if (has_body) headers.push_back({"Content-Length", std::to_string(body_bytes)});
  if (context_.draining) keep_alive_ = false;
  if (!keep_alive_) headers.push_back({"Connection", "close"});
  std::string text = ResponseHeadText(status, reason, headers);
  if (has_body && request_.method != "HEAD") text.append(body);
  bytes_out_ += static_cast<int64_t>(body_bytes);
  head_sent_ = true;
  status_sent_ = status;
  co_return co_await writer_->Write(text);
}

asio::awaitable<bool> Exchange::AnswerRefusal(ErrorKind kind, Duration retry_after) {
  const int status = HttpStatusFor(kind);
  HttpHeaders headers{{"Content-Type", "application/json"}};
  if (!request_id_.empty()) headers.push_back({context_.format.Names().request_id, request_id_});
  if (retry_after > Duration(0)) {
    headers.push_back({"Retry-After", RetryAfterText(retry_after)});
  }
  const Outcome outcome = history_.may_have_run > 0 ? Outcome::kUnknown : Outcome::kNotRun;
  const std::string body = json::serialize(
      json::object{{"error", {{"kind", ErrorKindName(kind)}, {"outcome", OutcomeName(outcome)}}}});
  bool sent = co_await Answer(status, ReasonOf(status), std::move(headers), body, body.size());
  if (sent) sent = co_await writer_->Finish();
  LogEnd(sent ? ErrorKindName(kind) : kCallerGoneResult, status);
  co_return sent&& keep_alive_;
}

}  // namespace cartsail
