// What callers get when all remaining back ends count as suspended, overdue, failing, slow, cold,
// backing off or leaving, and what ends each of these states without a request. Lost and limited
// back ends have tests of their own.
#include <map>
#include <string>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
const GrantAuthority kFullAuthority{true, 1};
const WarmUp kWarmUp{seconds(3), 8.6};
constexpr int kEngines = 4;
constexpr int kRequests = 40;

RequestProfile MakeProfile() {
  RequestProfile profile;
  profile.service = "s";
  return profile;
}

RequestProfile MakePromptProfile() {
  RequestProfile profile = MakeProfile();
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

  Dispatcher& UnderTest() { return dispatcher_; }

  // Places one request at each engine and ends it with `outcome`.
  void EndAtAll(AttemptOutcome outcome, TimePoint now) {
    for (const std::string& id : Ids()) EndAt(id, outcome, now, now);
  }

  void EndAt(const std::string& id, AttemptOutcome outcome, TimePoint begun, TimePoint ended) {
    const auto placement = dispatcher_.Place(MakeProfile(), AllBut(id), begun, {}, kFullAuthority);
    cr_assert(placement.has_value());
    if (outcome == AttemptOutcome::kAnswered) dispatcher_.Output(placement->ticket, ended);
    dispatcher_.Finish(placement->ticket, outcome, ended);
  }

  // Tries to place kRequests requests at `now`, then ends them. Returns the number placed by
  // back-end id.
  std::map<std::string, int> PlaceMany(const RequestProfile& profile, TimePoint now) {
    std::map<std::string, int> placed;
    std::vector<PlacementTicket> tickets;
    for (int i = 0; i < kRequests; ++i) {
      const auto placement = dispatcher_.Place(profile, {}, now, {}, kFullAuthority);
      if (!placement.has_value()) continue;
      ++placed[placement->backend.id];
      tickets.push_back(placement->ticket);
    }
    for (const PlacementTicket ticket : tickets) {
      dispatcher_.Finish(ticket, AttemptOutcome::kCallerGone, now);
    }
    return placed;
  }

  int Placed(TimePoint now, const RequestProfile& profile = MakeProfile()) {
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

Test(last_back_ends, suspended_ones_are_still_used) {
  Fleet fleet;
  for (int i = 0; i < 10; ++i) fleet.EndAtAll(AttemptOutcome::kNotSent, kStart);
  for (const std::string& id : Fleet::Ids()) {
    cr_assert(fleet.UnderTest().IsSuspended(KeyOf(id), kStart));
    cr_assert(!fleet.UnderTest().IsSuspended(KeyOf(id), kStart + seconds(3)),
              "suspension ends by time");
  }
  cr_assert(fleet.Placed(kStart) == kRequests);
}

Test(last_back_ends, failing_ones_are_still_used) {
  Fleet fleet;
  for (int i = 0; i < 20; ++i) fleet.EndAtAll(AttemptOutcome::kFailedAnswer, kStart);
  cr_assert(fleet.Placed(kStart) == kRequests);
}

// Failures lose their weight with time, without any request to the back end.
Test(last_back_ends, a_failing_one_is_used_again_after_a_while) {
  Fleet fleet;
  for (int i = 0; i < 20; ++i) fleet.EndAt("e0", AttemptOutcome::kFailedAnswer, kStart, kStart);
  cr_assert(fleet.PlaceMany(MakeProfile(), kStart)["e0"] == 0);
  cr_assert(fleet.PlaceMany(MakeProfile(), kStart + seconds(30))["e0"] > 0);
}

// Prompts whose first output never came, as when the node that sent them died.
Test(last_back_ends, overdue_ones_are_still_used) {
  Fleet fleet;
  for (int i = 0; i < kRequests; ++i) {
    cr_assert(
        fleet.UnderTest().Place(MakePromptProfile(), {}, kStart, {}, kFullAuthority).has_value());
  }
  cr_assert(fleet.Placed(kStart + seconds(5), MakePromptProfile()) == kRequests);
}

// Guards against avoiding an engine for good: one that took ten times as long got no more requests
// and so was never measured again.
Test(last_back_ends, a_slow_one_is_used_again_after_a_while) {
  Fleet fleet;
  for (int i = 0; i < 60; ++i) {
    const TimePoint begun = kStart + milliseconds(100) * i;
    fleet.EndAt("e0", AttemptOutcome::kAnswered, begun, begun + seconds(2));
  }
  const TimePoint measured = kStart + seconds(8);
  cr_assert(fleet.PlaceMany(MakeProfile(), measured)["e0"] == 0);
  const int later = fleet.PlaceMany(MakeProfile(), measured + seconds(60))["e0"];
  cr_assert(later >= kRequests / kEngines / 2, "%d", later);
}

Test(last_back_ends, slow_ones_are_still_used) {
  Fleet fleet;
  for (const std::string& id : Fleet::Ids()) {
    fleet.EndAt(id, AttemptOutcome::kAnswered, kStart, kStart + seconds(5));
  }
  cr_assert(fleet.Placed(kStart + seconds(5)) == kRequests);
}

// Cold according to their registry entries: they get their allowance, callers are told the time of
// the next grant, and the cold period ends by time.
Test(last_back_ends, cold_ones_get_their_allowance) {
  Fleet fleet;
  ServiceRule rule;
  rule.name = "s";
  rule.warm_up = kWarmUp;
  fleet.UnderTest().SetWarmUps({rule}, ColdBound());
  for (const std::string& id : Fleet::Ids()) {
    Backend engine = testing::MakeBackend(id, 0);
    engine.cold_until = kStart + seconds(3);
    fleet.UnderTest().Registry().Put(engine);
  }
  const auto most = static_cast<int>(AllowanceOfCold(kWarmUp, ColdBound()).most);
  cr_assert(fleet.Placed(kStart) == most * kEngines);
  const auto wait =
      fleet.UnderTest().MeteredWait(MakeProfile(), {}, kStart + milliseconds(250), kFullAuthority);
  cr_assert(wait == seconds(1), "callers are told when the window opens");
  cr_assert(fleet.Placed(kStart + seconds(1) + kGrantLifetime) == most * kEngines);
  cr_assert(fleet.Placed(kStart + seconds(3)) == kRequests);
}

// They get no request, callers are told the shortest back-off, and it ends by time.
Test(last_back_ends, backing_off_ones_get_nothing_until_it_ends) {
  Fleet fleet;
  Duration backoff = seconds(5);
  for (const std::string& id : Fleet::Ids()) {
    fleet.UnderTest().NoteNotice(KeyOf(id), {false, backoff}, kStart);
    backoff += seconds(1);
  }
  const TimePoint now = kStart + seconds(2);
  cr_assert(fleet.Placed(now) == 0);
  const Dispatcher::Backoffs backoffs = fleet.UnderTest().BackoffsFor(MakeProfile(), now);
  cr_assert(backoffs.all && backoffs.shortest == seconds(3));
  cr_assert(fleet.Placed(kStart + seconds(5)) == kRequests);
}

// Leaving is final for one incarnation; the next one is used at once.
Test(last_back_ends, leaving_ones_get_nothing_until_they_restart) {
  Fleet fleet;
  for (const std::string& id : Fleet::Ids()) fleet.UnderTest().Registry().MarkLeaving(KeyOf(id));
  cr_assert(fleet.Placed(kStart + seconds(600)) == 0);
  const Backend restarted = testing::MakeBackend("e0", 1);
  fleet.UnderTest().Registry().Put(restarted);
  cr_assert(fleet.Placed(kStart + seconds(600)) == kRequests);
}

}  // namespace
}  // namespace cartsail
