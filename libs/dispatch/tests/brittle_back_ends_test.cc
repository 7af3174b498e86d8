// Engines that end when they turn away too much: what a dispatcher sends them, and what it does
// when one has turned a request away.
#include "cartsail/dispatch/brittle_back_ends.h"

#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kSlots = 8;
constexpr double kBears = 6;
const GrantAuthority kWhole{true, 1};

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

  void NameAll(TimePoint now) {
    for (const Backend& engine : dispatcher.Registry().All()) {
      RateNotice word;
      word.per_s = kBears;
      word.asked = now;
      word.read = {now, {}};
      (void)dispatcher.Registry().NoteBrittle(engine.key, word);
    }
  }

  std::optional<Placement> Place(TimePoint now) {
    return dispatcher.Place(Profile(), {}, now, {}, kWhole);
  }

  Dispatcher dispatcher;
};

int PlacedAtOnce(Engines& engines, TimePoint now, int most) {
  int placed = 0;
  while (placed < most && engines.Place(now).has_value()) ++placed;
  return placed;
}

Test(brittle_back_ends, those_that_say_nothing_get_what_they_got) {
  Engines engines(2);
  cr_assert(PlacedAtOnce(engines, kStart, 100) == 100);
}

// 100 requests at one moment: the sure room of both, and half of what they bear to turn away.
Test(brittle_back_ends, a_burst_goes_no_further_than_their_room) {
  Engines engines(2);
  engines.NameAll(kStart);
  const int placed = PlacedAtOnce(engines, kStart, 100);
  cr_assert(placed == 2 * 6, "%d", placed);
  const auto wait = engines.dispatcher.MeteredWait(Profile(), {}, kStart, kWhole);
  cr_assert(wait.has_value() && *wait > Duration(0), "the others are told when to come back");
}

// One falls: its load must not fell the next one.
Test(brittle_back_ends, one_that_turns_away_rests_and_the_others_get_no_more_than_their_room) {
  Engines engines(2);
  engines.NameAll(kStart);
  const auto first = engines.Place(kStart);
  engines.dispatcher.Finish(first->ticket, AttemptOutcome::kRefused, kStart);
  int at_resting = 0;
  int at_other = 0;
  while (const auto placement = engines.Place(kStart + milliseconds(500))) {
    ++(placement->backend.key == first->backend.key ? at_resting : at_other);
  }
  cr_assert(at_resting == 0 && at_other == 6, "%d and %d", at_resting, at_other);
  cr_assert(engines.Place(kStart + milliseconds(1300)).has_value(), "it has rested");
}

Test(brittle_back_ends, a_node_without_the_right_sends_none) {
  Engines engines(1);
  engines.NameAll(kStart);
  cr_assert(!engines.dispatcher.Place(Profile(), {}, kStart, {}, {}).has_value());
}

// The word is taken back by an answer of a run that does not name it.
Test(brittle_back_ends, they_are_free_again_when_they_say_so) {
  Engines engines(1);
  engines.NameAll(kStart);
  RateNotice word;
  word.asked = kStart + seconds(1);
  word.read = {kStart + seconds(1), {}};
  const BackendKey key = engines.dispatcher.Registry().All().front().key;
  (void)engines.dispatcher.Registry().NoteBrittle(key, word);
  cr_assert(PlacedAtOnce(engines, kStart + seconds(2), 50) == 50);
}

}  // namespace
}  // namespace cartsail
