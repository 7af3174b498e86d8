// The cost of a placement does not grow with the number of back ends of a service. A coordinator
// that examined each engine twice, and searched the holders of each prompt part for each engine,
// could not answer in time with some thousand engines.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/prefix_directory.h"
#include "cartsail/dispatch/service_pools.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr int kRequests = 400;
constexpr uint64_t kSubjects = 20;
// Limit on the back ends that are compared for one request, at any size of the service.
constexpr int64_t kMaxCandidates = 256;

struct Fleet {
  explicit Fleet(int engines) : dispatcher(PlacementPolicy(), "z1") {
    for (int i = 0; i < engines; ++i) {
      dispatcher.Registry().Put(testing::MakeBackend("e" + std::to_string(i), 0));
    }
  }
  Dispatcher dispatcher;
};

RequestProfile PromptAbout(uint64_t subject, uint64_t request) {
  RequestProfile profile;
  profile.service = "s";
  profile.is_generation = true;
  profile.first_output_goal = seconds(2);
  profile.longest_pause = milliseconds(600);
  profile.prompt_parts = {{subject, 5000}, {1000000 + request, 7000}};
  profile.prompt_tokens = 12000;
  return profile;
}

struct Outcome {
  int64_t most_candidates = 0;
  int held = 0;         // requests placed at an engine that held their shared part
  int most_at_one = 0;  // most requests running at one engine at a time
};

// Places kRequests requests 20 ms apart, each of which runs for 1 s.
Outcome PlaceMany(Dispatcher& dispatcher) {
  Outcome outcome;
  std::map<TimePoint, PlacementTicket> running;
  std::map<PlacementTicket, BackendKey> places;
  std::map<BackendKey, int> at;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = kStart + milliseconds(20) * i;
    while (!running.empty() && running.begin()->first <= now) {
      const PlacementTicket ticket = running.begin()->second;
      --at[places[ticket]];
      dispatcher.Finish(ticket, AttemptOutcome::kAnswered, now);
      running.erase(running.begin());
    }
    const auto request = static_cast<uint64_t>(i);
    const std::optional<Placement> placed =
        dispatcher.Place(PromptAbout(request % kSubjects, request), {}, now);
    cr_assert(placed.has_value());
    dispatcher.Output(placed->ticket, now + milliseconds(10));
    outcome.most_candidates = std::max(outcome.most_candidates, placed->candidates);
    outcome.held += placed->held_tokens > 0 ? 1 : 0;
    running[now + seconds(1)] = placed->ticket;
    places[placed->ticket] = placed->backend.key;
    outcome.most_at_one = std::max(outcome.most_at_one, ++at[placed->backend.key]);
  }
  return outcome;
}

Test(placement_at_size, compares_no_more_back_ends_for_a_larger_service) {
  for (const int engines : {100, 1000, 10000, 20000}) {
    Fleet fleet(engines);
    const Outcome outcome = PlaceMany(fleet.dispatcher);
    cr_assert(outcome.most_candidates <= kMaxCandidates, "%ld of %d", outcome.most_candidates,
              engines);
  }
}

// In the large fleet at least as many requests find their shared part held as in the small one, and
// no engine runs more requests at a time.
Test(placement_at_size, chooses_as_well_among_many_as_among_few) {
  Fleet few(200);
  Fleet many(20000);
  const Outcome of_few = PlaceMany(few.dispatcher);
  const Outcome of_many = PlaceMany(many.dispatcher);
  cr_assert(of_many.held >= of_few.held, "%d, %d among few", of_many.held, of_few.held);
  cr_assert(of_many.most_at_one <= of_few.most_at_one, "%d, %d among few", of_many.most_at_one,
            of_few.most_at_one);
}

// When no coordinator answers, each node places by itself without knowing the others' requests.
// Guards against all nodes choosing the same engine: one of 9,714 got 402 times as many requests as
// the mean.
Test(placement_at_size, nodes_without_a_coordinator_spread_their_requests) {
  constexpr int kNodes = 100;
  std::map<BackendKey, int> at;
  for (uint32_t node = 1; node <= kNodes; ++node) {
    Dispatcher dispatcher(PlacementPolicy(), "z1", {}, node * 7919);
    for (int i = 0; i < 1000; ++i) {
      dispatcher.Registry().Put(testing::MakeBackend("e" + std::to_string(i), 0));
    }
    ++at[dispatcher.Place(PromptAbout(node, node), {}, kStart)->backend.key];
  }
  int most = 0;
  for (const auto& [backend, requests] : at) most = std::max(most, requests);
  cr_assert(most <= 5, "%d of %d at one engine", most, kNodes);
}

// Guards against a random sample of back ends that misses the only one left.
Test(placement_at_size, finds_the_last_one_that_was_not_tried) {
  constexpr int kEngines = 600;
  Fleet fleet(kEngines);
  std::vector<BackendKey> tried;
  for (int i = 0; i + 1 < kEngines; ++i) tried.push_back(KeyOf("e" + std::to_string(i)));
  const std::optional<Placement> placed = fleet.dispatcher.Place(PromptAbout(1, 1), tried, kStart);
  cr_assert(placed.has_value() && placed->backend.id == "e599");
}

// Large pools are rebuilt less often; back ends removed or leaving since are not chosen.
Test(placement_at_size, chooses_no_removed_or_leaving_back_end) {
  constexpr int kEngines = 1000;
  Fleet fleet(kEngines);
  (void)fleet.dispatcher.Place(PromptAbout(1, 1), {}, kStart);
  for (int i = 0; i < kEngines; ++i) {
    const std::string id = "e" + std::to_string(i);
    if (i % 3 == 0) fleet.dispatcher.Registry().Remove(id);
    if (i % 3 == 1) fleet.dispatcher.Registry().MarkLeaving(KeyOf(id));
  }
  fleet.dispatcher.ForgetRemovedBackends();
  for (uint64_t i = 0; i < 50; ++i) {
    const std::optional<Placement> placed =
        fleet.dispatcher.Place(PromptAbout(i, i), {}, kStart + milliseconds(1));
    cr_assert(placed.has_value());
    cr_assert(std::stoi(placed->backend.id.substr(1)) % 3 == 2, "%s", placed->backend.id.c_str());
  }
}

// Returns how many back ends the pools examine in 1 s with a request every 1 ms and a new back end
// every 10 ms.
int64_t ExaminedPerSecond(int engines) {
  BackendRegistry registry;
  for (int i = 0; i < engines; ++i) registry.Put(testing::MakeBackend("e" + std::to_string(i), 0));
  const PauseModel pauses;
  const LoadLedger loads;
  const ServiceWorkView work(seconds(5));
  ServicePools pools{PartitionPolicy()};
  for (int i = 0; i < 1000; ++i) {
    if (i % 10 == 0) registry.Put(testing::MakeBackend("new" + std::to_string(i), 0));
    (void)pools.Of("s", {registry, pauses, loads, work}, kStart + milliseconds(i));
  }
  return pools.ExaminedBackends();
}

Test(placement_at_size, maintaining_pools_costs_no_more_for_a_larger_service) {
  constexpr int64_t kMaxExamined = 70000;
  for (const int engines : {100, 1000, 10000, 20000}) {
    const int64_t examined = ExaminedPerSecond(engines);
    cr_assert(examined <= kMaxExamined, "%ld examined with %d engines", examined, engines);
  }
}

// The holders of all prompt parts are found in one step, and forgetting one leaves the others.
Test(placement_at_size, forgets_one_holder_of_many) {
  PrefixDirectory prefixes(seconds(20));
  const std::vector<PromptPart> prompt = {{1, 100}, {2, 200}};
  for (BackendKey backend = 1; backend <= 1000; ++backend) prefixes.Note(1, backend, kStart);
  prefixes.Note(2, 7, kStart);
  prefixes.NoteRead(2, 7);
  cr_assert(prefixes.HoldersOf(prompt, 64, kStart).size() == 64);
  cr_assert(prefixes.HoldersOf(prompt, 64, kStart).front() == 7,
            "holds the most tokens of the prompt");
  prefixes.ForgetUnless([](BackendKey backend) { return backend != 7; });
  cr_assert(prefixes.HeldTokens(prompt, 7, kStart) == 0 && !prefixes.AnyHolds(2, kStart));
  cr_assert(prefixes.HeldTokens(prompt, 8, kStart) == 100);
  prefixes.Expire(kStart + seconds(20));
  cr_assert(prefixes.Size() == 0);
  cr_assert(prefixes.HoldersOf(prompt, 64, kStart).empty());
}

}  // namespace
}  // namespace cartsail
