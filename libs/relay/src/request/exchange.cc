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

constexpr Duration kRetryAfterNotRun = milliseconds(100);
// The node that started the stream may be about to announce it, or the store to come back.
constexpr Duration kRetryAfterUnknownStream = milliseconds(250);
// A process of that version may start again; a new stream could start at once.
constexpr Duration kRetryAfterVersionGone = milliseconds(1000);
// A starting node has its catalog after 0.05 to 0.3 s. Requests that arrive earlier wait for it: a
// refusal would cost the caller one of its few retries.
constexpr Duration kCatalogWaitLimit = milliseconds(300);
constexpr Duration kCatalogPollInterval = milliseconds(10);
// A back end that has written an answer for this long has not crashed on its prompt.
constexpr Duration kPromptCrashTime = milliseconds(500);
// Data received on this node's own path within this time proves that the path works.
constexpr Duration kPathEvidenceAge = milliseconds(500);

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

// A failure seen through another node may be caused by that node's path to the back end. Only kCut
// is kept: there the other node has reported that the back end's process ended.
AttemptOutcome OutcomeViaPeer(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kCut ? outcome : AttemptOutcome::kPathLost;
}

// True if either the back end or the network path to it may have caused the failure.
bool MayBePathFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kCut || outcome == AttemptOutcome::kSilent ||
         outcome == AttemptOutcome::kTimedOut;
}

}  // namespace

Exchange::Exchange(RelayContext& context, std::shared_ptr<CallerConnection> caller,
                   std::shared_ptr<RequestMemory> memory, CallerRequest request)
    : context_(context),
      caller_(std::move(caller)),
      memory_(std::move(memory)),
      writer_(std::make_shared<AnswerWriter>(context.io, caller_, memory_)),
      request_(std::move(request)) {
  keep_alive_ = request_.keep_alive && !request_.http_1_0;
}

asio::awaitable<void> Exchange::WaitForCatalog() {
  const TimePoint last = request_.received + kCatalogWaitLimit;
  Timer timer(context_.io);
  while (!context_.HasCatalog() && Now() < last) {
    timer.expires_after(kCatalogPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<bool> Exchange::Run() {
  GlobalCounters().requests_total.Add();
  const WireNames& names = context_.format.Names();
  request_id_ = std::string(request_.Header(names.request_id));
  if (context_.refusing) co_return co_await AnswerRefusal(ErrorKind::kDraining, kRetryAfterNotRun);
  co_await WaitForCatalog();
  co_await context_.WaitForNews();
  if (context_.refusing) co_return co_await AnswerRefusal(ErrorKind::kDraining, kRetryAfterNotRun);
  head_.method = request_.method;
  head_.target = request_.target;
  head_.host = std::string(request_.Header("Host"));
  head_.request_id = request_id_;
  head_.authorization = std::string(request_.Header("Authorization"));
  head_.time_left = std::string(request_.Header(names.time_left));
  head_.prompt_parts = std::string(request_.Header(names.prompt_parts));
  head_.token_counts = std::string(request_.Header(names.token_counts));
  head_.resumes = std::string(request_.Header(names.resumes));
  resumes_ = head_.resumes;

  AdmissionResult result =
      Admit(head_, context_.routing, context_.format,
            context_.document_limits.max_age_to_refuse_unknown, request_.received);
  admitted_ = std::move(result.admitted);
  traits_.request = FingerprintOf({request_.method, head_.host, head_.target, admitted_.tenant,
                                   std::string_view(*request_.body)});
  prompt_parts_ = context_.format.ParsePromptParts(head_.prompt_parts);
  traits_.shared = SharedPartsOf(admitted_.profile.service, prompt_parts_);
  residency_table_ = admitted_.table;
  if (result.refusal.has_value()) {
    if (admitted_.route != nullptr) LogResidencyRefusal("no_common_region");
    co_return co_await AnswerRefusal(result.refusal->kind, result.refusal->retry_after);
  }
  deadline_ = request_.received + admitted_.time_left;
  last_event_id_ = std::string(request_.Header("Last-Event-ID"));

  GlobalCounters().requests_in_flight.Set(++context_.requests_in_flight);
  context_.running.insert(this);
  caller_->WatchForClose([weak = weak_from_this()] {
    const std::shared_ptr<Exchange> self = weak.lock();
    if (self == nullptr) return;
    self->caller_gone_ = true;
    if (self->upstream_ != nullptr) self->upstream_->Close();
  });
  memory_->SetAbortHandler([weak = weak_from_this()](int64_t bytes, Duration stalled_for) {
    const std::shared_ptr<Exchange> self = weak.lock();
    if (self != nullptr) self->AbortForMemory(bytes, stalled_for);
  });
  const auto on_quarantined = [weak = weak_from_this()] {
    const std::shared_ptr<Exchange> self = weak.lock();
    if (self != nullptr) self->OnQuarantined();
  };
  const QuarantineService::WatchId watch = context_.quarantine.Watch(traits_, on_quarantined);
  const bool keep = co_await RunAdmitted();
  if (is_trial_ && history_.attempts == 0) context_.quarantine.ReturnTrial(traits_, Now());
  context_.quarantine.Unwatch(watch);
  caller_->StopWatch();
  context_.running.erase(this);
  GlobalCounters().requests_in_flight.Set(--context_.requests_in_flight);
  co_return keep && !caller_gone_;
}

// The node may have begun to refuse requests while this one waited. Sent now, it might be cut when
// the process ends.
bool Exchange::MustNotBegin() const { return context_.refusing && history_.attempts == 0; }

bool Exchange::IsRetryable() const {
  const RouteRule& route = *admitted_.route;
  if (route.kind == RequestKind::kRepeatable) return true;
  return route.kind == RequestKind::kStream && route.resumable;
}

asio::awaitable<bool> Exchange::RunAdmitted() {
  context_.retries.NoteRequest(admitted_.profile.service, request_.received);
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  follows_versions_ = FollowsVersions();
  is_trial_ = IsQuarantined() && context_.quarantine.TakeTrial(traits_, Now());
  const bool is_resumption = !last_event_id_.empty() || !resumes_.empty();
  bool is_bound = false;  // to the version of the stream that it takes up
  while (true) {
    RefreshResidency();
    if (IsQuarantined()) break;
    if (MustNotBegin()) {
      co_return co_await AnswerRefusal(ErrorKind::kDraining, kRetryAfterNotRun);
    }
    follows_versions_ = FollowsVersions();
    // The list of back ends may come after the request did. Once something was sent, the refusal
    // would be wrong.
    const bool must_bind = follows_versions_ && is_resumption && history_.attempts == 0;
    if (must_bind && !std::exchange(is_bound, true) && !co_await LookUpVersion()) {
      GlobalCounters().stream_take_ups_unknown_total.Add();
      co_return co_await AnswerRefusal(ErrorKind::kStreamVersionUnknown, kRetryAfterUnknownStream);
    }
    const std::optional<Placement> placement = co_await NextPlacement();
    if (!placement.has_value()) break;
    if (caller_gone_) {
      context_.placement.Finish(placement->ticket, AttemptOutcome::kCallerGone, Now());
      break;
    }
    last_backend_ = placement->backend.id;
    last_version_ = placement->backend.version;
    placed_by_ = placement->placed_by;
    outcome = co_await Attempt(*placement);
    LogAttempt(*placement, outcome);
    if (MayBePathFailure(outcome) && via_node_.empty()) {
      asio::co_spawn(context_.io, DiagnoseAttempt(shared_from_this(), *placement, outcome),
                     asio::detached);
    } else {
      FinishAttempt(*placement, MayBePathFailure(outcome) ? OutcomeViaPeer(outcome) : outcome,
                    Now(), TraitsInFlight(Now()));
    }
    if (caller_gone_) break;
    if (outcome == AttemptOutcome::kAnswered) {
      // The back end is already free while the caller reads the rest.
      if (!co_await writer_->Finish())
        co_return co_await FinishUnanswered(AttemptOutcome::kCallerGone);
      LogAnswered();
      co_return keep_alive_;
    }
    // All of the following was checked for the replacement.
    if (replacement_ != nullptr && outcome != AttemptOutcome::kTimedOut) continue;
    if (is_trial_ || bound_to_backend_) break;
    if (!MayRetry(*admitted_.route, outcome, history_)) break;
    if (!co_await IsVersionConfirmed()) break;
    if (deadline_ - Now() < kMinTimeForAttempt) break;
    if (!co_await AcquireRetry()) break;
  }
  co_return co_await FinishUnanswered(outcome);
}

asio::awaitable<std::optional<Placement>> Exchange::NextPlacement() {
  if (replacement_ != nullptr) co_return replacement_->placement;
  admitted_.profile.version = stream_version_;
  const PlacementResult result = co_await context_.placement.Place(admitted_.profile, tried_);
  metered_wait_ = result.metered_wait;
  if (result.placement.has_value()) tried_.push_back(result.placement->backend.key);
  co_return result.placement;
}

// Applies the current data residency: the routing document may have changed while the request
// waited.
void Exchange::RefreshResidency() {
  if (residency_table_ == context_.routing.Table()) return;
  residency_table_ = context_.routing.Table();
  Residency& residency = admitted_.profile.residency;
  residency = ReevaluateResidency(*residency_table_, head_, residency);
}

// True if the request is subject to a data residency that no ready back end satisfies.
bool Exchange::HasNoPermittedBackend(TimePoint now) {
  const RequestProfile& profile = admitted_.profile;
  return profile.residency.has_value() && context_.dispatcher.ReadyFor(profile, now) == 0;
}

bool Exchange::IsQuarantined() const {
  return !is_trial_ && context_.quarantine.LeftFor(traits_, Now()).has_value();
}

// As long as the back end has not started to answer, the request may still be queued there: closing
// the connection removes it from the queue before it crashes another back end.
void Exchange::OnQuarantined() {
  if (is_trial_) return;
  DropCandidate();
  if (upstream_ == nullptr || has_output_) return;
  aborted_ = true;
  upstream_->Close();
}

void Exchange::AbortForMemory(int64_t bytes, Duration stalled_for) {
  aborted_for_memory_ = true;
  caller_gone_ = true;
  GlobalCounters().answers_cut_for_memory_total.Add();
  Log(LogLevel::kWarning, "answer_given_up",
      {{"request", request_id_},
       {"bytes", std::to_string(bytes)},
       {"left_alone_ms", fmt::format("{:.0f}", ToMillis(stalled_for))},
       {"held", std::to_string(context_.request_memory->Total())},
       {"limit", std::to_string(context_.request_memory->Limit())}});
  caller_->Close();
  if (upstream_ != nullptr) upstream_->Close();
}

void Exchange::OnProcessEnding() {
  if (head_sent_) return;
  deadline_ = std::min(deadline_, Now());
  if (upstream_ != nullptr) upstream_->Close();
}

void Exchange::FinishAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended,
                             const RequestTraits& traits) {
  context_.placement.Finish(placement.ticket, outcome, Now());
  NoteEndOfAttempt(placement, outcome, ended, traits);
}

RequestTraits Exchange::TraitsInFlight(TimePoint now) const {
  if (!has_output_ || now - attempt_output_ < kPromptCrashTime) return traits_;
  return {traits_.request, {traits_.shared.service, {}}};
}

// Finds out whether the back end or the path failed, then reports the outcome. Runs beside the
// request, which is retried meanwhile.
asio::awaitable<void> Exchange::DiagnoseAttempt(std::shared_ptr<Exchange> self, Placement placement,
                                                AttemptOutcome outcome) {
  // Everything that was cut by one event is reported with the time of the event, however long each
  // examination takes: simultaneous failures are judged differently from successive ones.
  const TimePoint ended = Now();
  const RequestTraits traits = self->TraitsInFlight(ended);
  // After a break, data received earlier proves nothing about the path; after silence it does.
  const Duration evidence_age = outcome == AttemptOutcome::kCut ? Duration(0) : kPathEvidenceAge;
  const TimePoint since = ended - evidence_age;
  const PathVerdict verdict = co_await self->context_.paths.Examine(placement.backend, since);
  const bool is_path = verdict == PathVerdict::kCut;
  self->FinishAttempt(placement, is_path ? AttemptOutcome::kPathLost : outcome, ended, traits);
  if (verdict == PathVerdict::kEnded) {
    self->context_.quarantine.NoteEnded(placement.backend.key, Now());
  }
}

void Exchange::NoteEndOfAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended,
                                const RequestTraits& traits) {
  const TimePoint now = Now();
  if (outcome == AttemptOutcome::kCut) {
    context_.quarantine.NoteBroken(traits, placement.backend, ended);
  } else if (outcome == AttemptOutcome::kWrongInstance) {
    context_.quarantine.NoteReplaced(placement.backend.key, now);
  } else if (outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kFailedAnswer) {
    // A failure may come from a back end that has not begun to read the prompt.
    const bool is_success = outcome == AttemptOutcome::kAnswered && is_answering_;
    context_.quarantine.NoteCompleted(is_success ? traits_ : RequestTraits{traits_.request, {}},
                                      now);
  }
}

asio::awaitable<bool> Exchange::AcquireRetry() {
  // A retry is charged only if bytes of the request were sent to a back end before.
  if (history_.attempts == 0) co_return true;
  if (retry_ != nullptr && retry_->MaySend(Now())) co_return true;
  retry_.reset();
  retry_ = co_await context_.retries.Take(admitted_.profile.service);
  NoteRetryDecision(retry_.get());
  co_return retry_ != nullptr;
}

void Exchange::ReleaseRetry(AttemptOutcome outcome) {
  const bool is_unanswered = outcome == AttemptOutcome::kSilent ||
                             outcome == AttemptOutcome::kTimedOut ||
                             outcome == AttemptOutcome::kPathLost || caller_gone_ || aborted_;
  CloseRetry(std::move(retry_), !has_matching_head_ && is_unanswered);
}

void Exchange::CloseRetry(std::unique_ptr<RetryTicket> retry, bool may_be_in_transit) {
  const TimePoint now = Now();
  // Bytes in transit on a silent path reach the back end when the path recovers.
  if (may_be_in_transit) in_transit_until_ = now + context_.options.retry_budget.window;
  if (retry != nullptr) retry->Close(std::max(now, in_transit_until_));
}

asio::awaitable<bool> Exchange::FinishUnanswered(AttemptOutcome last) {
  if (replacement_ != nullptr) candidate_ = std::exchange(replacement_, nullptr);
  DropCandidate();
  if (caller_gone_ || last == AttemptOutcome::kCallerGone) {
    LogEnd(aborted_for_memory_ ? kCutForMemoryResult : kCallerGoneResult, status_sent_);
    caller_->Close();
    co_return false;
  }
  if (head_sent_) {
    // Part of the answer was forwarded: closing the connection shows the caller that it is cut.
    (void)co_await writer_->Finish();
    LogEnd(kCutResult, status_sent_);
    caller_->Close();
    co_return false;
  }
  const TimePoint now = Now();
  quarantined_for_ = context_.quarantine.ReasonFor(traits_, now);
  if (history_.may_have_run == 0 && quarantined_for_.has_value()) {
    GlobalCounters().quarantine_refusals_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kQuarantined, quarantined_for_->until - now);
  }
  if (history_.may_have_run == 0 && HasNoPermittedBackend(Now())) {
    LogResidencyRefusal("no_backend");
    co_return co_await AnswerRefusal(ErrorKind::kNoBackend, kRetryAfterNotRun);
  }
  const bool has_no_version_backend =
      !stream_version_.empty() && context_.dispatcher.ReadyFor(admitted_.profile, Now()) == 0;
  if (history_.may_have_run == 0 && has_no_version_backend) {
    GlobalCounters().stream_take_ups_gone_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kStreamVersionGone, kRetryAfterVersionGone);
  }
  if (history_.may_have_run == 0) {
    const Dispatcher::Backoffs backoffs = context_.dispatcher.BackoffsFor(admitted_.profile, Now());
    if (backoffs.all) GlobalCounters().backoff_refusals_total.Add();
    co_return co_await AnswerRefusal(ErrorKind::kOverloaded, RefusalRetryAfter(backoffs));
  }
  const bool out_of_time = last == AttemptOutcome::kTimedOut || last == AttemptOutcome::kSilent;
  co_return co_await AnswerRefusal(out_of_time ? ErrorKind::kTimeout : ErrorKind::kBackendFailed,
                                   Duration(0));
}

// Retry-After for a request that was not run: the time until some back end may accept it.
Duration Exchange::RefusalRetryAfter(const Dispatcher::Backoffs& backoffs) const {
  if (metered_wait_.has_value())
    return std::min(*metered_wait_, backoffs.shortest.value_or(*metered_wait_));
  // With a shorter time the caller would be refused again, e.g. after 0.1 s with 2.5 s of back-off
  // left.
  return backoffs.all ? *backoffs.shortest : kRetryAfterNotRun;
}

asio::awaitable<AttemptOutcome> Exchange::Attempt(const Placement& placement) {
  answer_ = {};
  answer_end_.reset();
  silence_ = {};
  if (replacement_ != nullptr) {
    TakeReplacement();
    co_return co_await RunAttempt(placement);
  }
  if (!co_await CanStartAt(placement)) co_return AttemptOutcome::kWithheld;
  const OpenedPath opened = co_await OpenUpstream(placement);
  upstream_ = opened.connection;
  via_node_ = upstream_ == nullptr ? std::string() : upstream_->Over();
  if (caller_gone_) co_return AttemptOutcome::kCallerGone;
  if (upstream_ == nullptr) {
    ++history_.connects_failed;
    co_return OutcomeOfFailedOpen(opened);
  }
  const bool may_go_on = co_await CanResumeAt(placement, *upstream_);
  co_await context_.WaitForNews();
  if (caller_gone_) co_return AttemptOutcome::kCallerGone;
  RefreshResidency();
  const bool may_send = may_go_on && !MustNotBegin() &&
                        context_.dispatcher.MaySend(placement, admitted_.profile, Now());
  const bool retry_expired = history_.attempts > 0 && !retry_->MaySend(Now());
  if (!may_send || IsQuarantined() || retry_expired) {
    context_.pool.Return(placement.backend.key, std::exchange(upstream_, nullptr));
    co_return AttemptOutcome::kWithheld;
  }
  if (Now() >= deadline_) {
    context_.pool.Return(placement.backend.key, std::exchange(upstream_, nullptr));
    co_return AttemptOutcome::kTimedOut;
  }
  ++history_.attempts;
  ++history_.may_have_run;
  if (retry_ != nullptr) retry_->NoteSent();
  sent_ = Now();
  NoteKnownWhenSent();
  upstream_->StartRequest(UpstreamHead(placement, sent_), request_.body,
                          {request_id_, deadline_ - sent_});
  co_return co_await RunAttempt(placement);
}

void Exchange::NoteKnownWhenSent() {
  list_when_sent_ = context_.backend_list;
  verified_when_sent_ = context_.verification.Verified();
}

// The request was sent to it before the silent attempt was ended.
void Exchange::TakeReplacement() {
  const std::shared_ptr<Replacement> ready = std::exchange(replacement_, nullptr);
  upstream_ = std::move(ready->connection);
  via_node_ = upstream_->Over();
  retry_ = std::move(ready->retry);
  sent_ = *ready->sent;
  connect_result_ = ConnectResult::kConnected;
}

// Runs an attempt from the sending of the request to its end.
asio::awaitable<AttemptOutcome> Exchange::RunAttempt(const Placement& placement) {
  has_matching_head_ = false;
  is_answering_ = false;
  has_output_ = false;
  StartSilenceWatch(placement);
  const AttemptOutcome outcome = OutcomeOfPath(co_await ExchangeWithBackend(placement));
  EndSilenceWatch();
  const bool is_over = outcome == AttemptOutcome::kAnswered || caller_gone_ || aborted_ ||
                       outcome == AttemptOutcome::kTimedOut;
  if (is_over) {
    DropCandidate();
  } else if (candidate_ != nullptr) {
    AdoptCandidate();
  }
  if (outcome != AttemptOutcome::kAnswered) NoteEvidence(placement);
  if (outcome != AttemptOutcome::kWithheld) ReleaseRetry(outcome);
  if (ProvablyNotRun(outcome)) {
    --history_.may_have_run;
    GlobalCounters().backend_refusals_total.Add();
  }
  const std::shared_ptr<UpstreamConnection> used = std::exchange(upstream_, nullptr);
  context_.pool.Return(placement.backend.key, used);
  // A link may silently drop all open connections while new ones work.
  if (outcome == AttemptOutcome::kTimedOut) context_.pool.CloseIdle(placement.backend.key);
  if (caller_gone_) co_return AttemptOutcome::kCallerGone;
  co_return aborted_ ? AttemptOutcome::kGivenUp : outcome;
}

asio::awaitable<OpenedPath> Exchange::OpenUpstream(const Placement& placement) {
  // Lets a disconnect of the caller end the wait.
  const PathService::OnPending on_pending = [this](std::shared_ptr<UpstreamConnection> pending) {
    upstream_ = std::move(pending);
  };
  const OpenedPath opened = co_await OpenPath(placement, on_pending);
  connect_result_ = opened.own;
  co_return opened;
}

asio::awaitable<OpenedPath> Exchange::OpenPath(const Placement& placement,
                                               PathService::OnPending on_pending) {
  const RegionMap& regions = context_.dispatcher.Registry().Regions();
  const RegionSet allowed = regions.AllowedFor(admitted_.profile);
  OpenedPath opened =
      co_await context_.paths.Open(placement.backend, allowed, deadline_, std::move(on_pending));
  if (opened.verdict == PathVerdict::kEnded) {
    context_.quarantine.NoteEnded(placement.backend.key, Now());
  }
  co_return opened;
}

AttemptOutcome Exchange::OutcomeOfFailedOpen(const OpenedPath& opened) const {
  if (Now() >= deadline_) return AttemptOutcome::kTimedOut;
  return opened.says_nothing_of_backend ? AttemptOutcome::kNoPath : AttemptOutcome::kNotSent;
}

// A connection that was lost in the network does not reflect on the back end.
AttemptOutcome Exchange::OutcomeOfPath(AttemptOutcome outcome) {
  if (upstream_->WasWithheld()) {
    --history_.attempts;
    if (retry_ != nullptr) retry_->NoteNotSent();
    return AttemptOutcome::kWithheld;
  }
  const bool is_of_connection = outcome == AttemptOutcome::kCut;
  // The attempt was ended here, as another back end takes over.
  if (is_of_connection && replacement_ != nullptr) return AttemptOutcome::kSilent;
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

AttemptOutcome Exchange::OutcomeOf(UpstreamError error) const {
  if (caller_gone_) return AttemptOutcome::kCallerGone;
  // Without this, an attempt that this node ended for want of time would look broken.
  if (error == UpstreamError::kBroken && Now() >= deadline_) return AttemptOutcome::kTimedOut;
  switch (error) {
    case UpstreamError::kNone:
      return AttemptOutcome::kAnswered;
    case UpstreamError::kTimeout:
      return AttemptOutcome::kTimedOut;
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
