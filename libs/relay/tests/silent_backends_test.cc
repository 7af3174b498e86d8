// Answers of sound engines that paused for a second were given up although no other engine could
// take over: callers got them cut in the middle, or 504 before their deadline.
#include <string>

#include "support/answer_oracle.h"
#include "support/pausing_fleet.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr milliseconds kPause(1500);
// For requests whose first output is awaited.
constexpr milliseconds kLongPause(2000);
constexpr int kResumableStreams = 6;  // to each node
constexpr int kOtherStreams = 2;      // to each node
constexpr int kPlainRequests = 4;     // to each node

// With streams under way, and the retry budget spent.
void StartStreams(PausingFleet& fleet, Duration time_left = kTimeLeft) {
  fleet.AskAll("resume", kResumableStreams, time_left);
  fleet.AskAll("stream", kOtherStreams, time_left);
  cr_assert(fleet.AwaitEvents(2), "streams have not begun");
}

// The last step of a test. After cr_assert() the nodes' threads would run while the process ends.
void CheckAllAsPromised(const AnswerReport& report) {
  cr_expect(report.Broken() == 0, "%s", report.Text().c_str());
}

void CheckAllWhole(const AnswerReport& report) {
  cr_expect(report.Count(AnswerVerdict::kWhole) == report.Total(), "%s", report.Text().c_str());
}

Test(silent_backends, streams_are_cut_while_all_engines_pause, .timeout = 60) {
  PausingFleet fleet({});
  StartStreams(fleet);
  fleet.PauseAllFor(kPause);
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends, streams_are_cut_while_three_of_five_engines_pause, .timeout = 60) {
  PausingFleet fleet({});
  StartStreams(fleet);
  fleet.Engines().Pause({0, 1, 2});
  std::this_thread::sleep_for(kPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends, streams_are_cut_in_one_of_two_pauses, .timeout = 60) {
  PausingFleet fleet({});
  StartStreams(fleet);
  fleet.PauseAllFor(kPause);
  std::this_thread::sleep_for(milliseconds(400));
  fleet.PauseAllFor(kPause);
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends, streams_are_cut_in_a_pause_around_a_change_of_configuration, .timeout = 60) {
  PausingFleet fleet({});
  StartStreams(fleet);
  fleet.Engines().PauseAll();
  std::this_thread::sleep_for(kPause / 2);
  fleet.ChangeConfiguration();
  std::this_thread::sleep_for(kPause / 2);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends, requests_that_have_not_begun_get_504_before_their_deadline, .timeout = 60) {
  PausingFleet fleet({});
  fleet.Engines().PauseAll();
  fleet.AskAll("safe", kPlainRequests);
  fleet.AskAll("resume", kPlainRequests);
  std::this_thread::sleep_for(kLongPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends, streams_of_a_dead_engine_end_before_their_deadline, .timeout = 60) {
  PausingFleet fleet({});
  StartStreams(fleet, seconds(3));
  fleet.Engines().Pause({fleet.Engines().BusiestEngine()});
  CheckAllAsPromised(fleet.Finish());
}

// Node 0 reaches the engines over other nodes.
Test(silent_backends, streams_over_other_nodes_are_cut_while_all_engines_pause, .timeout = 60) {
  PausingFleet fleet({});
  for (int engine = 0; engine < PausingFleetOptions().engines; ++engine) {
    fleet.Fleet().Link(0, engine).Set(PathState::kRefused);
  }
  for (int i = 0; i < kResumableStreams; ++i) fleet.Ask(0, "resume");
  cr_assert(fleet.AwaitEvents(2), "streams have not begun");
  fleet.PauseAllFor(kPause);
  CheckAllWhole(fleet.Finish());
}

Test(silent_backends, streams_are_cut_while_their_node_stops, .timeout = 60) {
  PausingFleet fleet({});
  StartStreams(fleet);
  fleet.Engines().PauseAll();
  std::this_thread::sleep_for(kPause / 3);
  fleet.Fleet().Drain(0);
  std::this_thread::sleep_for(kPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

// With retries left: each replacement is placed and connected, and answers that it is full.
Test(silent_backends, streams_are_cut_when_their_replacements_refuse, .timeout = 60) {
  PausingFleetOptions options;
  options.has_retries = true;
  PausingFleet fleet(options);
  StartStreams(fleet);
  fleet.Engines().RefuseContinuations();
  fleet.Engines().Pause({fleet.Engines().BusiestEngine()});
  std::this_thread::sleep_for(kPause);
  fleet.Engines().ResumeAll();
  CheckAllWhole(fleet.Finish());
}

}  // namespace
}  // namespace cartsail::testing
