// What back ends say of themselves in answers: it binds every way to one incarnation of one back
// end, at the node that was told, and nobody else.
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
constexpr int64_t kFirst = 1800000000000;    // starts, in milliseconds since 1970
constexpr int64_t kSecond = kFirst + 60000;  // later
constexpr Duration kBackoff = seconds(3);
constexpr Duration kHour = seconds(3600);
// What either of two processes may have said binds the later one for so long.
constexpr Duration kDoubt = seconds(10);

RequestProfile Plain() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

BackendKey Key(const std::string& id) { return KeyOf(id, kFirst); }

Dispatcher Three() {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  for (const char* id : {"a", "b", "c"}) dispatcher.Registry().Put(MakeBackend(id, kFirst));
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

// By every way: a choice of this node, a repeat, a coordinator's choice, a request that was placed
// before and waits for its connection, a probe.
Test(backend_notices, nothing_reaches_one_that_asked_to_back_off_by_any_way) {
  Dispatcher dispatcher = Three();
  const std::optional<Placement> placed =
      dispatcher.Adopt("node", GrantAt("a"), Plain(), kStart, kStart);
  cr_assert(dispatcher.MaySend(*placed, Plain(), kStart));
  Backoff(dispatcher, "a", kBackoff, kStart);
  const TimePoint later = kStart + seconds(1);
  cr_assert(!dispatcher.MaySend(*placed, Plain(), later), "under way");
  cr_assert(!dispatcher.Adopt("node", GrantAt("a"), Plain(), later, later).has_value());
  cr_assert(!dispatcher.Registry().MayContact(Key("a"), later), "probe");
  for (int i = 0; i < 20; ++i) {
    const auto own = dispatcher.Place(Plain(), {Key("b")}, later);
    cr_assert(own->backend.id == "c");
  }
  cr_assert(!dispatcher.Place(Plain(), {Key("b"), Key("c")}, later).has_value(), "the last one");
  const TimePoint over = kStart + kBackoff;
  cr_assert(dispatcher.MaySend(*placed, Plain(), over));
  cr_assert(dispatcher.Place(Plain(), {Key("b"), Key("c")}, over).has_value());
}

// It wants nothing from this node: a coordinator that is turned away still places others there.
Test(backend_notices, a_backoff_binds_only_the_node_that_was_told) {
  Dispatcher dispatcher = Three();
  Backoff(dispatcher, "a", kBackoff, kStart);
  const Requester other{"other", "z1", {}};
  const std::vector<BackendKey> tried = {Key("b"), Key("c")};
  cr_assert(dispatcher.PlaceFor(other, Plain(), tried, kStart)->backend.id == "a");
  cr_assert(!dispatcher.Place(Plain(), tried, kStart).has_value());
}

Test(backend_notices, a_question_to_a_coordinator_excludes_those_of_the_service) {
  Dispatcher dispatcher = Three();
  Backend other = MakeBackend("x", kFirst);
  other.service = "t";
  dispatcher.Registry().Put(other);
  Backoff(dispatcher, "a", kBackoff, kStart);
  Backoff(dispatcher, "x", kBackoff, kStart);
  const std::vector<BackendKey> excluded =
      dispatcher.ExcludedFor(Plain(), {Key("b")}, kStart + seconds(1));
  cr_assert(excluded == (std::vector<BackendKey>{Key("b"), Key("a")}));
  cr_assert(dispatcher.ExcludedFor(Plain(), {}, kStart + kBackoff).empty());
}

Test(backend_notices, the_shortest_backoff_is_told_only_when_all_ask_for_one) {
  Dispatcher dispatcher = Three();
  Backoff(dispatcher, "a", kBackoff, kStart);
  Backoff(dispatcher, "b", seconds(2), kStart);
  cr_assert(!dispatcher.BackoffsFor(Plain(), kStart).all);
  Backoff(dispatcher, "c", seconds(5), kStart);
  const Dispatcher::Backoffs backoffs = dispatcher.BackoffsFor(Plain(), kStart + milliseconds(500));
  cr_assert(backoffs.all && backoffs.shortest == milliseconds(1500));
  dispatcher.NoteNotice(Key("b"), {true, std::nullopt}, kStart);
  cr_assert(dispatcher.BackoffsFor(Plain(), kStart).shortest == kBackoff,
            "one that leaves never returns");
  dispatcher.Registry().Remove("a");
  dispatcher.Registry().Remove("c");
  cr_assert(!dispatcher.BackoffsFor(Plain(), kStart).all, "there is none");
}

Test(backend_notices, an_engine_that_starts_again_is_bound_by_nothing) {
  Dispatcher dispatcher = Three();
  dispatcher.NoteNotice(Key("a"), {true, kBackoff, milliseconds(kSecond - 20000)}, kStart);
  dispatcher.Registry().Put(MakeBackend("a", kSecond));
  const std::vector<BackendKey> tried = {Key("b"), Key("c")};
  cr_assert(dispatcher.Place(Plain(), tried, kStart)->backend.started_ms == kSecond);
  // An answer of the process that ended, read late.
  dispatcher.NoteNotice(Key("a"), {true, kBackoff, milliseconds(kSecond)}, kStart);
  cr_assert(dispatcher.Place(Plain(), tried, kStart)->backend.started_ms == kSecond);
}

// It asked before this node heard of its start, while the store was away: what it said was noted
// as of the process before. Four nodes sent one engine three requests each so.
Test(backend_notices, what_a_new_process_said_before_its_entry_came_binds_it) {
  for (const bool by_list : {false, true}) {
    Dispatcher dispatcher = Three();
    dispatcher.NoteNotice(Key("a"), {false, kBackoff, milliseconds(kSecond + 10)}, kStart);
    dispatcher.NoteNotice(Key("b"), {true, std::nullopt, milliseconds(kSecond + 9000)}, kStart);
    if (by_list) {
      dispatcher.Registry().ReplaceAll(
          {MakeBackend("a", kSecond), MakeBackend("b", kSecond), MakeBackend("c", kFirst)});
    } else {
      dispatcher.Registry().Put(MakeBackend("a", kSecond));
      dispatcher.Registry().Put(MakeBackend("b", kSecond));
    }
    cr_assert(!dispatcher.MayReceive(KeyOf("a", kSecond), Plain(), kStart + seconds(1)));
    cr_assert(dispatcher.MayReceive(KeyOf("a", kSecond), Plain(), kStart + kBackoff));
    cr_assert(!dispatcher.MayReceive(KeyOf("b", kSecond), Plain(), kStart + kBackoff));
  }
}

// The clocks may differ: either process may have said it.
Test(backend_notices, of_two_clocks_the_doubt_costs_an_engine_seconds_at_most) {
  Dispatcher dispatcher = Three();
  dispatcher.NoteNotice(Key("a"), {false, kBackoff, milliseconds(kSecond - 1000)}, kStart);
  dispatcher.NoteNotice(Key("b"), {true, kHour, milliseconds(kSecond + 1000)}, kStart);
  dispatcher.NoteNotice(Key("c"), {true, std::nullopt, milliseconds(kSecond - 1000)}, kStart);
  const std::map<std::string, Duration> bound_for = {{"a", kBackoff}, {"b", kDoubt}, {"c", kDoubt}};
  for (const auto& [id, time] : bound_for) {
    dispatcher.Registry().Put(MakeBackend(id, kSecond));
    const BackendKey key = KeyOf(id, kSecond);
    cr_assert(!dispatcher.MayReceive(key, Plain(), kStart + time - milliseconds(1)), "%s",
              id.c_str());
    cr_assert(dispatcher.MayReceive(key, Plain(), kStart + time), "%s", id.c_str());
  }
}

// A node whose clock was set ahead by an hour: each engine that left and started again within that
// hour seemed to leave for good, and all nodes were told so.
Test(backend_notices, a_clock_that_was_set_ahead_costs_an_engine_seconds_at_most) {
  Dispatcher dispatcher = Three();
  const milliseconds told(kFirst + 10000 + 3600 * 1000);
  dispatcher.NoteNotice(Key("a"), {true, std::nullopt, told}, kStart);
  dispatcher.Registry().Put(MakeBackend("a", kSecond));
  const BackendKey reborn = KeyOf("a", kSecond);
  cr_assert(dispatcher.Registry().Find("a")->state == BackendState::kReady);
  cr_assert(dispatcher.TakeDigest(kStart).leaving.empty(), "others are not told");
  cr_assert(dispatcher.MayReceive(reborn, Plain(), kStart + kDoubt));
}

// An hour asked by the process before, then a second by the new one, whose start is not known yet.
Test(backend_notices, a_long_backoff_of_the_process_before_binds_no_new_one) {
  Dispatcher dispatcher = Three();
  dispatcher.NoteNotice(Key("a"), {false, kHour, milliseconds(kSecond - 20000)}, kStart);
  const TimePoint later = kStart + seconds(40);
  dispatcher.NoteNotice(Key("a"), {false, seconds(1), milliseconds(kSecond + 20000)}, later);
  dispatcher.Registry().Put(MakeBackend("a", kSecond));
  const BackendKey reborn = KeyOf("a", kSecond);
  cr_assert(!dispatcher.MayReceive(reborn, Plain(), later));
  cr_assert(dispatcher.MayReceive(reborn, Plain(), later + seconds(1)));
}

// Its entry lapses before the one of the new process comes.
Test(backend_notices, what_a_new_process_said_binds_it_also_where_no_entry_stood_between) {
  for (const bool by_list : {false, true}) {
    Dispatcher dispatcher = Three();
    dispatcher.NoteNotice(Key("a"), {false, kBackoff, milliseconds(kSecond + 10)}, kStart);
    if (by_list) {
      dispatcher.Registry().ReplaceAll({});
      dispatcher.Registry().ReplaceAll({MakeBackend("a", kSecond)});
    } else {
      dispatcher.Registry().Remove("a");
      dispatcher.Registry().Put(MakeBackend("a", kSecond));
    }
    cr_assert(!dispatcher.MayReceive(KeyOf("a", kSecond), Plain(), kStart + seconds(1)));
    cr_assert(dispatcher.MayReceive(KeyOf("a", kSecond), Plain(), kStart + kBackoff));
  }
}

// Its entry lapses while the store is away, or another reader has not heard: it is back as ready.
Test(backend_notices, an_entry_that_comes_back_makes_no_leaving_one_ready) {
  Dispatcher dispatcher = Three();
  dispatcher.NoteNotice(Key("a"), {true, std::nullopt}, kStart);
  dispatcher.Registry().Remove("a");
  dispatcher.Registry().Put(MakeBackend("a", kFirst));
  cr_assert(!dispatcher.MayReceive(Key("a"), Plain(), kStart));
  dispatcher.Registry().ReplaceAll({});
  dispatcher.Registry().ReplaceAll({MakeBackend("a", kFirst), MakeBackend("b", kFirst)});
  cr_assert(!dispatcher.MayReceive(Key("a"), Plain(), kStart));
  cr_assert(dispatcher.MayReceive(Key("b"), Plain(), kStart));
  cr_assert(dispatcher.TakeDigest(kStart).leaving == std::vector<BackendKey>{Key("a")});
}

// A peer that has heard first tells of a back end whose entry is not known here yet.
Test(backend_notices, leaving_told_by_a_peer_holds_for_an_entry_that_comes_later) {
  Dispatcher dispatcher = Three();
  DispatchDigest digest;
  digest.leaving = {Key("late")};
  dispatcher.ApplyDigest("peer", digest, seconds(1), kStart);
  dispatcher.Registry().Put(MakeBackend("late", kFirst));
  cr_assert(!dispatcher.MayReceive(Key("late"), Plain(), kStart));
}

// Random back-offs, leavings, starts and entries that go and come: no request goes to a back end
// that leaves or asked to back off, and one that may receive it is found.
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
          const auto placement = dispatcher.Place(Plain(), {}, now);
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
