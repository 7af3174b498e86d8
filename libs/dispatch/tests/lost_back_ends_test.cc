// Back ends whose connections were lost and that may have restarted since: what shows that they are
// warm, and what callers get meanwhile.
#include <set>
#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
const WarmUp kWarmUp{seconds(1), 8};
const GrantAuthority kFullAuthority{true, 1};
constexpr Duration kStep = milliseconds(10);
constexpr int kEnginesOfZone = 4;
constexpr size_t kMaxQueries = 32;

RequestProfile MakeProfile() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

// Two zones of engines, each of which reports how long it stays cold when it is queried.
class Fleet {
 public:
  explicit Fleet(const std::string& health_path = "/health") {
    ServiceRule rule;
    rule.name = "s";
    rule.warm_up = kWarmUp;
    rule.health_path = health_path;
    dispatcher_.SetWarmUps({rule}, ColdBound());
    for (int i = 0; i < kEnginesOfZone; ++i) {
      Add("a" + std::to_string(i), "z1");
      Add("b" + std::to_string(i), "z2");
    }
  }

  Dispatcher& UnderTest() { return dispatcher_; }

  // Cuts the connection of one request at each engine of `zone`.
  void CutConnections(const std::string& zone, TimePoint now) {
    for (const Backend& engine : dispatcher_.Registry().All()) {
      if (engine.zone != zone) continue;
      const auto placement =
          dispatcher_.Place(MakeProfile(), AllBut(engine.key), now, {}, kFullAuthority);
      if (!placement.has_value()) continue;
      dispatcher_.Finish(placement->ticket, AttemptOutcome::kCut, now);
    }
  }

  // Answers the warmth queries that are due at `now`, except for engines in `unanswering_`.
  void AnswerQueries(TimePoint now) {
    for (const Backend& engine : dispatcher_.TakeWarmthQueries("s", kMaxQueries, now)) {
      ++query_count_;
      if (unanswering_.contains(engine.id)) continue;
      const Duration left = std::max(cold_until_ - now, Duration(0));
      (void)dispatcher_.NoteWarmth(engine.key, {left, now}, now + milliseconds(1));
    }
  }

  // Places `per_step` requests in each step from `*now` until `end`, which must be later, and
  // advances `*now`. Returns the share that got an engine, 0 to 1.
  double ServedShare(TimePoint* now, TimePoint end, int per_step) {
    int asked = 0;
    int placed = 0;
    for (; *now < end; *now += kStep) {
      AnswerQueries(*now);
      for (int i = 0; i < per_step; ++i) {
        ++asked;
        const auto placement = dispatcher_.Place(MakeProfile(), {}, *now, {}, kFullAuthority);
        if (!placement.has_value()) continue;
        ++placed;
        dispatcher_.Finish(placement->ticket, AttemptOutcome::kAnswered, *now + milliseconds(2));
      }
    }
    return static_cast<double>(placed) / asked;
  }

  void StopAnswering(const std::string& id) { unanswering_.insert(id); }
  void StayColdUntil(TimePoint until) { cold_until_ = until; }
  int QueryCount() const { return query_count_; }

 private:
  void Add(const std::string& id, const std::string& zone) {
    Backend engine = testing::MakeBackend(id, 0);
    engine.zone = zone;
    dispatcher_.Registry().Put(engine);
  }

  std::vector<BackendKey> AllBut(BackendKey kept) const {
    std::vector<BackendKey> others;
    for (const Backend& engine : dispatcher_.Registry().All()) {
      if (engine.key != kept) others.push_back(engine.key);
    }
    return others;
  }

  Dispatcher dispatcher_{PlacementPolicy(), "z1"};
  std::set<std::string> unanswering_;
  TimePoint cold_until_ = kStart;
  int query_count_ = 0;
};

// The engines of one zone lose connections, and 4.7 s later the other zone is drained: no request
// may be refused.
void CheckServedAfterDrainOfOtherZone(Fleet& fleet) {
  fleet.CutConnections("z1", kStart);
  TimePoint now = kStart + kStep;
  cr_assert(fleet.ServedShare(&now, kStart + milliseconds(4700), 1) == 1);
  fleet.UnderTest().Registry().DrainZone("z2", now);
  const double served = fleet.ServedShare(&now, now + milliseconds(1400), 6);
  cr_assert(served == 1, "%.3f", served);
}

// Guards against refusing three quarters of the requests for more than a second: four engines lost
// connections, got no request since because the others looked as good, and were then the only ones
// left.
Test(lost_back_ends, serve_at_once_when_a_drain_leaves_no_others) {
  Fleet fleet;
  CheckServedAfterDrainOfOtherZone(fleet);
}

// Only lost engines are available from the start.
Test(lost_back_ends, serve_once_they_report_that_they_are_warm) {
  Fleet fleet;
  fleet.UnderTest().Registry().DrainZone("z2", kStart);
  fleet.CutConnections("z1", kStart);
  TimePoint now = kStart + kStep;
  (void)fleet.ServedShare(&now, kStart + milliseconds(200), 6);
  cr_assert(fleet.UnderTest().ColdOf("s", now).empty());
  cr_assert(fleet.ServedShare(&now, now + seconds(1), 6) == 1);
}

// A warmth query counts as a request, and engines that did restart stay cold for as long as they
// report.
Test(lost_back_ends, that_restarted_get_at_most_the_cold_allowance) {
  Fleet fleet;
  fleet.UnderTest().Registry().DrainZone("z2", kStart);
  fleet.CutConnections("z1", kStart);
  fleet.StayColdUntil(kStart + seconds(3));
  const int64_t most = AllowanceOfCold(kWarmUp, ColdBound()).most;
  TimePoint now = kStart + kStep;
  // What engine a0 receives: the request that was cut, warmth queries, and placed requests.
  std::vector<TimePoint> sent = {kStart};
  const BackendKey engine = KeyOf("a0");
  std::vector<BackendKey> others;
  for (const Backend& other : fleet.UnderTest().Registry().All()) {
    if (other.key != engine) others.push_back(other.key);
  }
  for (; now < kStart + seconds(3); now += kStep) {
    const int before = fleet.QueryCount();
    fleet.AnswerQueries(now);
    // All four engines are queried at the same times.
    if (fleet.QueryCount() > before) sent.push_back(now);
    for (int i = 0; i < 6; ++i) {
      const auto placement =
          fleet.UnderTest().Place(MakeProfile(), others, now, {}, kFullAuthority);
      if (placement.has_value()) sent.push_back(now);
    }
  }
  for (size_t i = static_cast<size_t>(most); i < sent.size(); ++i) {
    cr_assert(sent[i] - sent[i - static_cast<size_t>(most)] >= seconds(1));
  }
  cr_assert(sent.size() >= 10, "%zu", sent.size());
  now = kStart + seconds(3) + milliseconds(10);
  cr_assert(fleet.ServedShare(&now, now + seconds(1), 6) == 1, "warm as reported");
}

Test(lost_back_ends, are_queried_less_often_when_they_do_not_answer) {
  Fleet fleet;
  for (int i = 0; i < kEnginesOfZone; ++i) fleet.StopAnswering("a" + std::to_string(i));
  fleet.CutConnections("z1", kStart);
  for (TimePoint now = kStart; now < kStart + seconds(20); now += kStep) fleet.AnswerQueries(now);
  const int each = fleet.QueryCount() / kEnginesOfZone;
  cr_assert(each >= 8 && each <= 20, "%d", each);
}

// An answer from before the second loss describes the process before that loss.
Test(lost_back_ends, lost_again_count_as_cold_again) {
  Fleet fleet;
  fleet.CutConnections("z1", kStart);
  fleet.AnswerQueries(kStart + milliseconds(100));
  cr_assert(fleet.UnderTest().ColdOf("s", kStart + milliseconds(110)).empty());
  fleet.CutConnections("z1", kStart + milliseconds(200));
  cr_assert(fleet.UnderTest().ColdOf("s", kStart + milliseconds(210)).size() == kEnginesOfZone);
  const TimePoint before = kStart + milliseconds(150);
  cr_assert(!fleet.UnderTest().NoteWarmth(KeyOf("a0"), {Duration(0), before}, kStart + seconds(1)));
}

Test(lost_back_ends, drained_or_backing_off_are_not_queried) {
  Fleet fleet;
  fleet.CutConnections("z1", kStart);
  fleet.UnderTest().NoteNotice(KeyOf("a0"), {false, seconds(60)}, kStart);
  const TimePoint now = kStart + milliseconds(100);
  fleet.AnswerQueries(now);
  cr_assert(fleet.QueryCount() == kEnginesOfZone - 1, "%d", fleet.QueryCount());
  Fleet drained;
  drained.CutConnections("z1", kStart);
  drained.UnderTest().Registry().DrainZone("z1", kStart);
  drained.AnswerQueries(now);
  cr_assert(drained.QueryCount() == 0);
}

// Without a health path, each lost engine gets one of the requests that go to the others, and is
// warm again through its answer.
Test(lost_back_ends, without_health_path_are_tried_before_a_drain_leaves_no_others) {
  Fleet fleet("");
  CheckServedAfterDrainOfOtherZone(fleet);
  cr_assert(fleet.QueryCount() == 0);
}

// Only lost engines without a health path are available from the start: they serve all requests
// once they have answered first and the warm-up length has passed.
Test(lost_back_ends, without_health_path_serve_after_their_first_answers) {
  Fleet fleet("");
  fleet.UnderTest().Registry().DrainZone("z2", kStart);
  fleet.CutConnections("z1", kStart);
  TimePoint now = kStart + kStep;
  (void)fleet.ServedShare(&now, now + kWarmUp.length + milliseconds(300), 6);
  cr_assert(fleet.QueryCount() == 0);
  cr_assert(fleet.ServedShare(&now, now + seconds(1), 6) == 1);
}

}  // namespace
}  // namespace cartsail
