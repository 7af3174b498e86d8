// Streams at risk, prefill backlogs and run times, which placement is based on.
#include "cartsail/dispatch/stream_risk.h"

#include <cmath>
#include <random>

#include "cartsail/dispatch/mechanism.h"
#include "cartsail/dispatch/prefill_backlog.h"
#include "cartsail/dispatch/run_time.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
constexpr BackendKey kEngine = 1;
constexpr Duration kBound = milliseconds(200);

double StreamsAt(const StreamRisk& risk, Duration bound) {
  for (const StreamRisk::Exposure& exposure : risk.At(kEngine)) {
    if (exposure.bound == bound) return exposure.streams;
  }
  return 0;
}

bool Near(double left, double right) { return std::abs(left - right) < 1e-9; }

Test(stream_risk, a_stream_that_is_already_late_is_not_at_risk_again) {
  StreamRisk risk;
  const StreamMark first = risk.Begin(kEngine, kBound);
  risk.NotePrompt(kEngine, kBound, 0.75, kStart);
  cr_assert(Near(StreamsAt(risk, kBound), 0.25));
  const StreamMark second = risk.Begin(kEngine, kBound);
  cr_assert(Near(StreamsAt(risk, kBound), 1.25));
  risk.End(kEngine, first);
  cr_assert(Near(StreamsAt(risk, kBound), 1));
  risk.End(kEngine, second);
  cr_assert(Near(StreamsAt(risk, kBound), 0));
}

Test(stream_risk, streams_without_a_bound_are_not_followed) {
  StreamRisk risk;
  risk.End(kEngine, risk.Begin(kEngine, Duration(0)));
  cr_assert(risk.At(kEngine).empty() && risk.Bounds().empty());
}

Test(stream_risk, recent_breaks_raise_the_expected_risk_and_fade) {
  StreamRisk risk;
  risk.NotePrompt(kEngine, kBound, 0.9, kStart);
  const double at_once = risk.FutureBreak(kEngine, kBound, seconds(2), kStart);
  cr_assert(at_once > 0.3 && at_once < 0.6, "%f", at_once);
  cr_assert(risk.FutureBreak(kEngine, kBound, milliseconds(10), kStart) < 0.01);
  cr_assert(risk.FutureBreak(kEngine, kBound, seconds(2), kStart + seconds(20)) < 0.01);
  cr_assert(risk.FutureBreak(kEngine + 1, kBound, seconds(2), kStart) == 0);
}

Test(stream_risk, random_streams_and_prompts_leave_no_risk_behind) {
  for (uint32_t seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> chance(-0.1, 1.1);
    StreamRisk risk;
    std::vector<StreamMark> marks;
    for (int step = 0; step < 300; ++step) {
      if (random() % 3 == 0) {
        risk.NotePrompt(kEngine, kBound, chance(random), kStart + milliseconds(step));
      } else if (marks.empty() || random() % 2 == 0) {
        marks.push_back(risk.Begin(kEngine, kBound));
      } else {
        risk.End(kEngine, marks.back());
        marks.pop_back();
      }
      const double streams = StreamsAt(risk, kBound);
      cr_assert(streams >= 0 && streams <= static_cast<double>(marks.size()) + 1e-6);
    }
    for (const StreamMark& mark : marks) risk.End(kEngine, mark);
    cr_assert(StreamsAt(risk, kBound) < 1e-6);
  }
}

Test(reading_backlog, grows_with_prompts_and_shrinks_with_time) {
  PrefillBacklog backlog;
  backlog.Add(kEngine, 100, kStart);
  backlog.Add(kEngine, 50, kStart);
  cr_assert(Near(backlog.Millis(kEngine, kStart), 150));
  cr_assert(Near(backlog.Millis(kEngine, kStart + milliseconds(60)), 90));
  cr_assert(backlog.Millis(kEngine + 1, kStart) == 0);
}

Test(reading_backlog, a_first_output_shows_that_the_prompt_is_read) {
  PrefillBacklog backlog;
  backlog.Add(kEngine, 100, kStart);
  backlog.Add(kEngine, 50, kStart);
  backlog.Remove(kEngine, 100, kStart + milliseconds(20));
  cr_assert(Near(backlog.Millis(kEngine, kStart + milliseconds(20)), 50));
  backlog.Remove(kEngine, 50, kStart + milliseconds(30));
  cr_assert(backlog.Millis(kEngine, kStart + milliseconds(30)) == 0);
}

Test(reading_backlog, overdue_prompts_count_for_as_long_as_they_are_overdue) {
  PrefillBacklog backlog;
  backlog.Add(kEngine, 100, kStart);
  cr_assert(backlog.Millis(kEngine, kStart + milliseconds(110)) == 0,
            "the first output may be on its way");
  const double silent = backlog.Millis(kEngine, kStart + seconds(1));
  cr_assert(silent > 800 && silent < 900);
  backlog.Remove(kEngine, 100, kStart + seconds(1));
  cr_assert(backlog.Millis(kEngine, kStart + seconds(1)) == 0);
}

// A paused engine looked free 40 ms after each prompt placed there, so the next went there as well.
Test(reading_backlog, further_prompts_at_a_silent_engine_do_not_make_it_look_free) {
  PrefillBacklog backlog;
  for (int i = 0; i < 20; ++i) backlog.Add(kEngine, 5, kStart + milliseconds(50) * i);
  const TimePoint later = kStart + seconds(1);
  cr_assert(backlog.Millis(kEngine, later) > 900, "%f", backlog.Millis(kEngine, later));
  backlog.Remove(kEngine, 5, later);
  cr_assert(backlog.Millis(kEngine, later) > 900, "a caller that left says nothing of the engine");
  backlog.Answered(kEngine, 5, later);
  cr_assert(Near(backlog.Millis(kEngine, later), 18 * 5), "%f", backlog.Millis(kEngine, later));
}

Test(reading_backlog, nothing_is_left_over_when_all_prompts_are_read) {
  PrefillBacklog backlog;
  for (const double prefill_ms : {0.1, 0.2, 0.7}) backlog.Add(kEngine, prefill_ms, kStart);
  for (const double prefill_ms : {0.7, 0.2, 0.1}) backlog.Remove(kEngine, prefill_ms, kStart);
  cr_assert(backlog.Millis(kEngine, kStart + seconds(5)) == 0,
            "rounding of the sum must leave no remainder");
  backlog.Remove(kEngine, 5, kStart);
  cr_assert(backlog.Millis(kEngine, kStart + seconds(5)) == 0);
}

Test(reading_backlog, remembers_the_most_that_was_read_in_a_span) {
  PrefillBacklog backlog;
  backlog.Add(kEngine, 300, kStart);
  backlog.Add(kEngine, 20, kStart + seconds(1));
  cr_assert(backlog.PeakMillisBetween(kEngine, kStart, kStart + seconds(2)) == 300);
  const TimePoint later = kStart + milliseconds(500);
  cr_assert(Near(backlog.PeakMillisBetween(kEngine, later, kStart + seconds(2)), 20));
  cr_assert(backlog.PeakMillisBetween(kEngine, kStart, kStart + milliseconds(100)) == 0,
            "not read yet");
}

Test(run_times, follow_each_kind_of_stream) {
  RunTimes times(seconds(2));
  cr_assert(times.Mean("s", kBound) == seconds(2));
  for (int i = 0; i < 400; ++i) times.Note("s", kBound, milliseconds(500));
  cr_assert(times.Mean("s", kBound) == milliseconds(500));
  cr_assert(times.Mean("s", milliseconds(300)) == seconds(2));
  for (int i = 0; i < 400; ++i) times.Note("s", kBound, seconds(4));
  cr_assert(times.Mean("s", kBound) > milliseconds(3900));
}

Test(mechanisms, are_named_and_unknown_names_are_refused) {
  const auto disabled = DisabledMechanisms::Parse(" division, stream_risk");
  cr_assert(disabled.ok() && disabled->Has(Mechanism::kDivision));
  cr_assert(disabled->Has(Mechanism::kStreamRisk) && !disabled->Has(Mechanism::kPace));
  cr_assert(disabled->ToString() == "stream_risk,division");
  cr_assert(DisabledMechanisms::Parse("")->IsEmpty());
  const auto unknown = DisabledMechanisms::Parse("division,nothing");
  cr_assert(!unknown.ok());
  cr_assert(unknown.status().message().find("nothing") != std::string::npos);
}

}  // namespace
}  // namespace cartsail
