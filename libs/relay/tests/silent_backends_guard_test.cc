// What must stay as it is while silent engines are waited for: streams of a dead engine go on
// elsewhere soon, and no answer is given twice. With controls of the oracle.
#include <set>
#include <string>
#include <vector>

#include "support/answer_oracle.h"
#include "support/faulty_hop.h"
#include "support/pausing_fleet.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr milliseconds kPause(1500);
constexpr milliseconds kLongPause(2000);
// From the last event of an engine that has died to the first one of its replacement.
constexpr Duration kContinuation = seconds(2);
// After which a faulty hop gives up.
constexpr milliseconds kHopSilence(900);
// Engines 0 and 3 of five are in the zone of node 0.
const std::set<int> kFirstZone = {0, 3};
constexpr int kResumableStreams = 6;  // to each node
constexpr int kPlainRequests = 4;     // to each node

PausingFleetOptions WithRetries(int64_t max_attempts = 2) {
  PausingFleetOptions options;
  options.has_retries = true;
  options.max_attempts = max_attempts;
  return options;
}

void StartStreams(PausingFleet& fleet) {
  fleet.AskAll("resume", kResumableStreams);
  cr_assert(fleet.AwaitEvents(2), "streams have not begun");
}

// The last step of a test. After cr_assert() the nodes' threads would run while the process ends.
void CheckAllWhole(const AnswerReport& report) {
  cr_expect(report.Count(AnswerVerdict::kWhole) == report.Total(), "%s", report.Text().c_str());
}

void CheckContinuedSoon(const AnswerReport& report) {
  CheckAllWhole(report);
  cr_expect(report.LongestGap() < kContinuation, "a gap of %.0f ms", ToMillis(report.LongestGap()));
}

Test(silent_backends_guard, all_engines_pause_with_retries_left, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  fleet.PauseAllFor(kPause);
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends_guard, requests_that_have_not_begun_with_retries_left, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  fleet.Engines().PauseAll();
  fleet.AskAll("safe", kPlainRequests);
  fleet.AskAll("resume", kPlainRequests);
  fleet.AskAll("once", kPlainRequests);
  std::this_thread::sleep_for(kLongPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends_guard, streams_of_a_dead_engine_go_on_elsewhere, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  fleet.Engines().Pause({fleet.Engines().BusiestEngine()});
  CheckContinuedSoon(fleet.Finish());
}

Test(silent_backends_guard, the_replacement_pauses_too, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  fleet.Engines().PauseNextContinuation(2);
  const int dead = fleet.Engines().BusiestEngine();
  fleet.Engines().Pause({dead});
  const auto is_replacement_paused = [&fleet] { return fleet.Engines().HasPausedContinuation(); };
  cr_assert(fleet.Await(is_replacement_paused), "no stream went on elsewhere");
  std::this_thread::sleep_for(kPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends_guard, the_replacement_dies_too, .timeout = 60) {
  PausingFleet fleet(WithRetries(3));
  StartStreams(fleet);
  fleet.Engines().PauseNextContinuation(2);
  fleet.Engines().Pause({fleet.Engines().BusiestEngine()});
  CheckContinuedSoon(fleet.Finish());
}

Test(silent_backends_guard, a_node_stops_in_the_silence, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  fleet.Engines().PauseAll();
  std::this_thread::sleep_for(kPause / 3);
  fleet.Fleet().Drain(0);
  std::this_thread::sleep_for(kPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends_guard, open_connections_die_while_new_ones_work, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  const int engine = fleet.Engines().BusiestEngine();
  for (int node = 0; node < fleet.Fleet().Nodes(); ++node) {
    fleet.Fleet().Link(node, engine).Set(PathState::kNewOnly);
  }
  CheckContinuedSoon(fleet.Finish());
}

// Nodes prefer the engines of their own zone: node 0 sees no other engine speak. With an attempt
// for each of them, and one elsewhere.
Test(silent_backends_guard, the_engines_of_a_zone_die, .timeout = 60) {
  PausingFleet fleet(WithRetries(3));
  StartStreams(fleet);
  fleet.Engines().Pause(kFirstZone);
  CheckAllWhole(fleet.Finish());
}

// As a firewall does that forgets its connections.
Test(silent_backends_guard, open_connections_of_a_node_die_while_new_ones_work, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  fleet.Fleet().SetLinks(1, PathState::kNewOnly);
  CheckContinuedSoon(fleet.Finish());
}

Test(silent_backends_guard, a_node_loses_its_paths_silently, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  StartStreams(fleet);
  fleet.Fleet().SetLinks(1, PathState::kSilent);
  CheckContinuedSoon(fleet.Finish());
}

Test(silent_backends_guard, requests_at_a_dead_engine_are_answered_elsewhere, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  fleet.Engines().Pause({0});
  fleet.AskAll("safe", kResumableStreams);
  const AnswerReport report = fleet.Finish();
  CheckAllWhole(report);
  cr_expect(report.LongestTime() < kContinuation, "%.0f ms", ToMillis(report.LongestTime()));
}

Test(silent_backends_guard, an_engine_dies_after_an_answer_to_another_request, .timeout = 60) {
  PausingFleet fleet(WithRetries());
  fleet.Engines().SendStaleAnswers(0);
  fleet.Engines().Pause({0});
  fleet.AskAll("safe", kResumableStreams);
  const AnswerReport report = fleet.Finish();
  CheckAllWhole(report);
  cr_expect(report.LongestTime() < kContinuation, "%.0f ms", ToMillis(report.LongestTime()));
}

// Each engine pauses about as long as nodes wait before they look for another one.
Test(silent_backends_guard, engines_go_on_as_their_streams_are_moved, .timeout = 60) {
  constexpr milliseconds kShortest(860);
  constexpr milliseconds kStep(30);
  PausingFleetOptions options = WithRetries();
  options.shape.events = 30;
  PausingFleet fleet(options);
  fleet.AskAll("resume", 2 * kResumableStreams);
  cr_assert(fleet.AwaitEvents(2), "streams have not begun");
  std::vector<std::thread> pauses;
  for (int engine = 0; engine < options.engines; ++engine) {
    pauses.emplace_back([&fleet, engine, kShortest, kStep] {
      std::this_thread::sleep_for(engine * milliseconds(250));
      fleet.Engines().Pause({engine});
      std::this_thread::sleep_for(kShortest + engine * kStep);
      fleet.Engines().Resume(engine);
    });
  }
  for (std::thread& pause : pauses) pause.join();
  CheckAllWhole(fleet.Finish());
}

// Callers at a hop with a fault, which the oracle must see although all engines and nodes are
// sound.
AnswerReport AskOverFaultyHop(const std::string& route, const std::string& last_of_hop) {
  PausingFleet fleet(WithRetries());
  const FaultyHop hop(fleet.Fleet().AddressOf(0), kHopSilence, last_of_hop);
  const bool is_stream = route == "stream";
  if (!is_stream) fleet.Engines().PauseAll();
  for (int i = 0; i < kPlainRequests; ++i) fleet.AskAt(hop.Address(), route);
  if (is_stream) cr_assert(fleet.AwaitEvents(2), "streams have not begun");
  fleet.PauseAllFor(kPause);
  return fleet.Finish();
}

std::string ErrorAnswer(const std::string& status, const std::string& outcome) {
  const std::string body = R"({"error":{"kind":"timeout","outcome":")" + outcome + R"("}})";
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void CheckAllAre(AnswerVerdict verdict, const AnswerReport& report) {
  cr_expect(report.Broken() == report.Total() && report.Count(verdict) == report.Total(), "%s",
            report.Text().c_str());
}

Test(silent_backends_guard, control_a_hop_that_cuts_silent_streams_is_seen, .timeout = 60) {
  CheckAllAre(AnswerVerdict::kCutEarly, AskOverFaultyHop("stream", ""));
}

Test(silent_backends_guard, control_a_hop_that_answers_504_early_is_seen, .timeout = 60) {
  const std::string timeout = ErrorAnswer("504 Gateway Timeout", "unknown");
  CheckAllAre(AnswerVerdict::kFailedEarly, AskOverFaultyHop("once", timeout));
}

Test(silent_backends_guard, control_a_hop_that_denies_a_run_is_seen, .timeout = 60) {
  const std::string refusal = ErrorAnswer("503 Service Unavailable", "not_run");
  CheckAllAre(AnswerVerdict::kFalseNotRun, AskOverFaultyHop("once", refusal));
}

// The oracle on answers that are written down here.
AnswerVerdict JudgeEvents(const std::string& body, int runs = 1) {
  const AskedRequest asked = {"r", {"data: 1\n\n", "data: 2\n\n"}, "", seconds(8), 1};
  ReceivedAnswer received;
  received.view = {200, body, true, true};
  received.sent = Now();
  received.ended = received.sent + seconds(1);
  received.runs = runs;
  return JudgeAnswer(asked, received);
}

Test(silent_backends_guard, control_events_that_are_missing_repeated_or_swapped_are_seen) {
  cr_assert(JudgeEvents("data: 1\n\ndata: 2\n\n") == AnswerVerdict::kWhole);
  cr_assert(JudgeEvents("data: 1\n\n") == AnswerVerdict::kWrongContent);
  cr_assert(JudgeEvents("data: 1\n\ndata: 1\n\ndata: 2\n\n") == AnswerVerdict::kWrongContent);
  cr_assert(JudgeEvents("data: 2\n\ndata: 1\n\n") == AnswerVerdict::kWrongContent);
  cr_assert(JudgeEvents("data: 1\n\ndata: 2\n\n", 2) == AnswerVerdict::kRunTooOften);
}

}  // namespace
}  // namespace cartsail::testing
