// Notices that back ends put into answers: back off, or leaving. Each applies to every path by
// which a request reaches one incarnation of one back end. A back-off binds only the node that
// received it; peers are told of leaving back ends.
#include "cartsail/dispatch/backend_notices.h"

#include <random>
#include <set>

#include "cartsail/dispatch/dispatcher.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::MakeBackend;

constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr int64_t kFirstStartMs = 1800000000000;  // process start, ms since the Unix epoch
constexpr int64_t kSecondStartMs = kFirstStartMs + 60000;
constexpr Duration kBackoff = seconds(3);
constexpr Duration kHour = seconds(3600);
// Longest time for which a notice that either of two processes may have sent binds the later one.
constexpr Duration kMaxAmbiguousNotice = seconds(10);

RequestProfile MakeProfile() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

BackendKey Key(const std::string& id) { return KeyOf(id, kFirstStartMs); }

Dispatcher MakeDispatcherOfThree() {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  for (const char* id : {"a", "b", "c"}) dispatcher.Registry().Put(MakeBackend(id, kFirstStartMs));
  return dispatcher;
}

void Backoff(Dispatcher& dispatcher, const std::string& id, Duration backoff, TimePoint now) {
  dispatcher.NoteNotice(Key(id), {false, backoff}, now);
}

PlacementGrant GrantAt(const std::string& id) {
  PlacementGrant grant;
  grant.backend = Key(id);
  return grant;
}

Test(backend_notices, a_backoff_ends_by_itself_and_the_last_end_holds) {
  BackendNotices notices;
  cr_assert(!notices.BackoffLeft(1, kStart).has_value());
  cr_assert(notices.NoteBackoff(1, kBackoff, {kStart}));
  cr_assert(!notices.NoteBackoff(1, seconds(1), {kStart + seconds(1)}),
            "it is backing off already");
  cr_assert(notices.BackoffLeft(1, kStart + seconds(1)) == seconds(2),
            "a shorter one changes nothing");
  notices.NoteBackoff(1, kBackoff, {kStart + seconds(1)});
  cr_assert(notices.BackoffLeft(1, kStart + seconds(3)) == seconds(1));
  cr_assert(!notices.BackoffLeft(1, kStart + seconds(4)).has_value());
  cr_assert(notices.NoteBackoff(1, kBackoff, {kStart + seconds(5)}), "again");
  notices.Expire(kStart + seconds(9));
  cr_assert(notices.BackingOff(kStart + seconds(5)).empty(), "forgotten");
}

Test(backend_notices, no_time_is_none) {
  BackendNotices notices;
  cr_assert(!notices.NoteBackoff(1, Duration(0), {kStart}));
  cr_assert(!notices.NoteBackoff(1, -seconds(1), {kStart}));
  cr_assert(!notices.BackoffLeft(1, kStart).has_value());
}

Test(backend_notices, leaving_ones_are_remembered_up_to_a_bound) {
  BackendNotices notices;
  for (BackendKey key = 0; key <= BackendNotices::kMaxLeavingRemembered; ++key)
    notices.NoteLeaving(key);
  cr_assert(!notices.IsLeaving(0) && notices.IsLeaving(1));
  cr_assert(notices.IsLeaving(BackendNotices::kMaxLeavingRemembered));
}

// The paths: a choice of this node, a retry, a coordinator's choice, a request that was placed
// before and waits for its connection, and a probe.
Test(backend_notices, nothing_reaches_one_that_asked_to_back_off_by_any_way) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  const std::optional<Placement> placed =
      dispatcher.Adopt("node", GrantAt("a"), MakeProfile(), kStart, kStart);
  cr_assert(dispatcher.MaySend(*placed, MakeProfile(), kStart));
  Backoff(dispatcher, "a", kBackoff, kStart);
  const TimePoint later = kStart + seconds(1);
  cr_assert(!dispatcher.MaySend(*placed, MakeProfile(), later), "under way");
  cr_assert(!dispatcher.Adopt("node", GrantAt("a"), MakeProfile(), later, later).has_value());
  cr_assert(!dispatcher.Registry().MayContact(Key("a"), later), "probe");
  for (int i = 0; i < 20; ++i) {
    const auto own = dispatcher.Place(MakeProfile(), {Key("b")}, later);
    cr_assert(own->backend.id == "c");
  }
  cr_assert(!dispatcher.Place(MakeProfile(), {Key("b"), Key("c")}, later).has_value(),
            "the last one");
  const TimePoint over = kStart + kBackoff;
  cr_assert(dispatcher.MaySend(*placed, MakeProfile(), over));
  cr_assert(dispatcher.Place(MakeProfile(), {Key("b"), Key("c")}, over).has_value());
}

// The back end refuses this node only: a coordinator that was told to back off still places other
// nodes' requests there.
Test(backend_notices, a_backoff_binds_only_the_node_that_was_told) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  Backoff(dispatcher, "a", kBackoff, kStart);
  const Requester other{"other", "z1", {}};
  const std::vector<BackendKey> tried = {Key("b"), Key("c")};
  cr_assert(dispatcher.PlaceFor(other, MakeProfile(), tried, kStart)->backend.id == "a");
  cr_assert(!dispatcher.Place(MakeProfile(), tried, kStart).has_value());
}

Test(backend_notices, a_question_to_a_coordinator_excludes_those_of_the_service) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  Backend other = MakeBackend("x", kFirstStartMs);
  other.service = "t";
  dispatcher.Registry().Put(other);
  Backoff(dispatcher, "a", kBackoff, kStart);
  Backoff(dispatcher, "x", kBackoff, kStart);
  const std::vector<BackendKey> excluded =
      dispatcher.ExcludedFor(MakeProfile(), {Key("b")}, kStart + seconds(1));
  cr_assert(excluded == (std::vector<BackendKey>{Key("b"), Key("a")}));
  cr_assert(dispatcher.ExcludedFor(MakeProfile(), {}, kStart + kBackoff).empty());
}

Test(backend_notices, the_shortest_backoff_is_told_only_when_all_ask_for_one) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  Backoff(dispatcher, "a", kBackoff, kStart);
  Backoff(dispatcher, "b", seconds(2), kStart);
  cr_assert(!dispatcher.BackoffsFor(MakeProfile(), kStart).all);
  Backoff(dispatcher, "c", seconds(5), kStart);
  const Dispatcher::Backoffs backoffs =
      dispatcher.BackoffsFor(MakeProfile(), kStart + milliseconds(500));
  cr_assert(backoffs.all && backoffs.shortest == milliseconds(1500));
  dispatcher.NoteNotice(Key("b"), {true, std::nullopt}, kStart);
  cr_assert(dispatcher.BackoffsFor(MakeProfile(), kStart).shortest == kBackoff,
            "one that leaves never returns");
  dispatcher.Registry().Remove("a");
  dispatcher.Registry().Remove("c");
  cr_assert(!dispatcher.BackoffsFor(MakeProfile(), kStart).all, "there is none");
}

Test(backend_notices, an_engine_that_starts_again_is_bound_by_nothing) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  dispatcher.NoteNotice(Key("a"), {true, kBackoff, milliseconds(kSecondStartMs - 20000)}, kStart);
  dispatcher.Registry().Put(MakeBackend("a", kSecondStartMs));
  const std::vector<BackendKey> tried = {Key("b"), Key("c")};
  cr_assert(dispatcher.Place(MakeProfile(), tried, kStart)->backend.started_ms == kSecondStartMs);
  // An answer of the ended process, read late.
  dispatcher.NoteNotice(Key("a"), {true, kBackoff, milliseconds(kSecondStartMs)}, kStart);
  cr_assert(dispatcher.Place(MakeProfile(), tried, kStart)->backend.started_ms == kSecondStartMs);
}

// The new process sent the notice before this node learnt of its start, as the store was
// unavailable, so the notice was recorded for the earlier process. Guards against dropping it: four
// nodes then sent one engine three requests each.
Test(backend_notices, what_a_new_process_said_before_its_entry_came_binds_it) {
  for (const bool by_list : {false, true}) {
    Dispatcher dispatcher = MakeDispatcherOfThree();
    dispatcher.NoteNotice(Key("a"), {false, kBackoff, milliseconds(kSecondStartMs + 10)}, kStart);
    dispatcher.NoteNotice(Key("b"), {true, std::nullopt, milliseconds(kSecondStartMs + 9000)},
                          kStart);
    if (by_list) {
      dispatcher.Registry().ReplaceAll({MakeBackend("a", kSecondStartMs),
                                        MakeBackend("b", kSecondStartMs),
                                        MakeBackend("c", kFirstStartMs)});
    } else {
      dispatcher.Registry().Put(MakeBackend("a", kSecondStartMs));
      dispatcher.Registry().Put(MakeBackend("b", kSecondStartMs));
    }
    cr_assert(
        !dispatcher.MayReceive(KeyOf("a", kSecondStartMs), MakeProfile(), kStart + seconds(1)));
    cr_assert(dispatcher.MayReceive(KeyOf("a", kSecondStartMs), MakeProfile(), kStart + kBackoff));
    cr_assert(!dispatcher.MayReceive(KeyOf("b", kSecondStartMs), MakeProfile(), kStart + kBackoff));
  }
}

// The clocks may differ, so either process may have sent the notice.
Test(backend_notices, of_two_clocks_the_doubt_costs_an_engine_seconds_at_most) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  dispatcher.NoteNotice(Key("a"), {false, kBackoff, milliseconds(kSecondStartMs - 1000)}, kStart);
  dispatcher.NoteNotice(Key("b"), {true, kHour, milliseconds(kSecondStartMs + 1000)}, kStart);
  dispatcher.NoteNotice(Key("c"), {true, std::nullopt, milliseconds(kSecondStartMs - 1000)},
                        kStart);
  const std::map<std::string, Duration> bound_for = {
      {"a", kBackoff}, {"b", kMaxAmbiguousNotice}, {"c", kMaxAmbiguousNotice}};
  for (const auto& [id, time] : bound_for) {
    dispatcher.Registry().Put(MakeBackend(id, kSecondStartMs));
    const BackendKey key = KeyOf(id, kSecondStartMs);
    cr_assert(!dispatcher.MayReceive(key, MakeProfile(), kStart + time - milliseconds(1)), "%s",
              id.c_str());
    cr_assert(dispatcher.MayReceive(key, MakeProfile(), kStart + time), "%s", id.c_str());
  }
}

// Guards against a node clock that is one hour ahead: each engine that left and restarted within
// that hour seemed to leave for good, and all nodes were told so.
Test(backend_notices, a_clock_that_was_set_ahead_costs_an_engine_seconds_at_most) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  const milliseconds told(kFirstStartMs + 10000 + 3600 * 1000);
  dispatcher.NoteNotice(Key("a"), {true, std::nullopt, told}, kStart);
  dispatcher.Registry().Put(MakeBackend("a", kSecondStartMs));
  const BackendKey restarted = KeyOf("a", kSecondStartMs);
  cr_assert(dispatcher.Registry().Find("a")->state == BackendState::kReady);
  cr_assert(dispatcher.TakeDigest(kStart).leaving.empty(), "others are not told");
  cr_assert(dispatcher.MayReceive(restarted, MakeProfile(), kStart + kMaxAmbiguousNotice));
}

// The earlier process asks for one hour, then the new one, whose start is not known yet, for 1 s.
Test(backend_notices, a_long_backoff_of_the_process_before_binds_no_new_one) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  dispatcher.NoteNotice(Key("a"), {false, kHour, milliseconds(kSecondStartMs - 20000)}, kStart);
  const TimePoint later = kStart + seconds(40);
  dispatcher.NoteNotice(Key("a"), {false, seconds(1), milliseconds(kSecondStartMs + 20000)}, later);
  dispatcher.Registry().Put(MakeBackend("a", kSecondStartMs));
  const BackendKey restarted = KeyOf("a", kSecondStartMs);
  cr_assert(!dispatcher.MayReceive(restarted, MakeProfile(), later));
  cr_assert(dispatcher.MayReceive(restarted, MakeProfile(), later + seconds(1)));
}

// The earlier entry expires before the entry of the new process arrives.
Test(backend_notices, what_a_new_process_said_binds_it_also_where_no_entry_stood_between) {
  for (const bool by_list : {false, true}) {
    Dispatcher dispatcher = MakeDispatcherOfThree();
    dispatcher.NoteNotice(Key("a"), {false, kBackoff, milliseconds(kSecondStartMs + 10)}, kStart);
    if (by_list) {
      dispatcher.Registry().ReplaceAll({});
      dispatcher.Registry().ReplaceAll({MakeBackend("a", kSecondStartMs)});
    } else {
      dispatcher.Registry().Remove("a");
      dispatcher.Registry().Put(MakeBackend("a", kSecondStartMs));
    }
    cr_assert(
        !dispatcher.MayReceive(KeyOf("a", kSecondStartMs), MakeProfile(), kStart + seconds(1)));
    cr_assert(dispatcher.MayReceive(KeyOf("a", kSecondStartMs), MakeProfile(), kStart + kBackoff));
  }
}

// The entry expires while the store is unavailable, or comes from a reader that does not know of
// the leaving notice, and returns in state ready.
Test(backend_notices, an_entry_that_comes_back_makes_no_leaving_one_ready) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  dispatcher.NoteNotice(Key("a"), {true, std::nullopt}, kStart);
  dispatcher.Registry().Remove("a");
  dispatcher.Registry().Put(MakeBackend("a", kFirstStartMs));
  cr_assert(!dispatcher.MayReceive(Key("a"), MakeProfile(), kStart));
  dispatcher.Registry().ReplaceAll({});
  dispatcher.Registry().ReplaceAll(
      {MakeBackend("a", kFirstStartMs), MakeBackend("b", kFirstStartMs)});
  cr_assert(!dispatcher.MayReceive(Key("a"), MakeProfile(), kStart));
  cr_assert(dispatcher.MayReceive(Key("b"), MakeProfile(), kStart));
  cr_assert(dispatcher.TakeDigest(kStart).leaving == std::vector<BackendKey>{Key("a")});
}

// A peer reports a leaving back end whose entry is not known here yet.
Test(backend_notices, leaving_told_by_a_peer_holds_for_an_entry_that_comes_later) {
  Dispatcher dispatcher = MakeDispatcherOfThree();
  DispatchDigest digest;
  digest.leaving = {Key("late")};
  dispatcher.ApplyDigest("peer", digest, seconds(1), kStart);
  dispatcher.Registry().Put(MakeBackend("late", kFirstStartMs));
  cr_assert(!dispatcher.MayReceive(Key("late"), MakeProfile(), kStart));
}

// Random back-offs, leaving notices, restarts, and entries that come and go: no request goes to a
// back end that is leaving or asked to back off, and a back end that may receive it is found.
Test(backend_notices, thousand_random_schedules_keep_to_what_was_told) {
  for (uint32_t seed = 0; seed < 1000; ++seed) {
    std::mt19937 random(seed);
    Dispatcher dispatcher(PlacementPolicy(), "z1");
    std::map<std::string, int64_t> starts;
    std::map<BackendKey, TimePoint> backoffs;
    std::set<BackendKey> leaving;
    TimePoint now = kStart;
    for (int step = 0; step < 80; ++step) {
      now += milliseconds(random() % 300);
      const std::string id = "e" + std::to_string(random() % 4);
      const BackendKey key = KeyOf(id, starts[id]);
      switch (random() % 6) {
        case 0:
          dispatcher.Registry().Put(MakeBackend(id, starts[id]));
          break;
        case 1:
          starts[id] += 60000;
          dispatcher.Registry().Put(MakeBackend(id, starts[id]));
          break;
        case 2:
          dispatcher.Registry().Remove(id);
          break;
        case 3: {
          const Duration backoff = milliseconds(random() % 2000);
          dispatcher.NoteNotice(key, {false, backoff, milliseconds(starts[id])}, now);
          if (backoff > Duration(0)) backoffs[key] = std::max(backoffs[key], now + backoff);
          break;
        }
        case 4:
          dispatcher.NoteNotice(key, {true, std::nullopt, milliseconds(starts[id])}, now);
          leaving.insert(key);
          break;
        default: {
          const auto placement = dispatcher.Place(MakeProfile(), {}, now);
          const auto is_open = [&](const Backend& backend) {
            return !leaving.contains(backend.key) && backoffs[backend.key] <= now;
          };
          const std::vector<Backend> all = dispatcher.Registry().All();
          const bool some_open = std::any_of(all.begin(), all.end(), is_open);
          cr_assert(placement.has_value() == some_open, "seed %u step %d", seed, step);
          if (placement.has_value()) cr_assert(is_open(placement->backend), "seed %u", seed);
        }
      }
      dispatcher.Tick(now);
    }
  }
}

}  // namespace
}  // namespace cartsail
