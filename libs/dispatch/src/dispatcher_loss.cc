// Expected loss of placing a request at a back end, for itself and for the streams there, in
// requests that miss their goal. All terms have this unit, so that they can be added:
//
//     loss = P(own goal missed) + sum over streams there of P(this prompt breaks its pauses)
//            + P(the back end fails it) + prices
#include <algorithm>

#include "cartsail/dispatch/dispatcher.h"
#include "probability.h"

namespace cartsail {
namespace {

// Time from the choice to the first output apart from prefill: one network round trip and one step
// of the engine.
constexpr double kSendingMs = 20;
constexpr double kFullSlots = 0.9;  // fraction of slots taken from which an engine counts as full

bool Contains(const std::vector<BackendKey>& keys, BackendKey key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

double Dispatcher::PrefillMillis(int64_t held_tokens, int64_t prompt_tokens) const {
  const auto unread = static_cast<double>(std::max<int64_t>(prompt_tokens - held_tokens, 0));
  const double pairs = unread * (static_cast<double>(held_tokens) + unread / 2);
  return unread / policy_.read_tokens_per_ms + policy_.attention_ms_per_million * pairs / 1e6;
}

double Dispatcher::SlownessOf(BackendKey backend, TimePoint now) const {
  return IsOff(Mechanism::kPace) ? 1 : health_.Slowness(backend, now);
}

// Prefill backlog of the engine: what this node follows, plus what peers reported.
double Dispatcher::BacklogMillis(BackendKey backend, TimePoint now) const {
  const double peers_ms = loads_.OfPeers(backend).prefill_ms * SlownessOf(backend, now);
  return backlog_.Millis(backend, now) + peers_ms;
}

// Attempts of peers are reported in digests; a coordinator has also followed them itself. The
// larger record of the two is used.
double Dispatcher::FailureShareOf(BackendKey backend, TimePoint now) const {
  if (IsOff(Mechanism::kFailureShare)) return 0;
  const RecentAttempts own = health_.Recent(backend, AttemptOrigin::kOwn, now);
  const RecentAttempts followed = health_.Recent(backend, AttemptOrigin::kPeer, now);
  const BackendLoad reported = loads_.OfPeers(backend);
  const RecentAttempts of_peers = followed.attempts > reported.attempts
                                      ? followed
                                      : RecentAttempts{reported.attempts, reported.failures};
  return FailureShare({own.attempts + of_peers.attempts, own.failures + of_peers.failures});
}

// Loss for reaching the back end: another zone, or a new connection.
double Dispatcher::ConnectionLoss(const Backend& backend, const Requester& requester,
                                  TimePoint now) const {
  const double zone = backend.zone == requester.zone ? 0 : policy_.other_zone_loss;
  if (IsOff(Mechanism::kIdleConnections)) return zone;
  // A back end that withdrew its rate limit recently lost its idle connections because of that
  // limit; with the penalty it would not regain them.
  const bool connected = Contains(requester.connected, backend.key) ||
                         registry_.Limits().WasWithdrawnRecently(backend.key, now);
  return zone + (connected ? 0 : policy_.new_connection_loss);
}

// Probability that a prompt of `prefill_ms` added to `backlog_ms` makes a stream exceed `bound`.
double Dispatcher::PauseBreakProbability(BackendKey backend, double backlog_ms, double prefill_ms,
                                         Duration bound) const {
  if (IsOff(Mechanism::kReadingPause)) return 0;
  return pauses_.AddedBreakProbability(backend, backlog_ms, prefill_ms, bound);
}

double Dispatcher::StreamLoss(const Backend& backend, double backlog_ms, double prefill_ms) const {
  if (IsOff(Mechanism::kStreamRisk)) return 0;
  double loss = 0;
  for (const StreamRisk::Exposure& exposure : risk_.At(backend.key)) {
    if (exposure.streams <= 0) continue;
    loss += exposure.streams *
            PauseBreakProbability(backend.key, backlog_ms, prefill_ms, exposure.bound);
  }
  // Peers report only the number of their streams: the smallest bound is assumed for them.
  const int64_t of_peers = loads_.OfPeers(backend.key).light_requests;
  if (of_peers > 0 && !risk_.Bounds().empty()) {
    const double chance =
        PauseBreakProbability(backend.key, backlog_ms, prefill_ms, risk_.Bounds().front());
    loss += static_cast<double>(of_peers) * chance;
  }
  return loss;
}

// Requests beyond the available slots wait until streams end; with all slots taken one ends every
// run time / slots.
double Dispatcher::WaitForSlotMillis(const RequestProfile& profile, const Backend& backend,
                                     const BackendLoad& load) const {
  const auto slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  const double over = static_cast<double>(load.requests) + 1 - slots * kFullSlots;
  if (over <= 0) return 0;
  const Duration bound = profile.longest_pause.value_or(Duration(0));
  return over * ToMillis(run_times_.Mean(profile.service, bound)) / slots;
}

double Dispatcher::CrowdingLoss(const Backend& backend, const BackendLoad& load) const {
  const auto slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  const double taken = static_cast<double>(load.requests) / slots;
  return policy_.crowding_loss * taken * taken;
}

double Dispatcher::OwnLateProbability(const RequestProfile& profile, const Backend& backend,
                                      double first_output_ms, double backlog_ms,
                                      TimePoint now) const {
  const double goal_ms = std::max(ToMillis(profile.first_output_goal), 1.0);
  const double spread_ms = policy_.first_output_spread * goal_ms;
  const double in_time = 1 - Logistic((first_output_ms - goal_ms) / spread_ms);
  if (!profile.longest_pause.has_value() || IsOff(Mechanism::kReadingPause)) return 1 - in_time;
  const Duration bound = *profile.longest_pause;
  double within_pauses = 1 - pauses_.BreakProbability(backend.key, backlog_ms, bound);
  if (!IsOff(Mechanism::kFutureBreaks)) {
    const Duration life = run_times_.Mean(profile.service, bound);
    within_pauses *= 1 - risk_.FutureBreak(backend.key, bound, life, now);
  }
  return 1 - in_time * within_pauses;
}

// Keeps disturbing prompts off the engines that are reserved for sensitive streams, and sensitive
// streams off the others, in proportion to the probability that pauses are broken.
double Dispatcher::PartitionLoss(const RequestProfile& profile, const Candidate& candidate,
                                 double prefill_ms) const {
  if (IsOff(Mechanism::kDivision) || risk_.Bounds().empty()) return 0;
  const BackendKey backend = candidate.backend->key;
  if (candidate.for_light) {
    const double chance = PauseBreakProbability(backend, 0, prefill_ms, risk_.Bounds().front());
    return policy_.heavy_elsewhere_loss * chance;
  }
  if (!profile.longest_pause.has_value()) return 0;
  const double chance =
      pauses_.BreakProbability(backend, policy_.steady_backlog_ms, *profile.longest_pause);
  return policy_.sensitive_elsewhere_loss * chance;
}

Dispatcher::Estimate Dispatcher::EstimatePlain(const Candidate& candidate,
                                               const PlacementView& view, TimePoint now) const {
  const Backend& backend = *candidate.backend;
  Estimate estimate;
  estimate.load = loads_.Total(backend.key);
  const double slots = static_cast<double>(std::max<int64_t>(backend.slots, 1));
  const double busy = static_cast<double>(estimate.load.requests) / slots;
  estimate.first_output_ms = policy_.plain_request_ms;
  const double expected_ms = policy_.plain_request_ms * (1 + busy) * SlownessOf(backend.key, now);
  estimate.loss = expected_ms * policy_.loss_per_ms;
  estimate.loss += ConnectionLoss(backend, *view.requester, now);
  estimate.loss += FailureShareOf(backend.key, now);
  return estimate;
}

// Cost of the prompt at the candidate: the prefill time of what no engine transfers, and the price
// of what is transferred or processed again.
Dispatcher::Estimate Dispatcher::EstimatePrompt(const RequestProfile& profile,
                                                const Candidate& candidate,
                                                const PlacementView& view) const {
  Estimate estimate;
  estimate.held_tokens = candidate.held_tokens;
  int64_t held = estimate.held_tokens;
  const Holder holder = HolderFor(*candidate.backend, view);
  const int64_t missing = holder.tokens - held;
  const bool movable = profile.bytes_per_token > 0 && !IsOff(Mechanism::kMemoryMoves);
  if (missing > 0) {
    const auto tokens = static_cast<double>(missing);
    if (movable) {
      estimate.fetch_from = holder.backend;
      estimate.first_output_ms = policy_.move_setup_ms + tokens / policy_.move_tokens_per_ms;
      estimate.loss = tokens * policy_.loss_per_moved_token;
      held = holder.tokens;
    } else {
      estimate.loss = tokens * policy_.loss_per_reread_token;
    }
  }
  // What another engine is still processing cannot be transferred from there.
  const int64_t processed_twice = view.known_tokens - held;
  if (processed_twice > 0) {
    estimate.loss += static_cast<double>(processed_twice) * policy_.loss_per_reread_token;
  }
  estimate.prefill_ms = PrefillMillis(held, profile.prompt_tokens);
  return estimate;
}

Dispatcher::Estimate Dispatcher::EstimateGeneration(const RequestProfile& profile,
                                                    const Candidate& candidate,
                                                    const PlacementView& view,
                                                    TimePoint now) const {
  const Backend& backend = *candidate.backend;
  Estimate estimate = EstimatePrompt(profile, candidate, view);
  estimate.load = loads_.Total(backend.key);
  const double backlog_ms = BacklogMillis(backend.key, now);
  const double prefill_ms = estimate.prefill_ms * SlownessOf(backend.key, now);
  estimate.first_output_ms +=
      backlog_ms + prefill_ms + kSendingMs + WaitForSlotMillis(profile, backend, estimate.load);
  estimate.loss += OwnLateProbability(profile, backend, estimate.first_output_ms, backlog_ms, now);
  estimate.loss += StreamLoss(backend, backlog_ms, prefill_ms);
  estimate.loss += PartitionLoss(profile, candidate, prefill_ms);
  estimate.loss += FailureShareOf(backend.key, now);
  estimate.loss += estimate.first_output_ms * policy_.loss_per_ms;
  estimate.loss += CrowdingLoss(backend, estimate.load);
  estimate.loss += ConnectionLoss(backend, *view.requester, now);
  return estimate;
}

}  // namespace cartsail
