// Back ends that named a rate limit: how much one node grants, where other requests go, when
// callers retry, and what a node knows better than its coordinator.
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_allowances.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
const GrantAuthority kFullAuthority{true, 1};
const RateLimitBound kBound;

Backend MakeEngine(const std::string& id) {
  Backend backend;
  backend.id = id;
  backend.service = "llm";
  backend.address = id + ":1";
  backend.zone = "z1";
  backend.slots = 32;
  return backend;
}

RequestProfile MakeProfile() {
  RequestProfile profile;
  profile.service = "llm";
  return profile;
}

Dispatcher MakeDispatcher(const std::vector<std::string>& engines) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  for (const std::string& engine : engines) dispatcher.Registry().Put(MakeEngine(engine));
  return dispatcher;
}

void NameRate(Dispatcher& dispatcher, const std::string& engine, std::optional<double> per_s,
              TimePoint now) {
  RateNotice notice;
  notice.per_s = per_s;
  notice.asked = now - milliseconds(1);
  notice.read.at = now;
  (void)dispatcher.Registry().NoteRate(KeyOf(engine), notice);
}

double AllowedInWindow(double per_s) {
  return kBound.rate_factor * per_s * ToSeconds(kBound.window) + kBound.burst;
}

size_t MaxSentInWindow(std::vector<TimePoint> sent, TimePoint from) {
  std::sort(sent.begin(), sent.end());
  size_t most = 0;
  for (size_t first = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= kBound.window) ++first;
    if (sent[last] >= from) most = std::max(most, last - first + 1);
  }
  return most;
}

// Offers a request every `every` during `time`; placed requests end at once. Returns the times of
// placement by back-end id.
std::map<std::string, std::vector<TimePoint>> PlaceFor(
    Dispatcher& dispatcher, TimePoint from, Duration time, Duration every,
    const GrantAuthority& authority = kFullAuthority) {
  std::map<std::string, std::vector<TimePoint>> placed;
  for (TimePoint now = from; now < from + time; now += every) {
    const auto placement = dispatcher.Place(MakeProfile(), {}, now, {}, authority);
    if (!placement.has_value()) continue;
    placed[placement->backend.id].push_back(now);
    dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, now);
  }
  return placed;
}

// 50 requests per second are offered to one engine, at whole rates, fractional ones and below 1.
Test(limited_back_ends, one_node_grants_the_rate_that_was_named) {
  for (const double per_s : {0.3, 0.7, 1.0, 1.3, 4.5, 20.0}) {
    Dispatcher dispatcher = MakeDispatcher({"e"});
    NameRate(dispatcher, "e", per_s, kStart);
    const std::vector<TimePoint> sent =
        PlaceFor(dispatcher, kStart, seconds(60), milliseconds(20))["e"];
    const auto granted = static_cast<double>(sent.size());
    cr_assert(granted >= 0.8 * per_s * 60 && granted <= per_s * 60 + 2, "%.1f at %.1f a second",
              granted, per_s);
    cr_assert(static_cast<double>(MaxSentInWindow(sent, kStart)) <= AllowedInWindow(per_s));
  }
}

// Only the engine's own answers can show that it accepts more again.
Test(limited_back_ends, one_that_takes_next_to_nothing_is_asked_now_and_then) {
  Dispatcher dispatcher = MakeDispatcher({"e"});
  NameRate(dispatcher, "e", 0, kStart);
  const auto sent = PlaceFor(dispatcher, kStart, seconds(40), milliseconds(20))["e"];
  cr_assert(sent.size() == 10, "%zu", sent.size());
}

// Requests that a busy engine got before it named a rate count as far as the bound reaches back.
Test(limited_back_ends, what_was_sent_before_the_rate_was_named_counts) {
  for (const double before_per_s : {2.0, 6.0, 9.0}) {
    Dispatcher dispatcher = MakeDispatcher({"e"});
    const Duration every = FromSeconds(1 / before_per_s);
    std::vector<TimePoint> sent = PlaceFor(dispatcher, kStart, seconds(8), every, {})["e"];
    const TimePoint named = kStart + seconds(8);
    NameRate(dispatcher, "e", 1, named);
    const auto after = PlaceFor(dispatcher, named, seconds(12), milliseconds(20))["e"];
    sent.insert(sent.end(), after.begin(), after.end());
    const size_t most = MaxSentInWindow(sent, named + kBound.hearing);
    cr_assert(static_cast<double>(most) <= AllowedInWindow(1), "%zu after %.0f a second", most,
              before_per_s);
  }
}

// Guards against counting requests from the time of their grant: eleven that were granted before
// the rate was named and sent when their grants expired were followed by another one 4 s after the
// grants, which makes twelve in 4 s where eleven are allowed.
Test(limited_back_ends, what_was_granted_counts_from_the_latest_moment_at_which_it_is_sent) {
  constexpr double kRate = 1;
  const auto allowed = static_cast<int>(AllowedInWindow(kRate));
  Dispatcher dispatcher = MakeDispatcher({"e"});
  for (int i = 0; i < allowed; ++i) {
    cr_assert(dispatcher.Place(MakeProfile(), {}, kStart, {}, kFullAuthority).has_value());
  }
  std::vector<TimePoint> sent(static_cast<size_t>(allowed), kStart + kGrantLifetime);
  NameRate(dispatcher, "e", kRate, kStart + kGrantLifetime);
  const TimePoint holds = kStart + kGrantLifetime + kBound.hearing;
  for (TimePoint now = kStart + kGrantLifetime; now < kStart + seconds(10);
       now += milliseconds(10)) {
    if (dispatcher.Place(MakeProfile(), {}, now, {}, kFullAuthority).has_value())
      sent.push_back(now);
  }
  const size_t most = MaxSentInWindow(sent, holds);
  cr_assert(most <= static_cast<size_t>(allowed), "%zu in 4 s, %d allowed", most, allowed);
  cr_assert(sent.size() > static_cast<size_t>(allowed), "the engine still gets requests");
}

Test(limited_back_ends, callers_do_not_wait_where_another_one_is_free) {
  Dispatcher dispatcher = MakeDispatcher({"limited", "free"});
  NameRate(dispatcher, "limited", 1, kStart);
  auto placed = PlaceFor(dispatcher, kStart, seconds(10), milliseconds(20));
  cr_assert(placed["limited"].size() + placed["free"].size() == 500);
  cr_assert(placed["limited"].size() <= 11, "%zu", placed["limited"].size());
}

Test(limited_back_ends, without_the_right_none_is_chosen) {
  Dispatcher dispatcher = MakeDispatcher({"limited", "free"});
  NameRate(dispatcher, "limited", 100, kStart);
  auto placed = PlaceFor(dispatcher, kStart, seconds(1), milliseconds(20), {true, 0});
  cr_assert(placed["limited"].empty() && placed["free"].size() == 50);
  const auto wait = dispatcher.MeteredWait(MakeProfile(), {KeyOf("free")}, kStart, {});
  cr_assert(wait == milliseconds(500));
}

Test(limited_back_ends, a_part_of_the_fleet_grants_its_part_of_the_rate) {
  Dispatcher dispatcher = MakeDispatcher({"e"});
  NameRate(dispatcher, "e", 10, kStart);
  auto placed = PlaceFor(dispatcher, kStart, seconds(20), milliseconds(10), {false, 0.25});
  cr_assert(placed["e"].size() >= 45 && placed["e"].size() <= 51, "%zu", placed["e"].size());
}

Test(limited_back_ends, one_that_is_cold_too_gets_what_both_bounds_allow) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  ServiceRule rule;
  rule.name = "llm";
  rule.warm_up = WarmUp{seconds(30), 8.6};
  dispatcher.SetWarmUps({rule}, ColdBound());
  Backend cold = MakeEngine("e");
  cold.cold_until = kStart + seconds(30);
  dispatcher.Registry().Put(cold);
  NameRate(dispatcher, "e", 1, kStart);
  cr_assert(PlaceFor(dispatcher, kStart, seconds(10), milliseconds(20))["e"].size() == 10);
  NameRate(dispatcher, "e", 1000, kStart + seconds(10));
  const TimePoint later = kStart + seconds(11);
  const auto sent = PlaceFor(dispatcher, later, seconds(5), milliseconds(20))["e"];
  cr_assert(sent.size() <= 20, "%zu: five in 1.25 s, as it is cold", sent.size());
}

Test(limited_back_ends, one_that_names_no_rate_any_more_gets_all) {
  Dispatcher dispatcher = MakeDispatcher({"e"});
  NameRate(dispatcher, "e", 1, kStart);
  NameRate(dispatcher, "e", {}, kStart + seconds(5));
  auto placed = PlaceFor(dispatcher, kStart + seconds(5), seconds(1), milliseconds(20), {});
  cr_assert(placed["e"].size() == 50);
}

// All engines are limited and get far more requests than they accept: the retry times that refused
// callers are given are staggered.
Test(limited_back_ends, refused_callers_come_back_as_room_comes_about) {
  constexpr int kEngines = 9;
  constexpr int kRefusedBefore = 18;  // what the engines accept in 2 s
  std::vector<std::string> engines;
  for (int i = 0; i < kEngines; ++i) engines.push_back("e" + std::to_string(i));
  Dispatcher dispatcher = MakeDispatcher(engines);
  for (const std::string& engine : engines) NameRate(dispatcher, engine, 1, kStart);
  for (int i = 0; i < kEngines; ++i) {
    cr_assert(dispatcher.Place(MakeProfile(), {}, kStart, {}, kFullAuthority).has_value());
  }
  std::vector<Duration> waits;
  for (int i = 0; i < kRefusedBefore; ++i) {
    waits.push_back(*dispatcher.MeteredWait(MakeProfile(), {}, kStart, kFullAuthority));
  }
  cr_assert(waits.front() == seconds(1), "when the first may get one more");
  for (size_t i = 1; i < waits.size(); ++i) {
    const double apart = ToSeconds(waits[i] - waits[i - 1]);
    cr_assert(apart > 0.1 && apart < 0.12, "%.3f", apart);
  }
  // Callers that retry 5 % later than they were told are placed.
  for (const Duration wait : waits) {
    cr_assert(dispatcher.Place(MakeProfile(), {}, kStart + wait + wait / 20, {}, kFullAuthority));
  }
  const TimePoint later = kStart + seconds(4);
  while (dispatcher.Place(MakeProfile(), {}, later, {}, kFullAuthority).has_value()) continue;
  Duration last{};
  for (int i = 0; i < 1000; ++i)
    last = *dispatcher.MeteredWait(MakeProfile(), {}, later, kFullAuthority);
  cr_assert(last == RetrySchedule::kLongest);
}

// The coordinator runs an earlier build or has not learnt of the rate yet.
Test(limited_back_ends, a_choice_by_one_that_does_not_know_the_rate_is_not_taken) {
  Dispatcher dispatcher = MakeDispatcher({"e"});
  NameRate(dispatcher, "e", 1, kStart);
  PlacementGrant grant;
  grant.backend = KeyOf("e");
  const TimePoint never = TimePoint::min();
  cr_assert(!dispatcher.Adopt("n1", grant, MakeProfile(), never, kStart).has_value());
  cr_assert(dispatcher.Adopt("n1", grant, MakeProfile(), kStart, kStart).has_value(),
            "it knows of a later notice");
  NameRate(dispatcher, "e", 1, kStart + seconds(1));
  cr_assert(!dispatcher.Adopt("n1", grant, MakeProfile(), kStart, kStart + seconds(1)).has_value());
  grant.is_metered = true;
  cr_assert(dispatcher.Adopt("n1", grant, MakeProfile(), never, kStart + seconds(1)).has_value());
}

Test(limited_back_ends, what_waits_for_a_connection_when_a_rate_is_named_is_not_sent) {
  Dispatcher dispatcher = MakeDispatcher({"e"});
  const auto placement = dispatcher.Place(MakeProfile(), {}, kStart, {}, kFullAuthority);
  cr_assert(dispatcher.MaySend(*placement, MakeProfile(), kStart));
  NameRate(dispatcher, "e", 5, kStart + milliseconds(10));
  cr_assert(!dispatcher.MaySend(*placement, MakeProfile(), kStart + milliseconds(20)));
  const TimePoint later = kStart + seconds(4);
  const auto granted = dispatcher.Place(MakeProfile(), {}, later, {}, kFullAuthority);
  cr_assert(dispatcher.MaySend(*granted, MakeProfile(), later + kGrantLifetime));
  cr_assert(!dispatcher.MaySend(*granted, MakeProfile(), later + kGrantLifetime + milliseconds(1)));
}

// A query for cached prompt parts is not a caller's request.
Test(limited_back_ends, it_is_asked_nothing_beside_requests_of_callers) {
  Dispatcher dispatcher = MakeDispatcher({"e"});
  cr_assert(dispatcher.Registry().MayAsk(KeyOf("e"), kStart));
  NameRate(dispatcher, "e", 1000, kStart);
  cr_assert(!dispatcher.Registry().MayAsk(KeyOf("e"), kStart));
  cr_assert(dispatcher.Registry().MayContact(KeyOf("e"), kStart), "to see whether it lives");
}

// A restarted back end may answer before its start is known here; the rate that it names is then
// recorded under the key of the earlier incarnation.
Test(limited_back_ends, a_later_incarnation_keeps_what_it_said_itself) {
  Dispatcher dispatcher = MakeDispatcher({});
  Backend engine = MakeEngine("e");
  engine.started_ms = 1800000000000;
  dispatcher.Registry().Put(engine);
  const BackendKey earlier = dispatcher.Registry().Find("e")->key;
  RateNotice notice;
  notice.per_s = 1;
  notice.read = {kStart, milliseconds(1800000100000)};
  (void)dispatcher.Registry().NoteRate(earlier, notice);
  engine.started_ms = 1800000090000;
  dispatcher.Registry().Put(engine);
  const BackendKey later = dispatcher.Registry().Find("e")->key;
  cr_assert(dispatcher.Registry().Limits().Of(later)->per_s == 1);
  engine.started_ms = 1800000200000;
  dispatcher.Registry().Remove("e");
  dispatcher.Registry().Put(engine);
  const BackendKey last = dispatcher.Registry().Find("e")->key;
  cr_assert(!dispatcher.Registry().Limits().Of(last).has_value(), "of a process before");
}

// The engine's idle connections closed while it got few requests, and idle connections alone decide
// between engines that answer at once.
Test(limited_back_ends, one_that_took_its_rate_back_is_not_passed_over_for_want_of_connections) {
  Dispatcher dispatcher = MakeDispatcher({"e1", "e2"});
  NameRate(dispatcher, "e1", 0.5, kStart);
  NameRate(dispatcher, "e1", std::nullopt, kStart + seconds(8));
  int at_first = 0;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kStart + seconds(9) + milliseconds(20 * i);
    const auto placement = dispatcher.Place(MakeProfile(), {}, now, {KeyOf("e2")}, kFullAuthority);
    at_first += placement->backend.id == "e1" ? 1 : 0;
    dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, now + milliseconds(2));
  }
  cr_assert(at_first > 0, "%d of 20", at_first);
}

}  // namespace
}  // namespace cartsail
