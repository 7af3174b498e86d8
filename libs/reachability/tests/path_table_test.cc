// When a path of this node's own counts as cut, and when all of them do.
#include "cartsail/reachability/path_table.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr BackendKey kOne = 1;
constexpr BackendKey kTwo = 2;
constexpr BackendKey kThree = 3;

void Cut(PathTable& table, BackendKey backend, TimePoint now) {
  table.NoteFailed(backend, now);
  (void)table.NoteReachedByOther(backend, now + milliseconds(5));
}

Test(path_table, a_connection_that_fails_alone_tells_nothing_of_the_path) {
  PathTable table;
  table.NoteFailed(kOne, kStart);
  cr_assert(!table.IsCut(kOne));
  cr_assert(table.TakeProbes(kStart + seconds(10), 10).empty());
}

Test(path_table, that_another_node_connects_tells_nothing_where_none_failed_here) {
  PathTable table;
  cr_assert(!table.NoteReachedByOther(kOne, kStart));
  cr_assert(!table.IsCut(kOne));
  table.NoteFailed(kOne, kStart);
  cr_assert(!table.NoteReachedByOther(kOne, kStart + seconds(6)), "the failure is long past");
}

Test(path_table, both_together_tell_that_the_path_is_cut_until_a_connection_stands) {
  PathTable table;
  Cut(table, kOne, kStart);
  cr_assert(table.IsCut(kOne) && !table.IsCut(kTwo) && !table.HasLostAllPaths());
  table.NoteConnected(kOne, kStart + seconds(1));
  cr_assert(!table.IsCut(kOne));
}

Test(path_table, several_cut_in_turn_tell_that_all_are) {
  PathTable table;
  Cut(table, kOne, kStart);
  Cut(table, kTwo, kStart + milliseconds(10));
  cr_assert(table.HasLostAllPaths() && table.IsCut(kThree), "not each has to be tried");
  table.NoteConnected(kThree, kStart + seconds(1));
  cr_assert(!table.HasLostAllPaths() && !table.IsCut(kThree));
  cr_assert(table.IsCut(kOne) && table.IsCut(kTwo), "each of them is tried before it is used");
}

Test(path_table, one_that_is_reached_between_tells_that_not_all_are) {
  PathTable table;
  Cut(table, kOne, kStart);
  table.NoteConnected(kThree, kStart + milliseconds(5));
  Cut(table, kTwo, kStart + milliseconds(10));
  cr_assert(!table.HasLostAllPaths());
}

// 12 s with 40 cut paths: a connection for each would be 40 at a time.
Test(path_table, few_probes_at_a_time_and_the_fewer_the_longer_it_lasts) {
  PathTable table;
  for (BackendKey backend = 1; backend <= 40; ++backend) Cut(table, backend, kStart);
  size_t probes = 0;
  for (int tick = 0; tick < 120; ++tick) {
    const size_t now = table.TakeProbes(kStart + milliseconds(100 * tick), 4).size();
    cr_assert(now <= 4);
    probes += now;
  }
  cr_assert(probes >= 40 && probes <= 300, "%zu", probes);
}

// The first one that comes back lets the others be tried at once, a few at a time.
Test(path_table, paths_that_come_back_together_are_found_soon) {
  PathTable table;
  for (BackendKey backend = 1; backend <= 40; ++backend) Cut(table, backend, kStart);
  (void)table.TakeProbes(kStart + seconds(5), 40);
  const TimePoint back = kStart + seconds(5) + milliseconds(100);
  table.NoteConnected(kOne, back);
  cr_assert(table.TakeProbes(back, 100).size() == 39);
}

Test(path_table, back_ends_that_are_gone_are_forgotten) {
  PathTable table;
  Cut(table, kOne, kStart);
  Cut(table, kTwo, kStart);
  table.ForgetUnless([](BackendKey) { return false; });
  cr_assert(!table.HasLostAllPaths() && table.CutPaths() == 0);
}

}  // namespace
}  // namespace cartsail
