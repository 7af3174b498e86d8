// Cold back ends: which are cold and why, how many requests one node grants them, and where the
// other requests go.
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
const GrantAuthority kFullAuthority{true, 1};
// Requests sent within one second were granted within this window, as a grant may be used until
// kGrantLifetime after it was issued.
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

RequestProfile MakeProfile() {
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

std::optional<Placement> Place(Dispatcher& dispatcher, TimePoint now,
                               const GrantAuthority& authority) {
  return dispatcher.Place(MakeProfile(), {}, now, {}, authority);
}

// Tries to place `count` requests at `now`. Returns the number placed by back-end id.
std::map<std::string, int> PlaceMany(Dispatcher& dispatcher, int count, TimePoint now) {
  std::map<std::string, int> placed;
  for (int i = 0; i < count; ++i) {
    const std::optional<Placement> placement = Place(dispatcher, now, kFullAuthority);
    if (placement.has_value()) ++placed[placement->backend.id];
  }
  return placed;
}

Test(cold_allowance, one_node_uses_a_share_of_the_bound) {
  cr_assert(AllowanceOfCold(kWarmUp, kBound).most == 5);
  cr_assert(AllowanceOfCold({kLength, 0.1}, {1, 0}).most == 1, "a back end is never shut out");
}

// Random arrival times, and each request is sent at a random time within its grant.
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

Test(cold_back_ends, none_is_chosen_without_grant_authority) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(2)), MakeEngine("e", "z1")});
  for (int i = 0; i < 50; ++i) {
    cr_assert(Place(dispatcher, kStart, GrantAuthority())->backend.id == "e");
  }
  Dispatcher only = MakeDispatcher({ColdEngine("cold", seconds(2))});
  cr_assert(!Place(only, kStart, GrantAuthority()).has_value());
  cr_assert(only.MeteredWait(MakeProfile(), {}, kStart, GrantAuthority()) == milliseconds(500));
  cr_assert(Place(only, kStart + seconds(2), GrantAuthority()).has_value(), "warm by now");
}

Test(cold_back_ends, wait_is_reported_when_only_cold_ones_are_left) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(20))});
  cr_assert(PlaceMany(dispatcher, 50, kStart)["cold"] == 5);
  const TimePoint now = kStart + milliseconds(100);
  const auto wait = dispatcher.MeteredWait(MakeProfile(), {}, now, kFullAuthority);
  cr_assert(wait == kWindow - milliseconds(100));
  cr_assert(PlaceMany(dispatcher, 50, now + *wait)["cold"] == 5);
  // Without any back end left to try, there is no wait to report.
  const std::vector<BackendKey> tried{KeyOf("cold")};
  cr_assert(!dispatcher.MeteredWait(MakeProfile(), tried, now, kFullAuthority).has_value());
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

Test(cold_back_ends, an_entry_may_report_a_longer_cold_period_than_the_zone) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(30))});
  dispatcher.Registry().DrainZone("z1", kStart);
  dispatcher.Registry().RestoreZone("z1", kStart);
  const std::vector<ColdBackEnd> cold = dispatcher.ColdOf("llm", kStart + seconds(1));
  cr_assert(cold.size() == 1 && cold[0].period.reason == ColdReason::kEntry);
  cr_assert(cold[0].period.until == kStart + seconds(30));
}

Test(cold_back_ends, a_lost_one_is_cold_for_the_warm_up_length_after_its_first_output) {
  for (const AttemptOutcome loss :
       {AttemptOutcome::kNotSent, AttemptOutcome::kCut, AttemptOutcome::kSilent}) {
    Dispatcher dispatcher = MakeDispatcher({MakeEngine("e", "z1")});
    const auto early = Place(dispatcher, kStart, kFullAuthority);
    const auto lost = Place(dispatcher, kStart, kFullAuthority);
    dispatcher.Finish(lost->ticket, loss, kStart + seconds(1));
    cr_assert(dispatcher.ColdOf("llm", kStart + seconds(2)).size() == 1);
    // A request placed before the loss says nothing about a process that started after it.
    dispatcher.Finish(early->ticket, AttemptOutcome::kAnswered, kStart + seconds(2));
    const TimePoint back = kStart + seconds(6);
    const auto first = Place(dispatcher, back, kFullAuthority);
    cr_assert(first.has_value() && first->send_by == back + kGrantLifetime);
    dispatcher.Output(first->ticket, back + milliseconds(100));
    dispatcher.Finish(first->ticket, AttemptOutcome::kAnswered, back + seconds(1));
    const std::vector<ColdBackEnd> cold = dispatcher.ColdOf("llm", back + seconds(2));
    cr_assert(cold.size() == 1 && cold[0].period.reason == ColdReason::kLost);
    cr_assert(cold[0].period.until == back + milliseconds(100) + kLength);
    cr_assert(dispatcher.ColdOf("llm", back + milliseconds(100) + kLength).empty());
  }
}

// Requests that a busy back end got while warm do not use up its allowance after a lost connection.
Test(cold_back_ends, requests_before_a_loss_do_not_count) {
  Dispatcher dispatcher = MakeDispatcher({MakeEngine("e", "z1")});
  for (int i = 0; i < 40; ++i) (void)Place(dispatcher, kStart, kFullAuthority);
  const auto lost = Place(dispatcher, kStart, kFullAuthority);
  dispatcher.Finish(lost->ticket, AttemptOutcome::kCut, kStart + milliseconds(10));
  cr_assert(PlaceMany(dispatcher, 50, kStart + milliseconds(20))["e"] == 5);
}

Test(cold_back_ends, each_incarnation_has_its_own_window) {
  Backend engine = ColdEngine("e", seconds(20));
  engine.started_ms = 1;
  Dispatcher dispatcher = MakeDispatcher({engine});
  cr_assert(PlaceMany(dispatcher, 50, kStart)["e"] == 5);
  engine.started_ms = 2;
  dispatcher.Registry().Put(engine);
  cr_assert(PlaceMany(dispatcher, 50, kStart + milliseconds(10))["e"] == 5);
  cr_assert(PlaceMany(dispatcher, 50, kStart + seconds(1))["e"] == 0);
}

Test(cold_back_ends, a_service_without_warm_up_has_no_cold_back_ends) {
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

// Two cases: the node was suspended until its grant had expired, and the back end's entry reported
// it as cold only after the choice.
Test(cold_back_ends, late_requests_are_not_sent) {
  Dispatcher dispatcher =
      MakeDispatcher({ColdEngine("cold", seconds(20)), MakeEngine("warm", "z1")});
  const auto granted = dispatcher.Place(MakeProfile(), {KeyOf("warm")}, kStart, {}, kFullAuthority);
  cr_assert(granted->backend.id == "cold");
  cr_assert(dispatcher.MaySend(*granted, MakeProfile(), kStart + kGrantLifetime));
  cr_assert(
      !dispatcher.MaySend(*granted, MakeProfile(), kStart + kGrantLifetime + milliseconds(1)));
  const auto free = dispatcher.Place(MakeProfile(), {}, kStart, {}, GrantAuthority());
  cr_assert(dispatcher.MaySend(*free, MakeProfile(), kStart + seconds(1)));
  dispatcher.Registry().Put(ColdEngine("warm", seconds(20)));
  cr_assert(!dispatcher.MaySend(*free, MakeProfile(), kStart + seconds(1)));
}

Test(cold_back_ends, an_unmetered_grant_is_not_adopted) {
  Dispatcher dispatcher = MakeDispatcher({ColdEngine("cold", seconds(20))});
  PlacementGrant grant;
  grant.backend = KeyOf("cold");
  cr_assert(!dispatcher.Adopt("n1", grant, MakeProfile(), kStart, kStart).has_value());
  grant.is_metered = true;
  cr_assert(dispatcher.Adopt("n1", grant, MakeProfile(), kStart, kStart).has_value());
}

Test(cold_back_ends, a_withheld_request_does_not_make_the_back_end_cold) {
  Dispatcher dispatcher = MakeDispatcher({MakeEngine("e", "z1")});
  const auto placement = Place(dispatcher, kStart, GrantAuthority());
  dispatcher.Finish(placement->ticket, AttemptOutcome::kWithheld, kStart);
  cr_assert(dispatcher.ColdOf("llm", kStart).empty());
  cr_assert(Place(dispatcher, kStart, GrantAuthority()).has_value());
}

}  // namespace
}  // namespace cartsail
