// Which broken connections give strikes to the requests that used them.
#include "cartsail/quarantine/backend_exit_detector.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr BackendKey kEngine = 7;

bool HasNoEntry(BackendKey) { return false; }
bool HasEntry(BackendKey) { return true; }

Test(backend_end_watch, a_refused_connection_proves_the_exit) {
  BackendExitDetector detector;
  cr_assert(detector.NoteBroken({1, kEngine, kStart}).empty());
  cr_assert(detector.NoteBroken({2, kEngine, kStart}).empty());
  const std::vector<Strike> strikes = detector.NoteEnded(kEngine, kStart);
  cr_assert((strikes == std::vector<Strike>{{1, kEngine, kStart}, {2, kEngine, kStart}}));
  // A connection that breaks after the exit is known.
  const Strike later = {3, kEngine, kStart + milliseconds(3)};
  cr_assert(detector.NoteBroken(later) == std::vector<Strike>{later});
  cr_assert(detector.NoteEnded(kEngine, kStart).empty(), "reported once");
}

// Connections also break when links are reset, backends truncate responses, or this node was
// paused.
Test(backend_end_watch, an_answering_backend_gives_no_strikes) {
  BackendExitDetector detector;
  (void)detector.NoteBroken({1, kEngine, kStart});
  detector.NoteAnswered(kEngine, kStart + milliseconds(1));
  cr_assert(detector.NoteEnded(kEngine, kStart).empty());
  cr_assert(detector.Settle(HasNoEntry, kStart).empty());
}

// An answer to a request that was sent before a connection broke does not explain that break.
Test(backend_end_watch, an_answer_explains_only_breaks_before_its_request) {
  BackendExitDetector detector;
  (void)detector.NoteBroken({1, kEngine, kStart});
  (void)detector.NoteBroken({2, kEngine, kStart + seconds(2)});
  detector.NoteAnswered(kEngine, kStart + seconds(1));
  cr_assert(detector.NoteEnded(kEngine, kStart + seconds(3)) ==
            (std::vector<Strike>{{2, kEngine, kStart + seconds(2)}}));
}

// A process kept listening after the break, so a later exit was not caused by the request.
Test(backend_end_watch, after_a_lasting_connection_only_another_process_proves_the_exit) {
  for (const bool is_replaced : {false, true}) {
    BackendExitDetector detector;
    (void)detector.NoteBroken({1, kEngine, kStart});
    detector.NoteListening(kEngine);
    (void)detector.NoteBroken({2, kEngine, kStart + seconds(2)});
    const std::vector<Strike> strikes =
        is_replaced ? detector.NoteReplaced(kEngine, kStart) : detector.NoteEnded(kEngine, kStart);
    cr_assert(strikes.size() == (is_replaced ? 2 : 1));
    cr_assert(strikes.back() == (Strike{2, kEngine, kStart + seconds(2)}));
  }
}

Test(backend_end_watch, a_refused_connection_alone_proves_nothing) {
  BackendExitDetector detector;
  cr_assert(detector.NoteEnded(kEngine, kStart).empty());
  cr_assert(detector.NoteBroken({1, kEngine, kStart}).empty(), "the refusal came before the break");
}

Test(backend_end_watch, a_removed_entry_proves_the_exit) {
  BackendExitDetector detector;
  (void)detector.NoteBroken({1, kEngine, kStart});
  cr_assert(detector.Settle(HasEntry, kStart + seconds(2)).empty());
  cr_assert(detector.Settle(HasNoEntry, kStart + seconds(4)).size() == 1);
}

Test(backend_end_watch, unsettled_suspicions_expire) {
  BackendExitDetector detector;
  (void)detector.NoteBroken({1, kEngine, kStart});
  cr_assert(detector.Settle(HasEntry, kStart + seconds(11)).empty());
  cr_assert(detector.Settle(HasNoEntry, kStart + seconds(12)).empty());
}

Test(backend_end_watch, one_probe_a_second) {
  BackendExitDetector detector;
  cr_assert(!detector.TakeProbe(kEngine, kStart), "no suspected exit");
  (void)detector.NoteBroken({1, kEngine, kStart});
  cr_assert(detector.TakeProbe(kEngine, kStart));
  cr_assert(!detector.TakeProbe(kEngine, kStart + milliseconds(900)));
  cr_assert(detector.TakeProbe(kEngine, kStart + seconds(1)));
}

}  // namespace
}  // namespace cartsail
