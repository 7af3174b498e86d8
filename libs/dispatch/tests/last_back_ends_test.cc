// What callers get where all back ends that are left are held to be suspended, overdue, failing,
// slow, cold, backed off from or leaving, and what ends that without a request. Lost and limited
// ones have tests of their own.
#include <map>
#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
const GrantAuthority kAll{true, 1};
const WarmUp kWarmUp{seconds(3), 8.6};
constexpr int kEngines = 4;
constexpr int kRequests = 40;

RequestProfile Plain() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

RequestProfile Prompt() {
  RequestProfile profile = Plain();
  profile.is_generation = true;
  profile.prompt_parts = {{1, 200}, {2, 600}};
  profile.prompt_tokens = 800;
  return profile;
}

class Fleet {
 public:
  Fleet() {
    for (const std::string& id : Ids()) dispatcher_.Registry().Put(testing::MakeBackend(id, 0));
  }

  static std::vector<std::string> Ids() { return {"e0", "e1", "e2", "e3"}; }

  Dispatcher& Nodes() { return dispatcher_; }

  // A request at each engine ends like this.
  void EndAtAll(AttemptOutcome outcome, TimePoint now) {
    for (const std::string& id : Ids()) EndAt(id, outcome, now, now);
  }

  void EndAt(const std::string& id, AttemptOutcome outcome, TimePoint begun, TimePoint ended) {
    const auto placement = dispatcher_.Place(Plain(), AllBut(id), begun, {}, kAll);
    cr_assert(placement.has_value());
    if (outcome == AttemptOutcome::kAnswered) dispatcher_.Output(placement->ticket, ended);
    dispatcher_.Finish(placement->ticket, outcome, ended);
  }

  // Of kRequests at one moment, by back end.
  std::map<std::string, int> PlaceMany(const RequestProfile& profile, TimePoint now) {
    std::map<std::string, int> placed;
    std::vector<PlacementTicket> tickets;
    for (int i = 0; i < kRequests; ++i) {
      const auto placement = dispatcher_.Place(profile, {}, now, {}, kAll);
      if (!placement.has_value()) continue;
      ++placed[placement->backend.id];
      tickets.push_back(placement->ticket);
    }
    for (const PlacementTicket ticket : tickets) {
      dispatcher_.Finish(ticket, AttemptOutcome::kCallerGone, now);
    }
    return placed;
  }

  int Placed(TimePoint now, const RequestProfile& profile = Plain()) {
    int sum = 0;
    for (const auto& [id, count] : PlaceMany(profile, now)) sum += count;
    return sum;
  }

 private:
  std::vector<BackendKey> AllBut(const std::string& kept) const {
    std::vector<BackendKey> others;
    for (const std::string& id : Ids()) {
      if (id != kept) others.push_back(KeyOf(id));
    }
    return others;
  }

  Dispatcher dispatcher_{PlacementPolicy(), "z1"};
};

Test(last_back_ends, suspended_ones_are_used_all_the_same) {
  Fleet fleet;
  for (int i = 0; i < 10; ++i) fleet.EndAtAll(AttemptOutcome::kNotSent, kStart);
  for (const std::string& id : Fleet::Ids()) {
    cr_assert(fleet.Nodes().IsSuspended(KeyOf(id), kStart));
    cr_assert(!fleet.Nodes().IsSuspended(KeyOf(id), kStart + seconds(3)), "by time");
  }
  cr_assert(fleet.Placed(kStart) == kRequests);
}

Test(last_back_ends, failing_ones_are_used_all_the_same) {
  Fleet fleet;
  for (int i = 0; i < 20; ++i) fleet.EndAtAll(AttemptOutcome::kFailedAnswer, kStart);
  cr_assert(fleet.Placed(kStart) == kRequests);
}

// One that failed is as good as the others after some seconds, with no request there.
Test(last_back_ends, a_failing_one_is_used_again_by_time) {
  Fleet fleet;
  for (int i = 0; i < 20; ++i) fleet.EndAt("e0", AttemptOutcome::kFailedAnswer, kStart, kStart);
  cr_assert(fleet.PlaceMany(Plain(), kStart)["e0"] == 0);
  cr_assert(fleet.PlaceMany(Plain(), kStart + seconds(30))["e0"] > 0);
}

// Prompts whose first output never came: of a node that died with them.
Test(last_back_ends, overdue_ones_are_used_all_the_same) {
  Fleet fleet;
  for (int i = 0; i < kRequests; ++i) {
    cr_assert(fleet.Nodes().Place(Prompt(), {}, kStart, {}, kAll).has_value());
  }
  cr_assert(fleet.Placed(kStart + seconds(5), Prompt()) == kRequests);
}

// An engine that took ten times as long was avoided from then on, and so never measured again.
Test(last_back_ends, a_slow_one_is_used_again_by_time) {
  Fleet fleet;
  for (int i = 0; i < 60; ++i) {
    const TimePoint begun = kStart + milliseconds(100) * i;
    fleet.EndAt("e0", AttemptOutcome::kAnswered, begun, begun + seconds(2));
  }
  const TimePoint measured = kStart + seconds(8);
  cr_assert(fleet.PlaceMany(Plain(), measured)["e0"] == 0);
  const int later = fleet.PlaceMany(Plain(), measured + seconds(60))["e0"];
  cr_assert(later >= kRequests / kEngines / 2, "%d", later);
}

Test(last_back_ends, slow_ones_are_used_all_the_same) {
  Fleet fleet;
  for (const std::string& id : Fleet::Ids()) {
    fleet.EndAt(id, AttemptOutcome::kAnswered, kStart, kStart + seconds(5));
  }
  cr_assert(fleet.Placed(kStart + seconds(5)) == kRequests);
}

// By their entries: what they bear, and the time of the next grant; warm by time.
Test(last_back_ends, cold_ones_get_what_they_bear) {
  Fleet fleet;
  ServiceRule rule;
  rule.name = "s";
  rule.warm_up = kWarmUp;
  fleet.Nodes().SetWarmUps({rule}, ColdBound());
  for (const std::string& id : Fleet::Ids()) {
    Backend engine = testing::MakeBackend(id, 0);
    engine.cold_until = kStart + seconds(3);
    fleet.Nodes().Registry().Put(engine);
  }
  const auto most = static_cast<int>(AllowanceOfCold(kWarmUp, ColdBound()).most);
  cr_assert(fleet.Placed(kStart) == most * kEngines);
  const auto wait = fleet.Nodes().MeteredWait(Plain(), {}, kStart + milliseconds(250), kAll);
  cr_assert(wait == seconds(1), "the callers are told when the window opens");
  cr_assert(fleet.Placed(kStart + seconds(1) + kGrantLifetime) == most * kEngines);
  cr_assert(fleet.Placed(kStart + seconds(3)) == kRequests);
}

// Nothing reaches them; callers are told the shortest back-off; it ends by time.
Test(last_back_ends, that_are_backed_off_from_get_nothing_until_then) {
  Fleet fleet;
  Duration backoff = seconds(5);
  for (const std::string& id : Fleet::Ids()) {
    fleet.Nodes().NoteNotice(KeyOf(id), {false, backoff}, kStart);
    backoff += seconds(1);
  }
  const TimePoint now = kStart + seconds(2);
  cr_assert(fleet.Placed(now) == 0);
  const Dispatcher::Backoffs backoffs = fleet.Nodes().BackoffsFor(Plain(), now);
  cr_assert(backoffs.all && backoffs.shortest == seconds(3));
  cr_assert(fleet.Placed(kStart + seconds(5)) == kRequests);
}

// For good, as far as this start of them goes; another start is used at once.
Test(last_back_ends, leaving_ones_get_nothing_and_their_next_start_does) {
  Fleet fleet;
  for (const std::string& id : Fleet::Ids()) fleet.Nodes().Registry().MarkLeaving(KeyOf(id));
  cr_assert(fleet.Placed(kStart + seconds(600)) == 0);
  const Backend again = testing::MakeBackend("e0", 1);
  fleet.Nodes().Registry().Put(again);
  cr_assert(fleet.Placed(kStart + seconds(600)) == kRequests);
}

}  // namespace
}  // namespace cartsail
