// Which broken connections are held against requests.
#include "cartsail/quarantine/backend_exit_detector.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr BackendKey kEngine = 7;

bool Gone(BackendKey) { return false; }
bool There(BackendKey) { return true; }

Test(backend_end_watch, a_refused_connection_proves_the_end) {
  BackendExitDetector watch;
  cr_assert(watch.NoteBroken({1, kEngine, kStart}).empty());
  cr_assert(watch.NoteBroken({2, kEngine, kStart}).empty());
  const std::vector<Strike> strikes = watch.NoteEnded(kEngine, kStart);
  cr_assert((strikes == std::vector<Strike>{{1, kEngine, kStart}, {2, kEngine, kStart}}));
  // One whose connection breaks a moment later.
  const Strike later = {3, kEngine, kStart + milliseconds(3)};
  cr_assert(watch.NoteBroken(later) == std::vector<Strike>{later});
  cr_assert(watch.NoteEnded(kEngine, kStart).empty(), "told once");
}

// Resets of links, back ends that cut answers off, a node that stood still.
Test(backend_end_watch, a_back_end_that_lives_holds_nothing_against_anybody) {
  BackendExitDetector watch;
  (void)watch.NoteBroken({1, kEngine, kStart});
  watch.NoteAnswered(kEngine, kStart + milliseconds(1));
  cr_assert(watch.NoteEnded(kEngine, kStart).empty());
  cr_assert(watch.Settle(Gone, kStart).empty());
}

// An answer that was on its way, or of another request, says nothing of what broke later.
Test(backend_end_watch, an_answer_speaks_for_what_broke_before_it_was_asked_for) {
  BackendExitDetector watch;
  (void)watch.NoteBroken({1, kEngine, kStart});
  (void)watch.NoteBroken({2, kEngine, kStart + seconds(2)});
  watch.NoteAnswered(kEngine, kStart + seconds(1));
  cr_assert(watch.NoteEnded(kEngine, kStart + seconds(3)) ==
            (std::vector<Strike>{{2, kEngine, kStart + seconds(2)}}));
}

// Something went on there: a process that ends later has not ended under the request.
Test(backend_end_watch, of_one_that_went_on_listening_only_another_process_proves_the_end) {
  for (const bool is_replaced : {false, true}) {
    BackendExitDetector watch;
    (void)watch.NoteBroken({1, kEngine, kStart});
    watch.NoteListening(kEngine);
    (void)watch.NoteBroken({2, kEngine, kStart + seconds(2)});
    const std::vector<Strike> strikes =
        is_replaced ? watch.NoteReplaced(kEngine, kStart) : watch.NoteEnded(kEngine, kStart);
    cr_assert(strikes.size() == (is_replaced ? 2 : 1));
    cr_assert(strikes.back() == (Strike{2, kEngine, kStart + seconds(2)}));
  }
}

Test(backend_end_watch, a_refused_connection_alone_says_nothing) {
  BackendExitDetector watch;
  cr_assert(watch.NoteEnded(kEngine, kStart).empty());
  cr_assert(watch.NoteBroken({1, kEngine, kStart}).empty(), "the end was not seen to break it");
}

Test(backend_end_watch, an_entry_that_goes_proves_the_end) {
  BackendExitDetector watch;
  (void)watch.NoteBroken({1, kEngine, kStart});
  cr_assert(watch.Settle(There, kStart + seconds(2)).empty());
  cr_assert(watch.Settle(Gone, kStart + seconds(4)).size() == 1);
}

Test(backend_end_watch, what_is_not_settled_in_time_is_forgotten) {
  BackendExitDetector watch;
  (void)watch.NoteBroken({1, kEngine, kStart});
  cr_assert(watch.Settle(There, kStart + seconds(11)).empty());
  cr_assert(watch.Settle(Gone, kStart + seconds(12)).empty());
}

Test(backend_end_watch, one_probe_a_second) {
  BackendExitDetector watch;
  cr_assert(!watch.TakeProbe(kEngine, kStart), "nothing is in doubt");
  (void)watch.NoteBroken({1, kEngine, kStart});
  cr_assert(watch.TakeProbe(kEngine, kStart));
  cr_assert(!watch.TakeProbe(kEngine, kStart + milliseconds(900)));
  cr_assert(watch.TakeProbe(kEngine, kStart + seconds(1)));
}

}  // namespace
}  // namespace cartsail
