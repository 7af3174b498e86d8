// When one path of this node counts as cut, and when all of them count as lost.
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

Test(path_table, a_failed_connection_alone_proves_nothing) {
  PathTable table;
  table.NoteFailed(kOne, kStart);
  cr_assert(!table.IsCut(kOne));
  cr_assert(table.TakeProbes(kStart + seconds(10), 10).empty());
}

Test(path_table, another_nodes_connection_proves_nothing_without_a_failure_here) {
  PathTable table;
  cr_assert(!table.NoteReachedByOther(kOne, kStart));
  cr_assert(!table.IsCut(kOne));
  table.NoteFailed(kOne, kStart);
  cr_assert(!table.NoteReachedByOther(kOne, kStart + seconds(6)), "the failure is too old");
}

Test(path_table, a_failure_here_and_a_connection_elsewhere_mark_the_path_cut) {
  PathTable table;
  Cut(table, kOne, kStart);
  cr_assert(table.IsCut(kOne) && !table.IsCut(kTwo) && !table.HasLostAllPaths());
  table.NoteConnected(kOne, kStart + seconds(1));
  cr_assert(!table.IsCut(kOne));
}

Test(path_table, consecutive_cuts_mean_that_all_paths_are_lost) {
  PathTable table;
  Cut(table, kOne, kStart);
  Cut(table, kTwo, kStart + milliseconds(10));
  cr_assert(table.HasLostAllPaths() && table.IsCut(kThree), "without a failure of its own");
  table.NoteConnected(kThree, kStart + seconds(1));
  cr_assert(!table.HasLostAllPaths() && !table.IsCut(kThree));
  cr_assert(table.IsCut(kOne) && table.IsCut(kTwo), "each is probed before it is used");
}

Test(path_table, a_connection_in_between_resets_the_count) {
  PathTable table;
  Cut(table, kOne, kStart);
  table.NoteConnected(kThree, kStart + milliseconds(5));
  Cut(table, kTwo, kStart + milliseconds(10));
  cr_assert(!table.HasLostAllPaths());
}

// 12 s with 40 cut paths: probing all of them at once would open 40 connections at a time.
Test(path_table, probes_are_few_and_become_rarer) {
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

// Once the first path is restored, the others are due for probes at once; callers bound their
// number.
Test(path_table, once_one_path_is_restored_the_others_are_probed) {
  PathTable table;
  for (BackendKey backend = 1; backend <= 40; ++backend) Cut(table, backend, kStart);
  (void)table.TakeProbes(kStart + seconds(5), 40);
  const TimePoint back = kStart + seconds(5) + milliseconds(100);
  table.NoteConnected(kOne, back);
  cr_assert(table.TakeProbes(back, 100).size() == 39);
}

Test(path_table, removed_backends_are_forgotten) {
  PathTable table;
  Cut(table, kOne, kStart);
  Cut(table, kTwo, kStart);
  table.ForgetUnless([](BackendKey) { return false; });
  cr_assert(!table.HasLostAllPaths() && table.CutPaths() == 0);
}

}  // namespace
}  // namespace cartsail
