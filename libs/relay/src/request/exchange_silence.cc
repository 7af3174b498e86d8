// Watches an attempt for silence of its back end. A silent back end may only be slow or paused, and
// then still completes the answer. So the attempt is given up only once another back end has begun
// to answer the same request: a retry for it was granted, and it was chosen, connected and able to
// run. Otherwise the attempt is waited for until the request's deadline.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "request/answer_notices.h"
#include "request/exchange.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kMinFirstOutputTimeout = milliseconds(300);
constexpr Duration kMinPauseTimeout = milliseconds(900);
// A retryable request waits for its first output for this multiple of goal plus expected time.
constexpr int kFirstOutputGoalFactor = 3;
// Multiple of the route's longest pause for which a resumable stream waits.
constexpr int kPauseFactor = 6;
// On a path that is known to be cut, data rarely arrives any more.
constexpr Duration kCutPathSilence = seconds(1);
// Between two searches for a back end that can take over from a silent one.
constexpr Duration kSearchInterval = milliseconds(200);
// A search that could not connect to its choice is repeated at once this often, with another
// choice.
constexpr int kMaxImmediateSearches = 2;
// A timer that fires later than this shows that this process did not run.
constexpr Duration kMaxTimerLateness = milliseconds(100);
// What was granted must be valid until the request is sent, some turns of the event loop later.
constexpr Duration kMoveMargin = milliseconds(20);
// For the rest of the head of an answer that has begun to arrive.
constexpr Duration kRefusalReadTime = milliseconds(100);
constexpr Duration kAnswerPollInterval = milliseconds(10);
constexpr Duration kLogInterval = seconds(1);  // between log lines about one attempt
// A back end that has been silent for this fraction of the attempt's own silence is not chosen to
// take over from it.
constexpr int kReplacementSilenceDivisor = 2;

}  // namespace

std::string_view SilenceDecisionName(SilenceDecision decision) {
  switch (decision) {
    case SilenceDecision::kSent:
      return "sent";
    case SilenceDecision::kMoved:
      return "moved";
    case SilenceDecision::kResumed:
      return "resumed";
    case SilenceDecision::kServiceSilent:
      return "service_silent";
    case SilenceDecision::kMayNotMove:
      return "may_not_move";
    case SilenceDecision::kVersionUnconfirmed:
      return "version_unconfirmed";
    case SilenceDecision::kNoRetry:
      return "no_retry";
    case SilenceDecision::kNoBackend:
      return "no_backend";
    case SilenceDecision::kNotConnected:
      return "not_connected";
    case SilenceDecision::kRefused:
      return "refused";
  }
  return "unknown";
}

asio::awaitable<bool> Exchange::SilenceWatch::SleepUntil(TimePoint time) {
  timer.expires_at(time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return Now() - time < kMaxTimerLateness;
}

void Exchange::StartSilenceWatch(const Placement& placement) {
  if (!MayRetry(*admitted_.route, AttemptOutcome::kSilent, history_)) return;
  silence_watch_ = std::make_shared<SilenceWatch>(context_.io);
  asio::co_spawn(context_.io, WatchSilence(shared_from_this(), silence_watch_, placement),
                 asio::detached);
}

void Exchange::EndSilenceWatch() {
  if (silence_watch_ == nullptr) return;
  silence_watch_->ended = true;
  silence_watch_->timer.cancel();
  silence_watch_.reset();
}

Duration Exchange::FirstOutputTimeout(const Placement& placement) const {
  const Duration expected = FromSeconds(placement.first_output_ms / 1e3);
  return std::max<Duration>(
      kMinFirstOutputTimeout,
      kFirstOutputGoalFactor * (admitted_.route->first_output_goal + expected));
}

Duration Exchange::PauseTimeout() const {
  const Duration pause = admitted_.route->longest_pause.value_or(Duration(0));
  return std::max<Duration>(kMinPauseTimeout, kPauseFactor * pause);
}

// While a slow caller keeps this node from reading, nothing is known about the back end.
TimePoint Exchange::SilentFrom(const Placement& placement) const {
  const TimePoint now = Now();
  if (!is_reading_) return now + kSearchInterval;
  std::optional<Duration> timeout = silence_timeout_;
  const bool is_cut = via_node_.empty() && context_.paths.IsCut(placement.backend.key);
  if (is_cut) timeout = std::min(timeout.value_or(kCutPathSilence), kCutPathSilence);
  return timeout.has_value() ? waiting_since_ + *timeout : TimePoint::max();
}

asio::awaitable<void> Exchange::WatchSilence(std::shared_ptr<Exchange> self,
                                             std::shared_ptr<SilenceWatch> watch,
                                             Placement placement) {
  bool has_read_all = true;
  while (!watch->ended) {
    const TimePoint now = Now();
    // The path may be found cut meanwhile.
    TimePoint next = std::min(self->SilentFrom(placement), now + kCutPathSilence);
    if (!has_read_all) next = std::max(next, now + kSearchInterval);
    if (now < next) {
      has_read_all = co_await watch->SleepUntil(next);
      continue;
    }
    const SilenceDecision decision = co_await self->ReplaceSilent(watch, placement);
    // A retry that another node lent is spent even if it is not used; one of this node is returned.
    const bool is_own = watch->retry != nullptr && watch->retry->Lender().empty();
    if (is_own) watch->retry.reset();
    if (watch->ended) co_return;
    self->NoteSilence(*watch, placement, decision);
    if (decision == SilenceDecision::kMoved) co_return self->upstream_->Close();
    const bool found_none =
        decision == SilenceDecision::kNotConnected || decision == SilenceDecision::kRefused;
    const bool is_next_search_due = found_none && watch->failed_searches++ < kMaxImmediateSearches;
    if (!is_next_search_due) has_read_all = co_await watch->SleepUntil(Now() + kSearchInterval);
  }
}

// True if the rest of the answer may come from another back end.
bool Exchange::MayMove() const {
  if (is_trial_ || bound_to_backend_) return false;
  if (!MayRetry(*admitted_.route, AttemptOutcome::kSilent, history_)) return false;
  return !IsQuarantined() && deadline_ - Now() >= kMinTimeForAttempt;
}

void Exchange::NoteEvidence(const Placement& placement) {
  silence_ =
      context_.paths.EvidenceOf(placement.backend, !via_node_.empty(), waiting_since_, Now());
}

asio::awaitable<SilenceDecision> Exchange::ReplaceSilent(std::shared_ptr<SilenceWatch> watch,
                                                         Placement silent) {
  const TimePoint since = waiting_since_;
  NoteEvidence(silent);
  if (!MayMove()) co_return SilenceDecision::kMayNotMove;
  std::optional<TrialTarget> trial;
  if (silence_.IsServiceWide()) {
    trial = context_.paths.TakeTrial(silent.backend.service, Now());
    if (!trial.has_value()) co_return SilenceDecision::kServiceSilent;
  }
  if (!co_await IsVersionConfirmed()) co_return SilenceDecision::kVersionUnconfirmed;
  if (watch->ended) co_return SilenceDecision::kResumed;
  RefreshResidency();
  admitted_.profile.version = stream_version_;
  const std::vector<BackendKey> excluded = ExcludedAsReplacements(*watch, trial);
  // Looks before it places: a placement counts as load and against the limits of the back end.
  if (!context_.dispatcher.HasReadyBesides(excluded, admitted_.profile, Now())) {
    watch->unusable.clear();
    co_return SilenceDecision::kNoBackend;
  }
  const bool has_retry = watch->retry != nullptr && watch->retry->MaySend(Now());
  if (!has_retry) watch->retry = co_await context_.retries.Take(admitted_.profile.service);
  if (watch->retry == nullptr) co_return SilenceDecision::kNoRetry;
  if (watch->ended) co_return SilenceDecision::kResumed;
  const PlacementResult result = co_await context_.placement.Place(admitted_.profile, excluded);
  if (!result.placement.has_value()) co_return SilenceDecision::kNoBackend;
  const auto found = std::make_shared<Replacement>();
  found->placement = *result.placement;
  if (trial.has_value() || silence_.connections_died)
    context_.pool.CloseIdle(found->placement.backend.key);
  const bool is_connected = co_await ConnectReplacement(*watch, *found);
  const bool is_still_silent = !watch->ended && is_reading_ && waiting_since_ == since;
  if (!is_connected || !is_still_silent || !MayMove()) {
    watch->unusable.push_back(found->placement.backend.key);
    if (!is_still_silent) watch->retry.reset();
    ReleaseReplacement(*found);
    co_return is_still_silent ? SilenceDecision::kNotConnected : SilenceDecision::kResumed;
  }
  found->retry = std::move(watch->retry);
  const bool was_silent = IsSilentBackend(found->placement.backend.key);
  SendToReplacement(*found);
  NoteSilence(*watch, silent, SilenceDecision::kSent);
  const TimePoint last = *found->sent + FirstOutputTimeout(found->placement);
  while (candidate_ == found && !HasBegunToAnswer(*found->connection)) {
    if (Now() >= last && MayMove()) {
      DropCandidate();
      co_return SilenceDecision::kRefused;
    }
    (void)co_await watch->SleepUntil(Now() + kAnswerPollInterval);
  }
  // The silent attempt has sent data or ended meanwhile, and decided what becomes of the other.
  if (candidate_ != found) co_return SilenceDecision::kResumed;
  candidate_ = nullptr;
  if (!IsSuccess(found->connection->PeekStatus().value_or(0))) {
    found->outcome = co_await ReadRefusal(*found);
    if (ProvablyNotRun(found->outcome)) --history_.may_have_run;
    if (found->outcome == AttemptOutcome::kWithheld) {
      --history_.attempts;
      found->retry->NoteNotSent();
    }
    ReleaseReplacement(*found);
    co_return SilenceDecision::kRefused;
  }
  // A back end that has just woken up answers on its old connections too, or late.
  const bool is_prompt = Now() - *found->sent < FirstOutputTimeout(found->placement);
  const bool is_awake = context_.paths.WasHeardSince(found->placement.backend.key, *found->sent);
  if (trial.has_value() && was_silent && is_prompt && !is_awake) {
    context_.paths.NoteTrialAnswered(silent.backend.service, Now());
  }
  NoteEvidence(silent);
  replacement_ = found;
  co_return SilenceDecision::kMoved;
}

// Some back ends send the head of a stream at once: only an event shows that they are able to run.
bool Exchange::HasBegunToAnswer(UpstreamConnection& connection) const {
  if (connection.IsQuiet()) return false;
  const bool is_stream = admitted_.route->kind == RequestKind::kStream;
  const bool is_success = IsSuccess(connection.PeekStatus().value_or(0));
  return !is_stream || !is_success || connection.HasBodyData();
}

asio::awaitable<AttemptOutcome> Exchange::ReadRefusal(const Replacement& found) {
  UpstreamConnection& connection = *found.connection;
  const bool is_head_request = request_.method == "HEAD";
  ResponseHead head;
  const UpstreamError error =
      co_await connection.ReadHead(&head, is_head_request, Now() + kRefusalReadTime);
  if (connection.WasWithheld()) co_return AttemptOutcome::kWithheld;
  if (connection.IsLostOnTheWay()) co_return AttemptOutcome::kPathLost;
  if (error == UpstreamError::kMalformed) co_return AttemptOutcome::kSpoilt;
  if (error != UpstreamError::kNone) co_return AttemptOutcome::kCut;
  NoteAnswer(context_, found.placement.backend, {head.status, head.headers, *found.sent});
  if (head.status == 421) co_return AttemptOutcome::kWrongInstance;
  const bool has_run = head.Header(context_.format.Names().not_run).empty();
  co_return has_run ? AttemptOutcome::kFailedAnswer : AttemptOutcome::kRefused;
}

void Exchange::SendToReplacement(Replacement& found) {
  ++history_.attempts;
  ++history_.may_have_run;
  tried_.push_back(found.placement.backend.key);
  found.retry->NoteSent();
  NoteRetryDecision(found.retry.get());
  found.sent = Now();
  NoteKnownWhenSent();
  found.connection->StartRequest(UpstreamHead(found.placement, *found.sent), request_.body,
                                 {request_id_, deadline_ - *found.sent});
  candidate_ = found.shared_from_this();
}

void Exchange::DropCandidate() {
  if (candidate_ == nullptr) return;
  const std::shared_ptr<Replacement> dropped = std::exchange(candidate_, nullptr);
  dropped->outcome = AttemptOutcome::kGivenUp;
  ReleaseReplacement(*dropped);
}

void Exchange::AdoptCandidate() { replacement_ = std::exchange(candidate_, nullptr); }

asio::awaitable<bool> Exchange::ConnectReplacement(const SilenceWatch& watch, Replacement& found) {
  const Placement& placement = found.placement;
  if (watch.ended || !co_await CanStartAt(placement)) co_return false;
  const PathService::OnPending nobody = [](const std::shared_ptr<UpstreamConnection>&) {};
  const OpenedPath opened = co_await OpenPath(placement, nobody);
  found.connection = opened.connection;
  if (found.connection == nullptr) {
    found.outcome = OutcomeOfFailedOpen(opened);
    co_return false;
  }
  if (!co_await CanResumeAt(placement, *found.connection)) co_return false;
  co_await context_.WaitForNews();
  RefreshResidency();
  const TimePoint sent_by = Now() + kMoveMargin;
  co_return watch.retry->MaySend(sent_by) &&
      context_.dispatcher.MaySend(placement, admitted_.profile, sent_by);
}

bool Exchange::IsSilentBackend(BackendKey backend) {
  const TimePoint now = Now();
  const Duration silence = silence_.silent_for / kReplacementSilenceDivisor;
  const std::vector<BackendKey> silent =
      SilentBackends(silence, now, context_.paths.ActivityOf(admitted_.profile.service, now));
  return std::find(silent.begin(), silent.end(), backend) != silent.end();
}

std::vector<BackendKey> Exchange::ExcludedAsReplacements(const SilenceWatch& watch,
                                                         std::optional<TrialTarget> trial) {
  const TimePoint now = Now();
  const Duration silence = silence_.silent_for / kReplacementSilenceDivisor;
  const std::vector<BackendActivity>& service =
      context_.paths.ActivityOf(admitted_.profile.service, now);
  std::vector<BackendKey> excluded = tried_;
  const auto exclude = [&excluded](const std::vector<BackendKey>& backends) {
    excluded.insert(excluded.end(), backends.begin(), backends.end());
  };
  exclude(watch.unusable);
  if (silence_.connections_died) return excluded;
  if (trial.has_value()) exclude(SpeakingBackends(silence, now, service));
  if (trial == TrialTarget::kSilent) return excluded;
  const std::vector<BackendKey> without_silent = excluded;
  exclude(SilentBackends(silence, now, service));
  const bool has_idle = context_.dispatcher.HasReadyBesides(excluded, admitted_.profile, now);
  return trial.has_value() && !has_idle ? without_silent : excluded;
}

void Exchange::ReleaseReplacement(Replacement& found) {
  if (found.sent.has_value()) {
    const bool may_be_in_transit = found.outcome == AttemptOutcome::kGivenUp;
    CloseRetry(std::move(found.retry), may_be_in_transit);
    found.connection->Close();
  }
  FinishAttempt(found.placement, found.outcome, Now(), traits_);
  if (found.connection == nullptr) return;
  context_.pool.Return(found.placement.backend.key, std::move(found.connection));
}

// Logs the first decision about an attempt and what is sent or moved; of the others, those that
// differ from the one logged before, at most one a second.
void Exchange::NoteSilence(SilenceWatch& watch, const Placement& placement,
                           SilenceDecision decision) {
  const TimePoint now = Now();
  Counters& counters = GlobalCounters();
  const bool is_first = !watch.decided.has_value();
  const bool is_moved = decision == SilenceDecision::kMoved;
  const std::shared_ptr<Replacement>& other = is_moved ? replacement_ : candidate_;
  if (is_first) counters.silent_attempts_total.Add();
  if (is_moved) counters.silent_attempts_moved_total.Add();
  if (decision != SilenceDecision::kServiceSilent && !std::exchange(watch.idle_closed, true)) {
    // The idle connections may be silent for good although new ones work.
    context_.pool.CloseIdle(placement.backend.key);
  }
  const bool is_sent_or_moved = is_moved || decision == SilenceDecision::kSent;
  const bool is_news = watch.decided != decision && now - watch.logged >= kLogInterval;
  if (!is_sent_or_moved && !is_news) return;
  watch.decided = decision;
  watch.logged = now;
  if (decision == SilenceDecision::kNoRetry) NoteRetryDecision(nullptr);
  Log(LogLevel::kWarning, "silence",
      {{"request", request_id_},
       {"service", placement.backend.service},
       {"backend", placement.backend.id},
       {"decision", std::string(SilenceDecisionName(decision))},
       {"to", other == nullptr ? "" : other->placement.backend.id},
       {"silent_ms", fmt::format("{:.0f}", ToMillis(silence_.silent_for))},
       {"backend_speaks", silence_.backend_speaks ? "true" : "false"},
       {"others_silent", std::to_string(silence_.others_silent)},
       {"others_speaking", std::to_string(silence_.others_speaking)},
       {"path_cut", silence_.is_path_cut ? "true" : "false"},
       {"connections_died", silence_.connections_died ? "true" : "false"},
       {"unreachable", silence_.is_unreachable ? "true" : "false"},
       {"over", via_node_},
       {"head_sent", head_sent_ ? "true" : "false"},
       {"last_event", last_event_id_},
       {"left_ms", fmt::format("{:.0f}", ToMillis(deadline_ - now))}});
}

}  // namespace cartsail
