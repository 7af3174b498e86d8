#include "cartsail/dispatch/dispatcher.h"

#include <map>
#include <random>
#include <set>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

Backend MakeEngine(const std::string& id) {
  Backend backend;
  backend.id = id;
  backend.service = "llm";
  backend.address = id + ":1";
  backend.zone = "z1";
  backend.slots = 32;
  return backend;
}

Dispatcher MakeDispatcher(int engines) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  for (int i = 0; i < engines; ++i) {
    dispatcher.Registry().Put(MakeEngine("e" + std::to_string(i)));
  }
  return dispatcher;
}

RequestProfile Urgent(uint64_t subject = 1) {
  RequestProfile profile;
  profile.service = "llm";
  profile.is_generation = true;
  profile.first_output_goal = milliseconds(250);
  profile.longest_pause = milliseconds(150);
  profile.prompt_parts = {{subject, 200}, {1000000 + subject, 600}};
  profile.prompt_tokens = 800;
  profile.bytes_per_token = 1000;
  return profile;
}

RequestProfile Patient(uint64_t subject) {
  RequestProfile profile = Urgent(subject);
  profile.first_output_goal = seconds(2);
  profile.longest_pause = milliseconds(600);
  profile.prompt_parts = {{subject, 5000}, {2000000 + subject, 7000}};
  profile.prompt_tokens = 12000;
  return profile;
}

Test(dispatcher, no_placement_without_a_back_end) {
  Dispatcher dispatcher = MakeDispatcher(0);
  cr_assert(!dispatcher.Place(Urgent(), {}, kStart).has_value());
  dispatcher = MakeDispatcher(1);
  cr_assert(!dispatcher.Place(Urgent(), {KeyOf("e0")}, kStart).has_value());
}

Test(dispatcher, requests_with_a_shared_prefix_go_to_one_idle_engine) {
  Dispatcher dispatcher = MakeDispatcher(8);
  std::set<std::string> engines;
  for (int i = 0; i < 10; ++i) {
    const TimePoint now = kStart + seconds(1) * i;
    const std::optional<Placement> placement = dispatcher.Place(Patient(5), {}, now);
    engines.insert(placement->backend.id);
    dispatcher.Output(placement->ticket, now + milliseconds(200));
    dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, now + milliseconds(800));
  }
  cr_assert(engines.size() == 1);
}

Test(dispatcher, a_busy_holder_hands_its_prompt_memory_to_a_free_engine) {
  Dispatcher dispatcher = MakeDispatcher(8);
  std::set<std::string> engines;
  bool fetched = false;
  // The first output shows that the holder has read the prompt.
  const std::optional<Placement> first = dispatcher.Place(Patient(5), {}, kStart);
  dispatcher.Output(first->ticket, kStart);
  for (int i = 0; i < 20; ++i) {
    const std::optional<Placement> placement =
        dispatcher.Place(Patient(5), {}, kStart + milliseconds(i));
    engines.insert(placement->backend.id);
    if (!placement->fetch_prefix_from.empty()) {
      fetched = true;
      cr_assert(placement->fetch_prefix_from != placement->backend.address);
    }
  }
  cr_assert(engines.size() >= 3);
  cr_assert(fetched);
}

Test(dispatcher, an_engine_that_is_still_reading_hands_nothing_over) {
  Dispatcher dispatcher = MakeDispatcher(8);
  const std::optional<Placement> first = dispatcher.Place(Patient(5), {}, kStart);
  const std::optional<Placement> second =
      dispatcher.Place(Patient(5), {}, kStart + milliseconds(1));
  cr_assert(second->backend.id == first->backend.id, "it will hold the prompt once it has read it");
  // Another engine has to read the prompt too, as the first one has no prompt memory to fetch yet.
  const std::optional<Placement> elsewhere =
      dispatcher.Place(Patient(5), {first->backend.key}, kStart + milliseconds(2));
  cr_assert(elsewhere->fetch_prefix_from.empty());
  dispatcher.Output(first->ticket, kStart + milliseconds(200));
  const std::optional<Placement> later = dispatcher.Place(
      Patient(5), {first->backend.key, elsewhere->backend.key}, kStart + milliseconds(201));
  cr_assert(later->fetch_prefix_from == first->backend.address);
}

Test(dispatcher, no_prompt_memory_is_asked_for_where_it_cannot_be_moved) {
  Dispatcher dispatcher = MakeDispatcher(8);
  for (int i = 0; i < 20; ++i) {
    RequestProfile profile = Patient(5);
    profile.bytes_per_token = 0;
    cr_assert(dispatcher.Place(profile, {}, kStart)->fetch_prefix_from.empty());
  }
}

Test(dispatcher, long_prompts_avoid_the_engines_of_light_requests) {
  Dispatcher dispatcher = MakeDispatcher(12);
  std::map<std::string, int> urgent;
  std::map<std::string, int> patient;
  for (int i = 0; i < 400; ++i) {
    const TimePoint now = kStart + milliseconds(25) * i;
    const auto subject = static_cast<uint64_t>(i);
    const std::optional<Placement> light_placement = dispatcher.Place(Urgent(subject), {}, now);
    ++urgent[light_placement->backend.id];
    dispatcher.Output(light_placement->ticket, now + milliseconds(20));
    dispatcher.Finish(light_placement->ticket, AttemptOutcome::kAnswered, now + milliseconds(24));
    if (i % 4 != 0) continue;
    const std::optional<Placement> heavy_placement =
        dispatcher.Place(Patient(500 + subject), {}, now);
    ++patient[heavy_placement->backend.id];
    dispatcher.Output(heavy_placement->ticket, now + milliseconds(20));
    dispatcher.Finish(heavy_placement->ticket, AttemptOutcome::kAnswered, now + milliseconds(24));
  }
  int shared = 0;
  for (const auto& [engine, count] : urgent) shared += patient.count(engine) != 0 ? count : 0;
  cr_assert(shared <= 40, "%d of 400 urgent requests beside long prompts", shared);
}

Test(dispatcher, of_equal_back_ends_one_with_an_idle_connection_is_chosen) {
  Dispatcher dispatcher = MakeDispatcher(8);
  // An engine of the partition for light requests.
  const std::optional<Placement> first = dispatcher.Place(Urgent(0), {}, kStart);
  dispatcher.Finish(first->ticket, AttemptOutcome::kAnswered, kStart);
  const std::string connected = first->backend.id;
  for (uint64_t subject = 1; subject < 8; ++subject) {
    const std::optional<Placement> placement =
        dispatcher.Place(Urgent(subject), {}, kStart, {KeyOf(connected)});
    cr_assert(placement->backend.id == connected);
    dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, kStart);
  }
  // An idle connection does not outweigh a much higher load.
  for (int i = 0; i < 200; ++i) {
    const std::optional<Placement> placement =
        dispatcher.Place(Urgent(100 + static_cast<uint64_t>(i)), {}, kStart, {KeyOf(connected)});
    if (placement->backend.id != connected) return;
  }
  cr_assert_fail("all 200 requests went to one engine");
}

// Returns the id of the engine that a long prompt is placed at. The request ends at once, so that
// only the load reported by peers differs.
std::string PlacedAndEnded(Dispatcher& dispatcher, uint64_t subject, TimePoint now) {
  const std::optional<Placement> placement = dispatcher.Place(Patient(subject), {}, now);
  dispatcher.Finish(placement->ticket, AttemptOutcome::kCallerGone, now);
  return placement->backend.id;
}

DispatchDigest BusyAt(const std::string& engine) {
  BackendLoadEntry busy;
  busy.backend = KeyOf(engine);
  busy.load.prefill_ms = 5000;
  busy.load.requests = 30;
  DispatchDigest digest;
  digest.loads = {busy};
  return digest;
}

// Eight of nine engines pause; the ninth answers at once. Requests that may be sent only once were
// placed at the paused ones as if these were free, and got no answer.
Test(dispatcher, urgent_requests_go_to_the_engine_that_answers_while_the_others_are_silent) {
  Dispatcher dispatcher = MakeDispatcher(9);
  int lost = 0;
  for (int i = 0; i < 150; ++i) {
    const TimePoint now = kStart + milliseconds(20) * i;
    const std::optional<Placement> placement =
        dispatcher.Place(Urgent(static_cast<uint64_t>(i)), {}, now);
    if (placement->backend.id != "e0") {
      ++lost;
      continue;
    }
    dispatcher.Output(placement->ticket, now + milliseconds(15));
    dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, now + milliseconds(19));
  }
  cr_assert(lost <= 3 * 8, "%d of 150 requests were placed at paused engines", lost);
}

Test(dispatcher, peer_loads_count_until_they_expire) {
  Dispatcher dispatcher = MakeDispatcher(2);
  dispatcher.ApplyDigest("n2", BusyAt("e0"), seconds(1), kStart);
  cr_assert(dispatcher.LiveNodes(kStart) == 2);
  for (uint64_t subject = 0; subject < 10; ++subject) {
    cr_assert(PlacedAndEnded(dispatcher, subject, kStart) == "e1");
  }
  // The next digest replaces the first.
  dispatcher.ApplyDigest("n2", BusyAt("e1"), seconds(1), kStart);
  for (uint64_t subject = 20; subject < 30; ++subject) {
    cr_assert(PlacedAndEnded(dispatcher, subject, kStart) == "e0");
  }
  const TimePoint later = kStart + seconds(5);
  cr_assert(dispatcher.LiveNodes(later) == 1);
  // The digest has expired: the engine that holds a subject gets it again.
  cr_assert(PlacedAndEnded(dispatcher, 3, later) == "e1");
}

Test(dispatcher, failures_seen_by_peers_keep_requests_away) {
  Dispatcher dispatcher = MakeDispatcher(2);
  DispatchDigest digest;
  BackendLoadEntry failing;
  failing.backend = KeyOf("e0");
  failing.load.attempts = 10;
  failing.load.failures = 5;
  digest.loads = {failing};
  dispatcher.ApplyDigest("n2", digest, seconds(1), kStart);
  for (uint64_t subject = 0; subject < 10; ++subject) {
    const std::optional<Placement> placement = dispatcher.Place(Urgent(subject), {}, kStart);
    cr_assert(placement->backend.id == "e1");
    dispatcher.Finish(placement->ticket, AttemptOutcome::kAnswered, kStart);
  }
}

Test(dispatcher, own_failures_are_reported_without_running_requests) {
  Dispatcher dispatcher = MakeDispatcher(1);
  const std::optional<Placement> placement = dispatcher.Place(Urgent(), {}, kStart);
  dispatcher.Finish(placement->ticket, AttemptOutcome::kCut, kStart);
  const DispatchDigest digest = dispatcher.TakeDigest(kStart);
  cr_assert(digest.loads.size() == 1);
  cr_assert(digest.loads[0].load.requests == 0 && digest.loads[0].load.failures == 1);
  cr_assert(dispatcher.TakeDigest(kStart + seconds(60)).loads.empty());
}

Test(dispatcher, an_engine_that_a_peer_reports_as_leaving_gets_nothing) {
  Dispatcher dispatcher = MakeDispatcher(2);
  DispatchDigest digest;
  digest.leaving = {KeyOf("e0")};
  dispatcher.ApplyDigest("n2", digest, seconds(1), kStart);
  for (int i = 0; i < 10; ++i) {
    cr_assert(dispatcher.Place(Urgent(), {}, kStart)->backend.id == "e1");
  }
}

Test(dispatcher, a_back_end_without_connection_is_left_out_for_a_while) {
  Dispatcher dispatcher = MakeDispatcher(2);
  std::string lost;
  const std::optional<Placement> first = dispatcher.Place(Urgent(), {}, kStart);
  lost = first->backend.id;
  dispatcher.Finish(first->ticket, AttemptOutcome::kNotSent, kStart);
  for (int i = 0; i < 5; ++i) {
    cr_assert(dispatcher.Place(Urgent(), {}, kStart + milliseconds(10))->backend.id != lost);
  }
}

Test(dispatcher, an_address_that_answers_as_another_instance_gets_nothing) {
  Dispatcher dispatcher = MakeDispatcher(1);
  const std::optional<Placement> placement = dispatcher.Place(Urgent(), {}, kStart);
  dispatcher.Finish(placement->ticket, AttemptOutcome::kWrongInstance, kStart);
  cr_assert(!dispatcher.Place(Urgent(), {}, kStart).has_value());
}

// Random events in random order: the load of a back end without requests is always zero, and no
// request is placed at a back end that was tried, is leaving or has been removed.
Test(dispatcher, random_schedules_leave_no_load_behind) {
  for (uint32_t seed = 0; seed < 1000; ++seed) {
    std::mt19937 random(seed);
    Dispatcher dispatcher = MakeDispatcher(5);
    std::vector<PlacementTicket> running;
    TimePoint now = kStart;
    for (int step = 0; step < 60; ++step) {
      now += milliseconds(random() % 300);
      const std::string engine = "e" + std::to_string(random() % 5);
      switch (random() % 8) {
        case 0:
          if (dispatcher.Registry().Find(engine) == nullptr) break;
          dispatcher.Registry().MarkLeaving(dispatcher.Registry().Find(engine)->key);
          break;
        case 1:
          dispatcher.Registry().Remove(engine);
          dispatcher.ForgetRemovedBackends();
          break;
        case 2: {
          // A restart, as leaving is final for one incarnation.
          Backend started = MakeEngine("e" + std::to_string(random() % 5));
          started.started_ms = step + 1;
          dispatcher.Registry().Put(started);
          break;
        }
        case 3: {
          if (running.empty()) break;
          const size_t index = random() % running.size();
          const auto outcome = static_cast<AttemptOutcome>(random() % 10);
          dispatcher.Finish(running[index], outcome, now);
          running.erase(running.begin() + static_cast<int64_t>(index));
          break;
        }
        case 4:
          if (!running.empty()) dispatcher.Output(running[random() % running.size()], now);
          break;
        default: {
          const uint64_t subject = random() % 4;
          const RequestProfile profile = random() % 2 == 0 ? Urgent(subject) : Patient(subject);
          const Backend* tried = dispatcher.Registry().Find(engine);
          const std::vector<BackendKey> keys =
              tried == nullptr ? std::vector<BackendKey>{} : std::vector<BackendKey>{tried->key};
          const std::optional<Placement> placement = dispatcher.Place(profile, keys, now);
          if (!placement.has_value()) break;
          const Backend* placed = dispatcher.Registry().Find(placement->backend.id);
          cr_assert(placed != nullptr && placed->state == BackendState::kReady);
          cr_assert(placement->backend.id != engine);
          cr_assert(placement->fetch_prefix_from != placement->backend.address);
          running.push_back(placement->ticket);
        }
      }
    }
    for (const PlacementTicket ticket : running) {
      dispatcher.Finish(ticket, AttemptOutcome::kAnswered, now);
    }
    for (const BackendLoadEntry& entry : dispatcher.TakeDigest(now).loads) {
      cr_assert(entry.load.requests == 0 && entry.load.prefill_ms == 0);
    }
  }
}

}  // namespace
}  // namespace cartsail
