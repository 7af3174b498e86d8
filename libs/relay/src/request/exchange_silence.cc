// Watches an attempt for silence of its back end. A silent back end may only be slow or paused, and
// then still completes the answer. So the attempt is given up only once another back end is ready
// to take over: its retry is granted and it is chosen and connected. Otherwise the attempt is
// waited for until the request's deadline.
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
// A back end that has been silent for this fraction of the attempt's own silence is not chosen to
// take over from it.
constexpr int kReplacementSilenceDivisor = 2;

}  // namespace

std::string_view SilenceDecisionName(SilenceDecision decision) {
  switch (decision) {
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
  }
  return "unknown";
}

asio::awaitable<void> Exchange::SilenceWatch::SleepUntil(TimePoint time) {
  timer.expires_at(time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
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
  while (!watch->ended) {
    const TimePoint silent_from = self->SilentFrom(placement);
    const TimePoint now = Now();
    if (now < silent_from) {
      // The path may be found cut meanwhile.
      co_await watch->SleepUntil(std::min(silent_from, now + kCutPathSilence));
      continue;
    }
    const SilenceDecision decision = co_await self->ReplaceSilent(watch, placement);
    if (watch->ended) co_return;
    self->NoteSilence(*watch, placement, decision);
    if (decision == SilenceDecision::kMoved) co_return self->upstream_->Close();
    if (decision == SilenceDecision::kNotConnected) continue;
    co_await watch->SleepUntil(Now() + kSearchInterval);
  }
}

// True if the rest of the answer may come from another back end.
bool Exchange::MayMove() const {
  if (bound_to_backend_ || !MayRetry(*admitted_.route, AttemptOutcome::kSilent, history_)) {
    return false;
  }
  return !IsQuarantined() && deadline_ - Now() >= kMinTimeForAttempt;
}

asio::awaitable<SilenceDecision> Exchange::ReplaceSilent(std::shared_ptr<SilenceWatch> watch,
                                                         Placement silent) {
  const TimePoint since = waiting_since_;
  silence_ = context_.paths.EvidenceOf(silent.backend, since, Now());
  if (silence_.IsServiceWide()) co_return SilenceDecision::kServiceSilent;
  if (!MayMove()) co_return SilenceDecision::kMayNotMove;
  if (!co_await IsVersionConfirmed()) co_return SilenceDecision::kVersionUnconfirmed;
  auto found = std::make_unique<Replacement>();
  found->retry = co_await context_.retries.Take(admitted_.profile.service);
  if (found->retry == nullptr) co_return SilenceDecision::kNoRetry;
  RefreshResidency();
  admitted_.profile.version = stream_version_;
  const std::vector<BackendKey> excluded = ExcludedAsReplacements();
  const PlacementResult result = co_await context_.placement.Place(admitted_.profile, excluded);
  if (!result.placement.has_value()) co_return SilenceDecision::kNoBackend;
  found->placement = *result.placement;
  if (!co_await ConnectReplacement(*found)) co_return SilenceDecision::kNotConnected;
  const bool is_still_silent = !watch->ended && is_reading_ && waiting_since_ == since;
  if (!is_still_silent || !MayMove()) {
    ReleaseReplacement(*found);
    co_return SilenceDecision::kResumed;
  }
  replacement_ = std::move(found);
  co_return SilenceDecision::kMoved;
}

// Back ends that were tried, and those that are silent themselves. One whose direct path is cut may
// be reached over another node.
std::vector<BackendKey> Exchange::ExcludedAsReplacements() {
  const TimePoint now = Now();
  const Duration silence = silence_.silent_for / kReplacementSilenceDivisor;
  std::vector<BackendKey> excluded = tried_;
  const std::vector<BackendActivity>& service =
      context_.paths.ActivityOf(admitted_.profile.service, now);
  for (const BackendKey backend : SilentBackends(silence, now, service)) {
    if (!context_.paths.IsCut(backend)) excluded.push_back(backend);
  }
  return excluded;
}

asio::awaitable<bool> Exchange::ConnectReplacement(Replacement& found) {
  const Placement& placement = found.placement;
  tried_.push_back(placement.backend.key);
  if (!co_await CanStartAt(placement)) {
    context_.placement.Finish(placement.ticket, AttemptOutcome::kWithheld, Now());
    co_return false;
  }
  const PathService::OnPending nobody = [](const std::shared_ptr<UpstreamConnection>&) {};
  const OpenedPath opened = co_await OpenPath(placement, nobody);
  found.connection = opened.connection;
  if (found.connection == nullptr) {
    ++history_.connects_failed;
    FinishAttempt(placement, OutcomeOfFailedOpen(opened), Now());
    co_return false;
  }
  const bool may_resume = co_await CanResumeAt(placement, *found.connection);
  const bool may_send =
      may_resume && context_.dispatcher.MaySend(placement, admitted_.profile, Now());
  if (!may_send) ReleaseReplacement(found);
  co_return may_send;
}

void Exchange::ReleaseReplacement(Replacement& found) {
  context_.placement.Finish(found.placement.ticket, AttemptOutcome::kWithheld, Now());
  context_.pool.Return(found.placement.backend.key, std::move(found.connection));
}

// The first decision about an attempt is logged, and each one that differs from the last.
void Exchange::NoteSilence(SilenceWatch& watch, const Placement& placement,
                           SilenceDecision decision) {
  Counters& counters = GlobalCounters();
  if (!watch.last_decision.has_value()) {
    counters.silent_attempts_total.Add();
    // The idle connections may be silent for good although new ones work.
    context_.pool.CloseIdle(placement.backend.key);
  }
  if (watch.last_decision == decision) return;
  watch.last_decision = decision;
  const bool is_moved = decision == SilenceDecision::kMoved;
  if (is_moved) counters.silent_attempts_moved_total.Add();
  if (is_moved || decision == SilenceDecision::kNoRetry) {
    NoteRetryDecision(is_moved ? replacement_->retry.get() : nullptr);
  }
  Log(LogLevel::kWarning, "silence",
      {{"request", request_id_},
       {"service", placement.backend.service},
       {"backend", placement.backend.id},
       {"decision", std::string(SilenceDecisionName(decision))},
       {"to", is_moved ? replacement_->placement.backend.id : ""},
       {"silent_ms", fmt::format("{:.0f}", ToMillis(silence_.silent_for))},
       {"backend_speaks", silence_.backend_speaks ? "true" : "false"},
       {"others_silent", std::to_string(silence_.others_silent)},
       {"others_speaking", std::to_string(silence_.others_speaking)},
       {"path_cut", silence_.is_path_cut ? "true" : "false"},
       {"over", via_node_},
       {"head_sent", head_sent_ ? "true" : "false"},
       {"last_event", last_event_id_},
       {"left_ms", fmt::format("{:.0f}", ToMillis(deadline_ - Now()))}});
}

}  // namespace cartsail
