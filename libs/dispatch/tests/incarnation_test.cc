// Back ends that start again under their id: what was known of the process that ended counts for
// the new one in no place.
#include "cartsail/dispatch/dispatcher.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::MakeBackend;

constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr int64_t kFirst = 100;   // starts
constexpr int64_t kSecond = 200;  // later
constexpr int64_t kThird = 201;   // within a heartbeat of the second

RequestProfile Prompt() {
  RequestProfile profile;
  profile.service = "s";
  profile.is_generation = true;
  profile.first_output_goal = seconds(2);
  profile.longest_pause = milliseconds(600);
  profile.prompt_parts = {{7, 5000}, {8, 7000}};
  profile.prompt_tokens = 12000;
  return profile;
}

Test(incarnation, a_new_one_has_another_key_and_the_old_key_names_nobody) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirst));
  registry.Put(MakeBackend("b", kSecond));
  cr_assert(KeyOf("b", kFirst) != KeyOf("b", kSecond));
  cr_assert(registry.FindByKey(KeyOf("b", kFirst)) == nullptr);
  cr_assert(registry.FindByKey(KeyOf("b", kSecond)) == registry.Find("b"));
  cr_assert(registry.Size() == 1);
}

Test(incarnation, one_that_starts_again_is_not_leaving_any_more) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirst));
  registry.MarkLeaving(KeyOf("b", kFirst));
  registry.Put(MakeBackend("b", kSecond));
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.Leaving().empty());
  registry.MarkLeaving(KeyOf("b", kSecond));
  registry.ReplaceAll({MakeBackend("b", kThird)});
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.Leaving().empty());
}

// A request was under way when the node heard of the new start: the answer, by the new process,
// says that it leaves. What the node asked was the earlier one.
Test(incarnation, what_an_answer_says_that_comes_after_the_new_start_is_heard_binds_the_new_one) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirst));
  const Backend asked = *registry.Find("b");
  registry.Put(MakeBackend("b", kSecond));
  registry.MarkLeaving(asked.key, {kStart, std::chrono::milliseconds(kSecond + 50)});
  registry.NoteSuccessor(asked);
  cr_assert(registry.BackoffLeft(KeyOf("b", kSecond), kStart + seconds(3)).has_value());
  cr_assert(!registry.BackoffLeft(KeyOf("b", kSecond), kStart + seconds(11)).has_value());
  cr_assert(registry.ReadyOf("s").size() == 1, "not for good: it may have been said before");
}

Test(incarnation, an_entry_of_an_earlier_start_changes_nothing) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kSecond));
  Backend outdated = MakeBackend("b", kFirst);
  outdated.address = "elsewhere:1";
  outdated.state = BackendState::kLeaving;
  registry.Put(outdated);
  cr_assert(registry.Find("b")->started_ms == kSecond);
  cr_assert(registry.Find("b")->address == "b:1");
  cr_assert(registry.ReadyOf("s").size() == 1);
  cr_assert(registry.FindByKey(KeyOf("b", kFirst)) == nullptr);
  cr_assert(registry.FindByKey(KeyOf("b", kSecond)) != nullptr);
}

Test(incarnation, a_whole_list_with_an_earlier_start_keeps_the_newer_one) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kSecond));
  registry.Put(MakeBackend("c", kFirst));
  registry.ReplaceAll({MakeBackend("b", kFirst), MakeBackend("c", kSecond)});
  cr_assert(registry.Find("b")->started_ms == kSecond);
  cr_assert(registry.Find("c")->started_ms == kSecond);
  cr_assert(registry.FindByKey(KeyOf("b", kSecond)) != nullptr);
  cr_assert(registry.FindByKey(KeyOf("b", kFirst)) == nullptr);
}

Test(incarnation, of_two_starts_within_a_heartbeat_the_later_counts_in_either_order) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirst));
  registry.Put(MakeBackend("b", kThird));
  registry.Put(MakeBackend("b", kSecond));
  cr_assert(registry.Find("b")->started_ms == kThird);
  registry.ReplaceAll({});
  registry.Put(MakeBackend("b", kSecond));
  registry.Put(MakeBackend("b", kThird));
  cr_assert(registry.Find("b")->started_ms == kThird && registry.Size() == 1);
}

Test(incarnation, a_request_of_the_earlier_one_ends_without_touching_the_new_one) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirst));
  const auto running = dispatcher.Place(Prompt(), {}, kStart);
  dispatcher.Registry().Put(MakeBackend("b", kSecond));
  dispatcher.ForgetRemovedBackends();
  const BackendKey reborn = KeyOf("b", kSecond);
  cr_assert(dispatcher.RequestsAt(reborn) == 0);
  cr_assert(!dispatcher.MayReceive(running->backend.key, Prompt(), kStart),
            "the process it was meant for has ended");
  const auto next = dispatcher.Place(Prompt(), {}, kStart + milliseconds(1));
  cr_assert(next->backend.key == reborn && dispatcher.RequestsAt(reborn) == 1);
  dispatcher.Finish(running->ticket, AttemptOutcome::kWrongInstance, kStart + milliseconds(2));
  cr_assert(dispatcher.RequestsAt(reborn) == 1);
  cr_assert(dispatcher.MayReceive(reborn, Prompt(), kStart), "only the earlier one has gone");
}

Test(incarnation, failures_of_the_earlier_one_do_not_keep_requests_from_the_new_one) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirst));
  dispatcher.Registry().Put(MakeBackend("other", kFirst));
  const BackendKey other = KeyOf("other", kFirst);
  for (int i = 0; i < 20; ++i) {
    const auto placed = dispatcher.Place(Prompt(), {other}, kStart);
    if (placed.has_value()) dispatcher.Finish(placed->ticket, AttemptOutcome::kCut, kStart);
  }
  const auto wary = dispatcher.Place(Prompt(), {}, kStart);
  cr_assert(wary->backend.id == "other", "the failures count as long as the process lives");
  dispatcher.Finish(wary->ticket, AttemptOutcome::kCallerGone, kStart);
  dispatcher.Registry().Put(MakeBackend("b", kSecond));
  dispatcher.ForgetRemovedBackends();
  for (const BackendLoadEntry& entry : dispatcher.TakeDigest(kStart).loads) {
    cr_assert(entry.backend == other, "nobody is told of failures of the new one");
  }
  cr_assert(dispatcher.Place(Prompt(), {other}, kStart)->backend.key == KeyOf("b", kSecond));
}

// Requests that were placed when a zone was drained counted as lost connections: peers were told of
// failures, and a zone restored soon after got nothing for up to 3 s more.
Test(drained_zone, requests_withheld_from_its_back_ends_are_no_failures_of_them) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirst));
  dispatcher.Registry().Put(MakeBackend("other", kFirst));
  const BackendKey other = KeyOf("other", kFirst);
  for (int i = 0; i < 20; ++i) {
    const auto placed = dispatcher.Place(Prompt(), {other}, kStart);
    dispatcher.Finish(placed->ticket, AttemptOutcome::kWithheld, kStart);
  }
  cr_assert(dispatcher.TakeDigest(kStart).loads.empty(), "nobody is told of failures");
  dispatcher.Registry().Remove("other");
  cr_assert(dispatcher.Place(Prompt(), {}, kStart)->backend.id == "b");
}

Test(incarnation, prompt_memory_of_the_earlier_one_is_gone) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirst));
  const auto first = dispatcher.Place(Prompt(), {}, kStart);
  dispatcher.Output(first->ticket, kStart + milliseconds(300));
  dispatcher.Finish(first->ticket, AttemptOutcome::kAnswered, kStart + milliseconds(400));
  const TimePoint later = kStart + milliseconds(500);
  const auto again = dispatcher.Place(Prompt(), {}, later);
  cr_assert(again->held_tokens > 0);
  dispatcher.Finish(again->ticket, AttemptOutcome::kAnswered, later);
  dispatcher.Registry().Put(MakeBackend("b", kSecond));
  dispatcher.ForgetRemovedBackends();
  cr_assert(dispatcher.Place(Prompt(), {}, later)->held_tokens == 0);
}

Test(incarnation, what_peers_tell_of_the_earlier_one_does_not_count) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kSecond));
  DispatchDigest digest;
  digest.loads.resize(1);
  digest.loads[0].backend = KeyOf("b", kFirst);
  digest.loads[0].load.requests = 50;
  digest.prefixes = {{7, KeyOf("b", kFirst)}};
  digest.leaving = {KeyOf("b", kFirst)};
  dispatcher.ApplyDigest("peer", digest, seconds(10), kStart);
  const BackendKey reborn = KeyOf("b", kSecond);
  cr_assert(dispatcher.MayReceive(reborn, Prompt(), kStart),
            "the peer has not heard of the new one yet");
  cr_assert(dispatcher.RequestsAt(reborn) == 0);
  cr_assert(dispatcher.Place(Prompt(), {}, kStart)->held_tokens == 0);
}

}  // namespace
}  // namespace cartsail
