// Data residency in placement: over random fleets no restricted request, and no prompt memory,
// leaves the regions that it may be in.
#include <algorithm>
#include <random>

#include "cartsail/dispatch/dispatcher.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
constexpr int kFleets = 60;
constexpr int kRequests = 120;

using ZoneRegions = std::map<std::string, std::string>;

Backend MakeEngine(const std::string& id, const std::string& zone) {
  Backend engine;
  engine.id = id;
  engine.service = "llm";
  engine.address = id + ":1";
  engine.zone = zone;
  engine.slots = 8;
  return engine;
}

RequestProfile MakeProfile(uint64_t subject) {
  RequestProfile profile;
  profile.service = "llm";
  profile.is_generation = true;
  profile.first_output_goal = milliseconds(400);
  profile.longest_pause = milliseconds(250);
  profile.prompt_parts = {{subject, 6000}, {1000000 + subject, 800}};
  profile.prompt_tokens = 6800;
  profile.bytes_per_token = 1000;
  return profile;
}

const ZoneRegions kZones = {{"e1", "east"}, {"e2", "east"}, {"w1", "west"}, {"n1", "north"}};

// A fleet of random engines and the random requests that are sent to it.
class RandomFleet {
 public:
  explicit RandomFleet(uint32_t seed)
      : random_(seed), dispatcher_(PlacementPolicy(), "e1", RegionMap(kZones)) {
    const std::vector<std::string> zones = {"e1", "e2", "w1", "n1", "unnamed"};
    const int engines = 1 + Pick(12);
    for (int i = 0; i < engines; ++i) {
      const std::string& zone = zones[static_cast<size_t>(Pick(5))];
      dispatcher_.Registry().Put(MakeEngine("e" + std::to_string(i), zone));
    }
  }

  void Play() {
    for (int i = 0; i < kRequests; ++i) {
      now_ += milliseconds(Pick(40));
      if (Pick(20) == 0) ToggleDrain();
      PlayOne();
      if (running_.size() > 20 || Pick(3) == 0) EndOne();
    }
  }

  int Placed() const { return placed_; }
  int Refused() const { return refused_; }
  int Fetches() const { return fetches_; }

 private:
  int Pick(int count) { return static_cast<int>(random_() % static_cast<uint32_t>(count)); }

  void ToggleDrain() {
    BackendRegistry& registry = dispatcher_.Registry();
    if (!registry.DrainZone("e2", now_)) registry.RestoreZone("e2", now_);
  }

  RequestProfile RandomProfile() {
    RequestProfile profile = MakeProfile(static_cast<uint64_t>(Pick(4)));
    const std::vector<Residency> choices = {std::nullopt,
                                            std::vector<std::string>{"east"},
                                            std::vector<std::string>{"west"},
                                            std::vector<std::string>{"east", "north"},
                                            std::vector<std::string>{"nowhere"},
                                            std::vector<std::string>{}};
    profile.residency = choices[static_cast<size_t>(Pick(6))];
    return profile;
  }

  void PlayOne() {
    const RequestProfile profile = RandomProfile();
    std::vector<BackendKey> tried;
    if (Pick(4) == 0) tried.push_back(KeyOf("e0"));
    std::optional<Placement> placement;
    switch (Pick(3)) {
      case 0:
        placement = dispatcher_.Place(profile, tried, now_);
        break;
      case 1:
        placement = dispatcher_.PlaceFor({"peer", "w1", {}}, profile, tried, now_);
        break;
      default:
        placement = dispatcher_.Adopt("10.0.0.9", RandomGrant(), profile, now_, now_);
    }
    if (!placement.has_value()) {
      ++refused_;
      return;
    }
    ++placed_;
    CheckPlaced(profile, *placement);
    running_.push_back(placement->ticket);
    if (Pick(2) == 0) dispatcher_.Output(placement->ticket, now_);
  }

  // A grant as a coordinator with another configuration document or other zones may send it.
  PlacementGrant RandomGrant() {
    PlacementGrant grant;
    grant.backend = KeyOf("e" + std::to_string(Pick(12)));
    grant.fetch_prefix_from = KeyOf("e" + std::to_string(Pick(12)));
    grant.first_output_ms = 100;
    return grant;
  }

  void CheckPlaced(const RequestProfile& profile, const Placement& placement) {
    const std::string& zone = placement.backend.zone;
    const RegionMap regions(kZones);
    cr_assert(regions.Allows(profile, zone), "a request reached zone %s", zone.c_str());
    cr_assert(dispatcher_.MayReceive(placement.backend.key, profile, kStart));
    if (placement.fetch_prefix_from.empty()) return;
    ++fetches_;
    const Backend* holder = dispatcher_.Registry().FindByKey(placement.fetch_prefix_key);
    cr_assert(kZones.at(holder->zone) == kZones.at(zone), "memory left its region");
  }

  void EndOne() {
    if (running_.empty()) return;
    dispatcher_.Finish(running_.front(), AttemptOutcome::kAnswered, now_);
    running_.erase(running_.begin());
  }

  std::mt19937 random_;
  Dispatcher dispatcher_;
  TimePoint now_ = kStart;
  std::vector<PlacementTicket> running_;
  int placed_ = 0;
  int refused_ = 0;
  int fetches_ = 0;
};

Test(residency, no_request_or_prompt_memory_leaves_its_regions_in_random_fleets) {
  int placed = 0;
  int refused = 0;
  int fetches = 0;
  for (uint32_t seed = 1; seed <= kFleets; ++seed) {
    RandomFleet fleet(seed);
    fleet.Play();
    placed += fleet.Placed();
    refused += fleet.Refused();
    fetches += fleet.Fetches();
  }
  cr_assert(placed > kFleets * kRequests / 4 && refused > 0 && fetches > 0,
            "%d placed, %d refused, %d fetches: too few to check anything", placed, refused,
            fetches);
}

Dispatcher EastAndWest() {
  Dispatcher dispatcher(PlacementPolicy(), "e1", RegionMap(kZones));
  dispatcher.Registry().Put(MakeEngine("east1", "e1"));
  dispatcher.Registry().Put(MakeEngine("west1", "w1"));
  dispatcher.Registry().Put(MakeEngine("west2", "w1"));
  return dispatcher;
}

Test(residency, without_a_back_end_in_its_region_a_request_is_not_placed) {
  Dispatcher dispatcher = EastAndWest();
  RequestProfile profile = MakeProfile(1);
  profile.residency = std::vector<std::string>{"east"};
  cr_assert(dispatcher.ReadyFor(profile, kStart) == 1);
  cr_assert(dispatcher.Place(profile, {}, kStart)->backend.id == "east1");
  cr_assert(!dispatcher.Place(profile, {KeyOf("east1")}, kStart).has_value());
  dispatcher.Registry().Remove("east1");
  cr_assert(dispatcher.ReadyFor(profile, kStart) == 0);
  cr_assert(!dispatcher.Place(profile, {}, kStart).has_value());
  profile.residency.reset();
  cr_assert(dispatcher.ReadyFor(profile, kStart) == 2);
}

Test(residency, a_full_region_still_takes_its_requests) {
  Dispatcher dispatcher = EastAndWest();
  RequestProfile profile = MakeProfile(1);
  profile.residency = std::vector<std::string>{"east"};
  for (int i = 0; i < 40; ++i) {
    cr_assert(dispatcher.Place(profile, {}, kStart)->backend.id == "east1");
  }
}

Test(residency, a_grant_by_an_outdated_document_is_not_adopted) {
  Dispatcher dispatcher = EastAndWest();
  RequestProfile profile = MakeProfile(1);
  PlacementGrant grant;
  grant.backend = KeyOf("west1");
  grant.first_output_ms = 100;
  cr_assert(dispatcher.Adopt("10.0.0.2", grant, profile, kStart, kStart).has_value());
  profile.residency = std::vector<std::string>{"east"};
  cr_assert(!dispatcher.Adopt("10.0.0.2", grant, profile, kStart, kStart).has_value());
}

Test(residency, the_last_check_applies_the_current_residency) {
  Dispatcher dispatcher = EastAndWest();
  RequestProfile profile = MakeProfile(1);
  cr_assert(dispatcher.MayReceive(KeyOf("west1"), profile, kStart));
  profile.residency = std::vector<std::string>{"east"};
  cr_assert(!dispatcher.MayReceive(KeyOf("west1"), profile, kStart));
  cr_assert(dispatcher.MayReceive(KeyOf("east1"), profile, kStart));
}

Test(residency, prompt_memory_is_not_fetched_from_another_region) {
  Dispatcher dispatcher = EastAndWest();
  const RequestProfile profile = MakeProfile(1);
  const std::vector<BackendKey> not_west = {KeyOf("west1"), KeyOf("west2")};
  const std::optional<Placement> east = dispatcher.Place(profile, not_west, kStart);
  cr_assert(east->backend.id == "east1");
  dispatcher.Output(east->ticket, kStart + milliseconds(100));
  const TimePoint later = kStart + milliseconds(200);
  const std::optional<Placement> west = dispatcher.Place(profile, {KeyOf("east1")}, later);
  cr_assert(west->fetch_prefix_from.empty(), "east1 has read it, but in another region");
  // Within the region the prompt memory is handed over.
  dispatcher.Output(west->ticket, later + milliseconds(100));
  const std::optional<Placement> beside =
      dispatcher.Place(profile, {KeyOf("east1"), west->backend.key}, later + milliseconds(200));
  cr_assert(beside->fetch_prefix_from == west->backend.address);
}

// Places the same 300 requests by any `dispatcher`. Returns, per request, the id of the engine and
// the address that the prompt memory is fetched from (empty: none).
std::vector<std::string> PlacedBy(Dispatcher dispatcher) {
  for (int i = 0; i < 9; ++i) {
    dispatcher.Registry().Put(MakeEngine("e" + std::to_string(i), i % 2 == 0 ? "e1" : "e2"));
  }
  std::vector<std::string> placed;
  std::mt19937 random(5);
  for (int i = 0; i < 300; ++i) {
    const TimePoint now = kStart + milliseconds(15) * i;
    const std::optional<Placement> placement = dispatcher.Place(MakeProfile(random() % 6), {}, now);
    placed.push_back(placement->backend.id + " " + placement->fetch_prefix_from);
    dispatcher.Output(placement->ticket, now + milliseconds(60));
    if (i % 3 != 0) dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, now);
  }
  return placed;
}

Test(residency, a_fleet_in_one_region_places_as_one_without_regions) {
  const ZoneRegions one = {{"e1", "east"}, {"e2", "east"}};
  const std::vector<std::string> with =
      PlacedBy(Dispatcher(PlacementPolicy(), "e1", RegionMap(one)));
  cr_assert(with == PlacedBy(Dispatcher(PlacementPolicy(), "e1")));
}

}  // namespace
}  // namespace cartsail
