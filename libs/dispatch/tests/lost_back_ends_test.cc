// Back ends that lost connections and may have started again since: what ends that doubt, and what
// callers get meanwhile.
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
const GrantAuthority kAll{true, 1};
constexpr Duration kStep = milliseconds(10);
constexpr int kEnginesOfZone = 4;
constexpr size_t kMostQuestions = 32;

RequestProfile Question() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

// Two zones of engines, each of which tells how long it stays cold when it is asked.
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

  Dispatcher& Nodes() { return dispatcher_; }

  // Each engine of the zone loses a request.
  void Lose(const std::string& zone, TimePoint now) {
    for (const Backend& engine : dispatcher_.Registry().All()) {
      if (engine.zone != zone) continue;
      const auto placement = dispatcher_.Place(Question(), AllBut(engine.key), now, {}, kAll);
      if (!placement.has_value()) continue;
      dispatcher_.Finish(placement->ticket, AttemptOutcome::kCut, now);
    }
  }

  // Engines that are asked answer at once, all but those in `silent`.
  void Step(TimePoint now) {
    for (const Backend& engine : dispatcher_.TakeWarmthQueries("s", kMostQuestions, now)) {
      ++questions_;
      if (silent_.contains(engine.id)) continue;
      const Duration left = std::max(cold_until_ - now, Duration(0));
      (void)dispatcher_.NoteWarmth(engine.key, {left, now}, now + milliseconds(1));
    }
  }

  // How many of `per_step` requests in each step until `end` get an engine, and which share.
  double ServedShare(TimePoint* now, TimePoint end, int per_step) {
    int asked = 0;
    int placed = 0;
    for (; *now < end; *now += kStep) {
      Step(*now);
      for (int i = 0; i < per_step; ++i) {
        ++asked;
        const auto placement = dispatcher_.Place(Question(), {}, *now, {}, kAll);
        if (!placement.has_value()) continue;
        ++placed;
        dispatcher_.Finish(placement->ticket, AttemptOutcome::kAnswered, *now + milliseconds(2));
      }
    }
    return static_cast<double>(placed) / asked;
  }

  void Silence(const std::string& id) { silent_.insert(id); }
  void StayColdUntil(TimePoint until) { cold_until_ = until; }
  int Questions() const { return questions_; }

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
  std::set<std::string> silent_;
  TimePoint cold_until_ = kStart;
  int questions_ = 0;
};

// The engines of a zone are lost, and 4.7 s later those of the other one are drained.
void CheckDrainOfTheOthers(Fleet& fleet) {
  fleet.Lose("z1", kStart);
  TimePoint now = kStart + kStep;
  cr_assert(fleet.ServedShare(&now, kStart + milliseconds(4700), 1) == 1);
  fleet.Nodes().Registry().DrainZone("z2", now);
  const double served = fleet.ServedShare(&now, now + milliseconds(1400), 6);
  cr_assert(served == 1, "%.3f", served);
}

// Four engines lost connections, got no request since, as the others looked as good, and were then
// the only ones left: three quarters of the requests were refused for more than a second.
Test(lost_back_ends, serve_at_once_when_a_drain_leaves_only_them) {
  Fleet fleet;
  CheckDrainOfTheOthers(fleet);
}

// Also where nothing but them was there from the first moment on.
Test(lost_back_ends, serve_as_soon_as_they_have_told_that_they_are_warm) {
  Fleet fleet;
  fleet.Nodes().Registry().DrainZone("z2", kStart);
  fleet.Lose("z1", kStart);
  TimePoint now = kStart + kStep;
  (void)fleet.ServedShare(&now, kStart + milliseconds(200), 6);
  cr_assert(fleet.Nodes().ColdOf("s", now).empty());
  cr_assert(fleet.ServedShare(&now, now + seconds(1), 6) == 1);
}

// A question counts as a request, and those that did start again are still cold for as long as they
// tell.
Test(lost_back_ends, that_started_again_get_no_more_than_cold_ones_bear) {
  Fleet fleet;
  fleet.Nodes().Registry().DrainZone("z2", kStart);
  fleet.Lose("z1", kStart);
  fleet.StayColdUntil(kStart + seconds(3));
  const int64_t most = AllowanceOfCold(kWarmUp, ColdBound()).most;
  TimePoint now = kStart + kStep;
  // To one of them: the request that was lost, questions, requests.
  std::vector<TimePoint> sent = {kStart};
  const BackendKey engine = KeyOf("a0");
  std::vector<BackendKey> others;
  for (const Backend& other : fleet.Nodes().Registry().All()) {
    if (other.key != engine) others.push_back(other.key);
  }
  for (; now < kStart + seconds(3); now += kStep) {
    const int before = fleet.Questions();
    fleet.Step(now);
    // All four are asked at the same moments.
    if (fleet.Questions() > before) sent.push_back(now);
    for (int i = 0; i < 6; ++i) {
      const auto placement = fleet.Nodes().Place(Question(), others, now, {}, kAll);
      if (placement.has_value()) sent.push_back(now);
    }
  }
  for (size_t i = static_cast<size_t>(most); i < sent.size(); ++i) {
    cr_assert(sent[i] - sent[i - static_cast<size_t>(most)] >= seconds(1));
  }
  cr_assert(sent.size() >= 10, "%zu", sent.size());
  now = kStart + seconds(3) + milliseconds(10);
  cr_assert(fleet.ServedShare(&now, now + seconds(1), 6) == 1, "warm as they told");
}

Test(lost_back_ends, are_asked_less_and_less_often_where_they_do_not_answer) {
  Fleet fleet;
  for (int i = 0; i < kEnginesOfZone; ++i) fleet.Silence("a" + std::to_string(i));
  fleet.Lose("z1", kStart);
  for (TimePoint now = kStart; now < kStart + seconds(20); now += kStep) fleet.Step(now);
  const int each = fleet.Questions() / kEnginesOfZone;
  cr_assert(each >= 8 && each <= 20, "%d", each);
}

// What it told is of the process before it was lost again.
Test(lost_back_ends, lost_again_are_held_for_cold_again) {
  Fleet fleet;
  fleet.Lose("z1", kStart);
  fleet.Step(kStart + milliseconds(100));
  cr_assert(fleet.Nodes().ColdOf("s", kStart + milliseconds(110)).empty());
  fleet.Lose("z1", kStart + milliseconds(200));
  cr_assert(fleet.Nodes().ColdOf("s", kStart + milliseconds(210)).size() == kEnginesOfZone);
  const TimePoint before = kStart + milliseconds(150);
  cr_assert(!fleet.Nodes().NoteWarmth(KeyOf("a0"), {Duration(0), before}, kStart + seconds(1)));
}

Test(lost_back_ends, of_a_drained_zone_or_that_back_off_are_not_asked) {
  Fleet fleet;
  fleet.Lose("z1", kStart);
  fleet.Nodes().NoteNotice(KeyOf("a0"), {false, seconds(60)}, kStart);
  const TimePoint now = kStart + milliseconds(100);
  fleet.Step(now);
  cr_assert(fleet.Questions() == kEnginesOfZone - 1, "%d", fleet.Questions());
  Fleet drained;
  drained.Lose("z1", kStart);
  drained.Nodes().Registry().DrainZone("z1", kStart);
  drained.Step(now);
  cr_assert(drained.Questions() == 0);
}

// Each gets one of the requests that go to the others, and is warm by its answer.
Test(lost_back_ends, that_can_not_be_asked_are_tried_before_a_drain_leaves_only_them) {
  Fleet fleet("");
  CheckDrainOfTheOthers(fleet);
  cr_assert(fleet.Questions() == 0);
}

// Nothing else is left from the first moment on: their first answers and the time of warming up.
Test(lost_back_ends, that_can_not_be_asked_serve_after_their_first_answers) {
  Fleet fleet("");
  fleet.Nodes().Registry().DrainZone("z2", kStart);
  fleet.Lose("z1", kStart);
  TimePoint now = kStart + kStep;
  (void)fleet.ServedShare(&now, now + kWarmUp.length + milliseconds(300), 6);
  cr_assert(fleet.Questions() == 0);
  cr_assert(fleet.ServedShare(&now, now + seconds(1), 6) == 1);
}

}  // namespace
}  // namespace cartsail
