// Cold back ends: who is cold and why, how many requests one node grants, where the others go.
#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
constexpr Duration kLength = seconds(3);
const WarmUp kWarmUp{kLength, 8.6};
const ColdBound kBound;
const GrantAuthority kAll{true, 1};
// What is sent in one second was granted within this time.
constexpr Duration kWindow = seconds(1) + kGrantLifetime;
const GrantAllowance kFive{5, kWindow};
const GrantAllowance kTwo{2, kWindow};

std::vector<ServiceRule> Rules() {
  ServiceRule rule;
  rule.name = "llm";
  rule.warm_up = kWarmUp;
  return {rule};
}

Backend MakeEngine(const std::string& id, const std::string& zone) {
  Backend backend;
  backend.id = id;
  backend.service = "llm";
  backend.address = id + ":1";
  backend.zone = zone;
  backend.slots = 32;
  return backend;
}

Backend ColdEngine(const std::string& id, Duration left) {
  Backend backend = MakeEngine(id, "z1");
  backend.cold_until = kStart + left;
  return backend;
}

RequestProfile Question() {
  RequestProfile profile;
  profile.service = "llm";
  profile.is_generation = true;
  profile.prompt_parts = {{1, 200}, {2, 600}};
  profile.prompt_tokens = 800;
  return profile;
}

Dispatcher MakeDispatcher(const std::vector<Backend>& engines) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.SetWarmUps(Rules(), kBound);
  for (const Backend& engine : engines) dispatcher.Registry().Put(engine);
  return dispatcher;
}

std::optional<Placement> Place(Dispatcher& dispatcher, TimePoint now, const GrantAuthority& right) {
  return dispatcher.Place(Question(), {}, now, {}, right);
}

// Places as many as are placed at one moment; by back end.
std::map<std::string, int> PlaceMany(Dispatcher& dispatcher, int count, TimePoint now) {
  std::map<std::string, int> placed;
  for (int i = 0; i < count; ++i) {
    const std::optional<Placement> placement = Place(dispatcher, now, kAll);
    if (placement.has_value()) ++placed[placement->backend.id];
  }
  return placed;
}

Test(cold_allowance, one_node_uses_a_share_of_the_bound) {
  cr_assert(AllowanceOfCold(kWarmUp, kBound).most == 5);
  cr_assert(AllowanceOfCold({kLength, 0.1}, {1, 0}).most == 1, "a back end is never shut out");
}

// Whatever moments are asked for, and however late each request is sent within its grant.
Test(cold_allowance, no_second_gets_more_than_granted) {
  std::mt19937 random(3);
  GrantLimiter limiter;
  std::vector<TimePoint> sent;
  TimePoint now = kStart;
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(random() % 60);
    if (limiter.WaitFor(1, kFive, now) > Duration(0)) continue;
    limiter.NoteGrant(1, now);
    sent.push_back(now + milliseconds(random() % 251));
    limiter.Expire(now);
  }
  std::sort(sent.begin(), sent.end());
  for (size_t i = 5; i < sent.size(); ++i) cr_assert(sent[i] - sent[i - 5] >= seconds(1));
  cr_assert(sent.size() > 300, "%zu", sent.size());
}

Test(cold_allowance, the_wait_ends_when_the_window_opens) {
  GrantLimiter limiter;
  limiter.NoteGrant(1, kStart);
  limiter.NoteGrant(1, kStart + milliseconds(400));
  const TimePoint now = kStart + milliseconds(500);
  const Duration wait = limiter.WaitFor(1, kTwo, now);
  cr_assert(wait == kWindow - milliseconds(500));
  cr_assert(limiter.WaitFor(1, kTwo, now + wait) == Duration(0));
  cr_assert(limiter.WaitFor(2, kTwo, now) == Duration(0));
}

Test(cold_back_ends, without_the_right_none_is_chosen) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(2)), MakeEngine("e", "z1")});
  for (int i = 0; i < 50; ++i) {
    cr_assert(Place(dispatcher, kStart, GrantAuthority())->backend.id == "e");
  }
  Dispatcher only = MakeDispatcher({ColdEngine("cold", seconds(2))});
  cr_assert(!Place(only, kStart, GrantAuthority()).has_value());
  cr_assert(only.MeteredWait(Question(), {}, kStart, GrantAuthority()) == milliseconds(500));
  cr_assert(Place(only, kStart + seconds(2), GrantAuthority()).has_value(), "warm by now");
}

Test(cold_back_ends, only_cold_ones_left_tell_when_the_window_opens) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(20))});
  cr_assert(PlaceMany(dispatcher, 50, kStart)["cold"] == 5);
  const TimePoint now = kStart + milliseconds(100);
  const auto wait = dispatcher.MeteredWait(Question(), {}, now, kAll);
  cr_assert(wait == kWindow - milliseconds(100));
  cr_assert(PlaceMany(dispatcher, 50, now + *wait)["cold"] == 5);
  // Where none is left at all, nothing is said of cold ones.
  const std::vector<BackendKey> tried{KeyOf("cold")};
  cr_assert(!dispatcher.MeteredWait(Question(), tried, now, kAll).has_value());
}

Test(cold_back_ends, a_burst_goes_elsewhere_when_a_whole_zone_comes_back_cold) {
  std::vector<Backend> engines;
  for (int i = 0; i < 10; ++i) engines.push_back(MakeEngine("a" + std::to_string(i), "z1"));
  for (int i = 0; i < 10; ++i) engines.push_back(MakeEngine("b" + std::to_string(i), "z2"));
  Dispatcher dispatcher = MakeDispatcher(engines);
  dispatcher.Registry().DrainZone("z1", kStart);
  cr_assert(dispatcher.Registry().RestoreZone("z1", kStart + seconds(5)));
  const TimePoint now = kStart + seconds(6);
  cr_assert(dispatcher.ColdOf("llm", now).size() == 10);
  int elsewhere = 0;
  for (const auto& [id, count] : PlaceMany(dispatcher, 300, now)) {
    if (id[0] == 'a') cr_assert(count <= 5, "%d at %s", count, id.c_str());
    if (id[0] == 'b') elsewhere += count;
  }
  cr_assert(elsewhere >= 250, "%d", elsewhere);
  const std::vector<ColdBackEnd> cold = dispatcher.ColdOf("llm", now);
  cr_assert(cold[0].period.reason == ColdReason::kRestored);
  cr_assert(cold[0].period.until == kStart + seconds(5) + kLength);
  cr_assert(dispatcher.ColdOf("llm", kStart + seconds(5) + kLength).empty());
}

Test(cold_back_ends, an_entry_may_tell_of_a_longer_spell_than_the_zone) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(30))});
  dispatcher.Registry().DrainZone("z1", kStart);
  dispatcher.Registry().RestoreZone("z1", kStart);
  const std::vector<ColdBackEnd> cold = dispatcher.ColdOf("llm", kStart + seconds(1));
  cr_assert(cold.size() == 1 && cold[0].period.reason == ColdReason::kEntry);
  cr_assert(cold[0].period.until == kStart + seconds(30));
}

Test(cold_back_ends, a_lost_one_is_cold_until_it_has_answered_for_the_length) {
  for (const AttemptOutcome loss :
       {AttemptOutcome::kNotSent, AttemptOutcome::kCut, AttemptOutcome::kSilent}) {
    Dispatcher dispatcher = MakeDispatcher({MakeEngine("e", "z1")});
    const auto early = Place(dispatcher, kStart, kAll);
    const auto lost = Place(dispatcher, kStart, kAll);
    dispatcher.Finish(lost->ticket, loss, kStart + seconds(1));
    cr_assert(dispatcher.ColdOf("llm", kStart + seconds(2)).size() == 1);
    // What began before the loss tells nothing of the start after it.
    dispatcher.Finish(early->ticket, AttemptOutcome::kAnswered, kStart + seconds(2));
    const TimePoint back = kStart + seconds(6);
    const auto first = Place(dispatcher, back, kAll);
    cr_assert(first.has_value() && first->send_by == back + kGrantLifetime);
    dispatcher.Output(first->ticket, back + milliseconds(100));
    dispatcher.Finish(first->ticket, AttemptOutcome::kAnswered, back + seconds(1));
    const std::vector<ColdBackEnd> cold = dispatcher.ColdOf("llm", back + seconds(2));
    cr_assert(cold.size() == 1 && cold[0].period.reason == ColdReason::kLost);
    cr_assert(cold[0].period.until == back + milliseconds(100) + kLength);
    cr_assert(dispatcher.ColdOf("llm", back + milliseconds(100) + kLength).empty());
  }
}

// A busy one that loses one connection is not shut out for what it got while it was warm.
Test(cold_back_ends, what_a_lost_one_got_before_does_not_count) {
  Dispatcher dispatcher = MakeDispatcher({MakeEngine("e", "z1")});
  for (int i = 0; i < 40; ++i) (void)Place(dispatcher, kStart, kAll);
  const auto lost = Place(dispatcher, kStart, kAll);
  dispatcher.Finish(lost->ticket, AttemptOutcome::kCut, kStart + milliseconds(10));
  cr_assert(PlaceMany(dispatcher, 50, kStart + milliseconds(20))["e"] == 5);
}

Test(cold_back_ends, another_incarnation_starts_a_window_of_its_own) {
  Backend engine = ColdEngine("e", seconds(20));
  engine.started_ms = 1;
  Dispatcher dispatcher = MakeDispatcher({engine});
  cr_assert(PlaceMany(dispatcher, 50, kStart)["e"] == 5);
  engine.started_ms = 2;
  dispatcher.Registry().Put(engine);
  cr_assert(PlaceMany(dispatcher, 50, kStart + milliseconds(10))["e"] == 5);
  cr_assert(PlaceMany(dispatcher, 50, kStart + seconds(1))["e"] == 0);
}

Test(cold_back_ends, a_service_without_warm_up_is_untouched) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.SetWarmUps({ServiceRule{.name = "llm"}}, kBound);
  dispatcher.Registry().Put(ColdEngine("e", seconds(20)));
  dispatcher.Registry().DrainZone("z1", kStart);
  dispatcher.Registry().RestoreZone("z1", kStart);
  for (int i = 0; i < 30; ++i) {
    const auto placement = Place(dispatcher, kStart, GrantAuthority());
    cr_assert(placement.has_value() && !placement->send_by.has_value());
  }
  cr_assert(dispatcher.ColdOf("llm", kStart).empty());
}

// A node that was frozen with a grant, and one whose entry told of the cold after the choice.
Test(cold_back_ends, what_comes_too_late_is_not_sent) {
  Dispatcher dispatcher =
      MakeDispatcher({ColdEngine("cold", seconds(20)), MakeEngine("warm", "z1")});
  const auto granted = dispatcher.Place(Question(), {KeyOf("warm")}, kStart, {}, kAll);
  cr_assert(granted->backend.id == "cold");
  cr_assert(dispatcher.MaySend(*granted, Question(), kStart + kGrantLifetime));
  cr_assert(!dispatcher.MaySend(*granted, Question(), kStart + kGrantLifetime + milliseconds(1)));
  const auto free = dispatcher.Place(Question(), {}, kStart, {}, GrantAuthority());
  cr_assert(dispatcher.MaySend(*free, Question(), kStart + seconds(1)));
  dispatcher.Registry().Put(ColdEngine("warm", seconds(20)));
  cr_assert(!dispatcher.MaySend(*free, Question(), kStart + seconds(1)));
}

Test(cold_back_ends, a_grant_of_a_coordinator_that_does_not_know_of_the_cold_is_not_taken) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(20))});
  PlacementGrant grant;
  grant.backend = KeyOf("cold");
  cr_assert(!dispatcher.Adopt("n1", grant, Question(), kStart, kStart).has_value());
  grant.is_metered = true;
  cr_assert(dispatcher.Adopt("n1", grant, Question(), kStart, kStart).has_value());
}

Test(cold_back_ends, what_this_node_withheld_tells_nothing_of_the_back_end) {
  Dispatcher dispatcher = MakeDispatcher({MakeEngine("e", "z1")});
  const auto placement = Place(dispatcher, kStart, GrantAuthority());
  dispatcher.Finish(placement->ticket, AttemptOutcome::kWithheld, kStart);
  cr_assert(dispatcher.ColdOf("llm", kStart).empty());
  cr_assert(Place(dispatcher, kStart, GrantAuthority()).has_value());
}

}  // namespace
}  // namespace cartsail
