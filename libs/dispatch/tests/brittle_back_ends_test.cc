// Engines that exit when they refuse too many requests: what a dispatcher sends them, and what it
// does after a refusal.
#include "cartsail/dispatch/brittle_back_ends.h"

#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kSlots = 8;
constexpr double kToleratedRefusalsPerS = 6;
const GrantAuthority kFullAuthority{true, 1};

RequestProfile Profile() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

struct Engines {
  explicit Engines(int count) : dispatcher(PlacementPolicy(), "z1") {
    for (int i = 0; i < count; ++i) {
      Backend engine;
      engine.id = "e" + std::to_string(i);
      engine.service = "s";
      engine.address = engine.id + ":1";
      engine.zone = "z1";
      engine.slots = kSlots;
      dispatcher.Registry().Put(engine);
    }
  }

  void MarkAllBrittle(TimePoint now) {
    for (const Backend& engine : dispatcher.Registry().All()) {
      RateNotice notice;
      notice.per_s = kToleratedRefusalsPerS;
      notice.asked = now;
      notice.read = {now, {}};
      (void)dispatcher.Registry().NoteBrittle(engine.key, notice);
    }
  }

  std::optional<Placement> Place(TimePoint now) {
    return dispatcher.Place(Profile(), {}, now, {}, kFullAuthority);
  }

  Dispatcher dispatcher;
};

int PlacedAtOnce(Engines& engines, TimePoint now, int most) {
  int placed = 0;
  while (placed < most && engines.Place(now).has_value()) ++placed;
  return placed;
}

Test(brittle_back_ends, engines_without_the_notice_are_not_limited) {
  Engines engines(2);
  cr_assert(PlacedAtOnce(engines, kStart, 100) == 100);
}

// Of 100 simultaneous requests, placed are the safe room of both engines and half of the refusals
// that they tolerate.
Test(brittle_back_ends, a_burst_is_limited_to_their_room) {
  Engines engines(2);
  engines.MarkAllBrittle(kStart);
  const int placed = PlacedAtOnce(engines, kStart, 100);
  cr_assert(placed == 2 * 6, "%d", placed);
  const auto wait = engines.dispatcher.MeteredWait(Profile(), {}, kStart, kFullAuthority);
  cr_assert(wait.has_value() && *wait > Duration(0), "other callers are told when to retry");
}

// When one engine fails, its load must not make the next one fail.
Test(brittle_back_ends, a_refusal_pauses_one_engine_and_the_others_stay_limited) {
  Engines engines(2);
  engines.MarkAllBrittle(kStart);
  const auto first = engines.Place(kStart);
  engines.dispatcher.Finish(first->ticket, AttemptOutcome::kRefused, kStart);
  int at_paused = 0;
  int at_other = 0;
  while (const auto placement = engines.Place(kStart + milliseconds(500))) {
    ++(placement->backend.key == first->backend.key ? at_paused : at_other);
  }
  cr_assert(at_paused == 0 && at_other == 6, "%d and %d", at_paused, at_other);
  cr_assert(engines.Place(kStart + milliseconds(1300)).has_value(),
            "the pause after the refusal has passed");
}

Test(brittle_back_ends, a_node_without_grant_authority_places_none) {
  Engines engines(1);
  engines.MarkAllBrittle(kStart);
  cr_assert(!engines.dispatcher.Place(Profile(), {}, kStart, {}, {}).has_value());
}

// The answer to a request that ran withdraws the notice by not repeating it.
Test(brittle_back_ends, a_withdrawn_notice_lifts_the_limit) {
  Engines engines(1);
  engines.MarkAllBrittle(kStart);
  RateNotice notice;
  notice.asked = kStart + seconds(1);
  notice.read = {kStart + seconds(1), {}};
  const BackendKey key = engines.dispatcher.Registry().All().front().key;
  (void)engines.dispatcher.Registry().NoteBrittle(key, notice);
  cr_assert(PlacedAtOnce(engines, kStart + seconds(2), 50) == 50);
}

}  // namespace
}  // namespace cartsail
