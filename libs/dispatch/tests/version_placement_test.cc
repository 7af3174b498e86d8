// Neither streams nor prompt memory pass from engines of one version to engines of another.
#include <map>
#include <string>

#include "cartsail/dispatch/dispatcher.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
constexpr int kEngines = 6;
constexpr int kRequests = 200;

Backend MakeEngine(int number) {
  Backend engine;
  engine.id = "e" + std::to_string(number);
  engine.service = "llm";
  engine.address = engine.id + ":1";
  engine.zone = "z1";
  engine.slots = 8;
  engine.version = number % 2 == 0 ? "v1" : "v2";
  return engine;
}

RequestProfile MakeProfile(uint64_t subject) {
  RequestProfile profile;
  profile.service = "llm";
  profile.is_generation = true;
  profile.first_output_goal = milliseconds(400);
  profile.prompt_parts = {{subject, 6000}, {1000000 + subject, 800}};
  profile.prompt_tokens = 6800;
  profile.bytes_per_token = 1000;
  return profile;
}

class MixedFleet {
 public:
  MixedFleet() : dispatcher_(PlacementPolicy(), "z1") {
    for (int i = 0; i < kEngines; ++i) dispatcher_.Registry().Put(MakeEngine(i));
  }

  Dispatcher& operator*() { return dispatcher_; }
  Dispatcher* operator->() { return &dispatcher_; }

  std::string VersionOf(BackendKey key) {
    const Backend* engine = dispatcher_.Registry().FindByKey(key);
    return engine == nullptr ? std::string() : engine->version;
  }

 private:
  Dispatcher dispatcher_;
};

// Guards against continuing a stream at an engine of another version of its service.
Test(version_placement, a_resumed_stream_goes_to_its_version_only) {
  MixedFleet fleet;
  for (int i = 0; i < kRequests; ++i) {
    RequestProfile profile = MakeProfile(static_cast<uint64_t>(i % 7));
    profile.version = i % 2 == 0 ? "v1" : "v2";
    const auto placement = fleet->Place(profile, {}, kStart + milliseconds(i));
    cr_assert(placement.has_value() && placement->backend.version == profile.version);
    cr_assert(fleet->MaySend(*placement, profile, kStart + milliseconds(i)));
    profile.version = "v3";
    cr_assert(!fleet->MaySend(*placement, profile, kStart + milliseconds(i)));
    cr_assert(!fleet->Place(profile, {}, kStart + milliseconds(i)).has_value());
    cr_assert(fleet->ReadyFor(profile, kStart + milliseconds(i)) == 0);
  }
}

// Coordinators of earlier builds are not told the version.
Test(version_placement, a_grant_at_another_version_is_not_adopted) {
  MixedFleet fleet;
  RequestProfile profile = MakeProfile(1);
  profile.version = "v1";
  for (int i = 0; i < kEngines; ++i) {
    PlacementGrant grant;
    grant.backend = KeyOf("e" + std::to_string(i));
    const bool adopted = fleet->Adopt("node", grant, profile, kStart, kStart).has_value();
    cr_assert(adopted == (i % 2 == 0));
  }
}

// The version of the engine changes while a request is on its way to it.
Test(version_placement, nothing_is_sent_after_the_engine_changed_its_version) {
  MixedFleet fleet;
  RequestProfile profile = MakeProfile(1);
  profile.version = "v1";
  const auto placement = fleet->Place(profile, {}, kStart);
  cr_assert(placement.has_value());
  Backend upgraded = placement->backend;
  upgraded.version = "v2";
  fleet->Registry().Put(upgraded);
  cr_assert(!fleet->MaySend(*placement, profile, kStart));
}

Test(version_placement, prompt_memory_is_fetched_from_engines_of_the_same_version_only) {
  MixedFleet fleet;
  int fetched = 0;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = kStart + milliseconds(20 * i);
    const auto placement = fleet->Place(MakeProfile(static_cast<uint64_t>(i % 3)), {}, now);
    cr_assert(placement.has_value());
    fleet->Output(placement->ticket, now);
    if (i % 8 == 0) fleet->Finish(placement->ticket, AttemptOutcome::kAnswered, now);
    if (placement->fetch_prefix_key == 0) continue;
    ++fetched;
    cr_assert(fleet.VersionOf(placement->fetch_prefix_key) == placement->backend.version);
  }
  cr_assert(fetched > 0, "no prompt memory was fetched, so nothing was checked");
}

Test(version_placement, a_grant_is_adopted_without_prompt_memory_of_another_version) {
  MixedFleet fleet;
  for (int holder = 1; holder < kEngines; ++holder) {
    PlacementGrant grant;
    grant.backend = KeyOf("e0");
    grant.fetch_prefix_from = KeyOf("e" + std::to_string(holder));
    const auto placement = fleet->Adopt("node", grant, MakeProfile(1), kStart, kStart);
    cr_assert(placement.has_value());
    cr_assert(placement->fetch_prefix_from.empty() == (holder % 2 == 1));
  }
}

}  // namespace
}  // namespace cartsail
