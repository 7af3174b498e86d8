// Log lines, counters and histograms of an exchange.
#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "request/exchange.h"

namespace cartsail {

void Exchange::NoteOutput(TimePoint now) {
  if (first_output_ == TimePoint()) {
    first_output_ = now;
    NoteRun(now);
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_output_);
  }
  last_output_ = now;
}

// Counts the request as usage once, however often it was retried.
void Exchange::NoteRun(TimePoint now) {
  if (usage_counted_) return;
  usage_counted_ = true;
  context_.usage.NoteStarted(admitted_.tenant, now);
}

namespace {

constexpr size_t kMaxLoggedParts = 8;  // bounds the length of a line

std::string PlacedByText(const std::string& coordinator) {
  return coordinator.empty() ? "self" : coordinator;
}

// How the back end's answer ended, as logged for attempts and requests. Empty fields: no head of an
// answer was received.
struct AnswerEndText {
  std::string framing;
  std::string reading;
  std::string content;
  std::string bytes;
};

AnswerEndText TextOf(const std::optional<AnswerEnd>& end) {
  if (!end.has_value()) return {};
  const BodyEvidence& evidence = end->evidence;
  return {std::string(BodyFramingName(evidence.framing)),
          std::string(ReadingEndName(evidence.reading)),
          std::string(ContentEndName(evidence.content)), std::to_string(end->bytes)};
}

// The ids of the parts that other requests may share: all but the last one.
std::string SharedPartsText(const std::vector<PromptPart>& prompt_parts) {
  std::string text;
  for (size_t i = 0; i + 1 < prompt_parts.size() && i < kMaxLoggedParts; ++i) {
    text += fmt::format("{}{:x}", i == 0 ? "" : ",", prompt_parts[i].id);
  }
  return text;
}

// The quarantine that a request was refused for, as logged. Empty fields: none.
struct QuarantineText {
  std::string fingerprint;
  std::string parts;         // ids of the parts, as callers name them; empty: the whole request
  std::string backend_keys;  // that exited
};

QuarantineText TextOf(const std::optional<QuarantinedRequest>& quarantined,
                      const SharedParts& shared, const std::vector<PromptPart>& prompt_parts) {
  if (!quarantined.has_value()) return {};
  std::vector<std::string> ids;
  for (const PromptPart& part : prompt_parts) {
    const PartFingerprint fingerprint = PartFingerprintOf(shared.service, part.id);
    const bool is_meant = AreAmong({fingerprint}, quarantined->parts);
    if (is_meant) ids.push_back(fmt::format("{:x}", part.id));
  }
  return {FingerprintText(quarantined->request), absl::StrJoin(ids, ","),
          absl::StrJoin(quarantined->backends, ",")};
}

// Milliseconds from `then` to `now`; empty if `then` is TimePoint().
std::string AgeText(TimePoint then, TimePoint now) {
  if (then == TimePoint()) return {};
  return fmt::format("{:.0f}", std::max(0.0, ToMillis(now - then)));
}

}  // namespace

void Exchange::LogAttempt(const Placement& placement, AttemptOutcome outcome) const {
  if (outcome == AttemptOutcome::kAnswered) return;
  const AnswerEndText end = TextOf(answer_end_);
  const SentText sent = TextOfSent();
  Log(LogLevel::kWarning, "attempt",
      {{"request", request_id_},
       {"fingerprint", FingerprintText(traits_.request)},
       {"parts", SharedPartsText(prompt_parts_)},
       {"backend", placement.backend.id},
       {"address", placement.backend.address},
       {"outcome", std::string(AttemptOutcomeName(outcome))},
       {"connect", std::string(ConnectResultName(connect_result_))},
       {"over", via_node_},
       {"status", std::to_string(answer_.status)},
       {"retry_after", answer_.retry_after},
       {"leaving", answer_.leaving ? "true" : "false"},
       {"rate_limit", answer_.rate_limit},
       {"framing", end.framing},
       {"reading_end", end.reading},
       {"content_end", end.content},
       {"answer_bytes", end.bytes},
       {"silent_ms", fmt::format("{:.0f}", ToMillis(silence_.silent_for))},
       {"backend_speaks", silence_.backend_speaks ? "true" : "false"},
       {"others_silent", std::to_string(silence_.others_silent)},
       {"others_speaking", std::to_string(silence_.others_speaking)},
       {"path_cut", silence_.is_path_cut ? "true" : "false"},
       {"attempts", std::to_string(history_.attempts)},
       {"may_have_run", std::to_string(history_.may_have_run)},
       {"expected_loss", fmt::format("{:.3f}", placement.expected_loss)},
       {"expected_ms", fmt::format("{:.0f}", placement.first_output_ms)},
       {"placed_by", PlacedByText(placement.placed_by)},
       {"version", placement.backend.version},
       {"resumes", resumes_},
       {"stream_version", stream_version_},
       {"version_known_by", std::string(VersionSourceName(version_source_))},
       {"last_event", last_event_id_},
       {"catalog", std::to_string(placement.backend.created_revision)},
       {"sent_ms", sent.after},
       {"backends_revision", sent.list_revision},
       {"backends_age_ms", sent.list_age},
       {"backends_verified_ms", sent.verified_age},
       {"load", std::to_string(placement.load.requests)},
       {"candidates", std::to_string(placement.candidates)}});
}

void Exchange::NoteRetryDecision(const RetryTicket* retry) const {
  const std::string& service = admitted_.profile.service;
  const PeerTable& peers = context_.peers;
  const bool granted = retry != nullptr;
  Counters& counters = GlobalCounters();
  (granted ? counters.retries_total : counters.retries_denied_total).Add();
  if (granted && head_sent_) counters.continuations_total.Add();
  Log(LogLevel::kWarning, "repeat",
      {{"request", request_id_},
       {"service", service},
       {"granted", granted ? "true" : "false"},
       {"source", granted ? std::string(RetrySourceName(retry->Grant().source)) : ""},
       {"lender", granted ? retry->Lender() : ""},
       {"budget_left", fmt::format("{:.1f}", context_.retries.RemainingRequestBudget(service))},
       {"extra_left", fmt::format("{:.1f}", context_.retries.RemainingExtraBudget(service))},
       {"live", std::to_string(peers.LiveCount() + 1)},
       {"known", std::to_string(peers.NodesNotEnded())},
       {"uptime_ms", fmt::format("{:.0f}", ToMillis(peers.Self(Now()).uptime))},
       {"last_event", last_event_id_}});
}

void Exchange::CountEnd(std::string_view result, Duration took) const {
  Counters& counters = GlobalCounters();
  Histograms& histograms = GlobalHistograms();
  if (first_output_ != TimePoint()) {
    histograms.stream_first_output_ms.Note(first_output_ - request_.received);
    histograms.stream_longest_pause_ms.Note(longest_pause_);
  }
  if (result == kAnsweredResult) {
    counters.requests_completed_total.Add();
    histograms.request_answered_ms.Note(took);
  } else if (result == kFailedAnswerResult) {
    counters.requests_failed_answer_total.Add();
    histograms.request_failed_ms.Note(took);
  } else if (result == kCallerGoneResult) {
    counters.callers_gone_total.Add();
  } else if (history_.may_have_run == 0) {
    counters.requests_not_run_total.Add();
    histograms.request_refused_ms.Note(took);
  } else {
    const bool partial = result == kCutResult;
    (partial ? counters.requests_partial_total : counters.requests_unknown_total).Add();
    histograms.request_failed_ms.Note(took);
  }
}

std::string Exchange::ConfigAgeText() const {
  return AgeText(context_.routing.Confirmed(), request_.received);
}

SentText Exchange::TextOfSent() const {
  if (history_.attempts == 0) return {};
  return {fmt::format("{:.0f}", ToMillis(sent_ - request_.received)),
          std::to_string(list_when_sent_.revision), AgeText(list_when_sent_.confirmed, sent_),
          AgeText(verified_when_sent_, sent_)};
}

std::string Exchange::GoalText() const {
  if (admitted_.route == nullptr) return {};
  return fmt::format("{:.0f}", ToMillis(admitted_.route->first_output_goal));
}

std::string Exchange::PauseGoalText() const {
  if (admitted_.route == nullptr || !admitted_.route->longest_pause.has_value()) return {};
  return fmt::format("{:.0f}", ToMillis(*admitted_.route->longest_pause));
}

void Exchange::LogResidencyRefusal(std::string_view why) {
  GlobalCounters().residency_refusals_total.Add();
  const RequestProfile& profile = admitted_.profile;
  const TimePoint now = Now();
  Log(LogLevel::kWarning, "residency_refused",
      {{"request", request_id_},
       {"route", admitted_.route->name},
       {"tenant", admitted_.tenant},
       {"service", profile.service},
       {"allowed", absl::StrJoin(profile.residency.value_or(std::vector<std::string>()), ",")},
       {"why", std::string(why)},
       {"ready", std::to_string(context_.dispatcher.ReadyFor(profile, now))},
       {"tried", std::to_string(tried_.size())},
       {"config", std::to_string(context_.routing.Version())},
       {"config_age_ms", ConfigAgeText()}});
}

// The complete answer of a back end was forwarded; its status may report a failure.
void Exchange::LogAnswered() const {
  const bool failed = status_sent_ >= kMinFailureStatus;
  LogEnd(failed ? kFailedAnswerResult : kAnsweredResult, status_sent_);
}

void Exchange::LogEnd(std::string_view result, int status) const {
  const Duration took = Now() - request_.received;
  const bool has_output = first_output_ != TimePoint();
  const bool answered = result == kAnsweredResult;
  CountEnd(result, took);
  const AnswerEndText end = TextOf(answer_end_);
  const QuarantineText quarantine = TextOf(quarantined_for_, traits_.shared, prompt_parts_);
  const SentText sent = TextOfSent();
  const bool is_slow = has_output && admitted_.route != nullptr &&
                       first_output_ - request_.received > admitted_.route->first_output_goal;
  Log(answered && !is_slow ? LogLevel::kInfo : LogLevel::kWarning, "request",
      {{"request", request_id_},
       {"fingerprint", FingerprintText(traits_.request)},
       {"route", admitted_.route == nullptr ? "" : admitted_.route->name},
       {"tenant", admitted_.tenant},
       {"tier", std::to_string(admitted_.tier)},
       {"config", std::to_string(context_.routing.Version())},
       {"config_age_ms", ConfigAgeText()},
       {"backend", last_backend_},
       {"version", last_version_},
       {"resumes", resumes_},
       {"stream_version", stream_version_},
       {"version_known_by", std::string(VersionSourceName(version_source_))},
       {"last_event", last_event_id_},
       {"over", via_node_},
       {"placed_by", tried_.empty() ? "" : PlacedByText(placed_by_)},
       {"attempts", std::to_string(history_.attempts)},
       {"sent_ms", sent.after},
       {"backends_revision", sent.list_revision},
       {"backends_age_ms", sent.list_age},
       {"backends_verified_ms", sent.verified_age},
       {"connects_failed", std::to_string(history_.connects_failed)},
       {"rate_limit", answer_.rate_limit},
       {"framing", end.framing},
       {"reading_end", end.reading},
       {"content_end", end.content},
       {"answer_bytes", end.bytes},
       {"quarantine", quarantine.fingerprint},
       {"quarantined_parts", quarantine.parts},
       {"quarantined_for", quarantine.backend_keys},
       {"result", std::string(result)},
       {"status", std::to_string(status)},
       {"first_ms",
        has_output ? fmt::format("{:.0f}", ToMillis(first_output_ - request_.received)) : ""},
       {"pause_ms", fmt::format("{:.0f}", ToMillis(longest_pause_))},
       {"goal_ms", GoalText()},
       {"pause_goal_ms", PauseGoalText()},
       {"ms", fmt::format("{:.0f}", ToMillis(took))},
       {"bytes", std::to_string(bytes_out_)}});
}

}  // namespace cartsail
