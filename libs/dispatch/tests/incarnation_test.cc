// Back ends that restart under the same id: nothing recorded for the ended process applies to the
// new one.
#include "cartsail/dispatch/dispatcher.h"
#include "support/backends.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::MakeBackend;

constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr int64_t kFirstStartMs = 100;  // process start, in ms
constexpr int64_t kSecondStartMs = 200;
constexpr int64_t kThirdStartMs = 201;  // within a heartbeat of kSecondStartMs

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

Test(incarnation, a_restart_gets_a_new_key_and_the_old_key_is_unknown) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirstStartMs));
  registry.Put(MakeBackend("b", kSecondStartMs));
  cr_assert(KeyOf("b", kFirstStartMs) != KeyOf("b", kSecondStartMs));
  cr_assert(registry.FindByKey(KeyOf("b", kFirstStartMs)) == nullptr);
  cr_assert(registry.FindByKey(KeyOf("b", kSecondStartMs)) == registry.Find("b"));
  cr_assert(registry.Size() == 1);
}

Test(incarnation, a_restart_clears_the_leaving_state) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirstStartMs));
  registry.MarkLeaving(KeyOf("b", kFirstStartMs));
  registry.Put(MakeBackend("b", kSecondStartMs));
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.Leaving().empty());
  registry.MarkLeaving(KeyOf("b", kSecondStartMs));
  registry.ReplaceAll({MakeBackend("b", kThirdStartMs)});
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.Leaving().empty());
}

// A request was in flight when the node learnt of the restart: the new process answers that it is
// leaving, and the node attributes that to the incarnation it had sent the request to.
Test(incarnation, a_notice_read_after_a_known_restart_binds_the_new_one) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirstStartMs));
  const Backend asked = *registry.Find("b");
  registry.Put(MakeBackend("b", kSecondStartMs));
  registry.MarkLeaving(asked.key, {kStart, std::chrono::milliseconds(kSecondStartMs + 50)});
  registry.NoteSuccessor(asked);
  cr_assert(registry.BackoffLeft(KeyOf("b", kSecondStartMs), kStart + seconds(3)).has_value());
  cr_assert(!registry.BackoffLeft(KeyOf("b", kSecondStartMs), kStart + seconds(11)).has_value());
  cr_assert(registry.ReadyOf("s").size() == 1,
            "not permanent: the earlier process may have sent it");
}

Test(incarnation, an_entry_of_an_earlier_start_is_ignored) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kSecondStartMs));
  Backend outdated = MakeBackend("b", kFirstStartMs);
  outdated.address = "elsewhere:1";
  outdated.state = BackendState::kLeaving;
  registry.Put(outdated);
  cr_assert(registry.Find("b")->started_ms == kSecondStartMs);
  cr_assert(registry.Find("b")->address == "b:1");
  cr_assert(registry.ReadyOf("s").size() == 1);
  cr_assert(registry.FindByKey(KeyOf("b", kFirstStartMs)) == nullptr);
  cr_assert(registry.FindByKey(KeyOf("b", kSecondStartMs)) != nullptr);
}

Test(incarnation, a_whole_list_with_an_earlier_start_keeps_the_newer_one) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kSecondStartMs));
  registry.Put(MakeBackend("c", kFirstStartMs));
  registry.ReplaceAll({MakeBackend("b", kFirstStartMs), MakeBackend("c", kSecondStartMs)});
  cr_assert(registry.Find("b")->started_ms == kSecondStartMs);
  cr_assert(registry.Find("c")->started_ms == kSecondStartMs);
  cr_assert(registry.FindByKey(KeyOf("b", kSecondStartMs)) != nullptr);
  cr_assert(registry.FindByKey(KeyOf("b", kFirstStartMs)) == nullptr);
}

Test(incarnation, of_two_starts_within_a_heartbeat_the_later_counts_in_either_order) {
  BackendRegistry registry;
  registry.Put(MakeBackend("b", kFirstStartMs));
  registry.Put(MakeBackend("b", kThirdStartMs));
  registry.Put(MakeBackend("b", kSecondStartMs));
  cr_assert(registry.Find("b")->started_ms == kThirdStartMs);
  registry.ReplaceAll({});
  registry.Put(MakeBackend("b", kSecondStartMs));
  registry.Put(MakeBackend("b", kThirdStartMs));
  cr_assert(registry.Find("b")->started_ms == kThirdStartMs && registry.Size() == 1);
}

Test(incarnation, a_request_of_the_earlier_one_ends_without_touching_the_new_one) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirstStartMs));
  const auto running = dispatcher.Place(Prompt(), {}, kStart);
  dispatcher.Registry().Put(MakeBackend("b", kSecondStartMs));
  dispatcher.ForgetRemovedBackends();
  const BackendKey restarted = KeyOf("b", kSecondStartMs);
  cr_assert(dispatcher.RequestsAt(restarted) == 0);
  cr_assert(!dispatcher.MayReceive(running->backend.key, Prompt(), kStart),
            "the process it was meant for has ended");
  const auto next = dispatcher.Place(Prompt(), {}, kStart + milliseconds(1));
  cr_assert(next->backend.key == restarted && dispatcher.RequestsAt(restarted) == 1);
  dispatcher.Finish(running->ticket, AttemptOutcome::kWrongInstance, kStart + milliseconds(2));
  cr_assert(dispatcher.RequestsAt(restarted) == 1);
  cr_assert(dispatcher.MayReceive(restarted, Prompt(), kStart),
            "only the earlier incarnation has ended");
}

Test(incarnation, failures_of_the_earlier_one_do_not_keep_requests_from_the_new_one) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirstStartMs));
  dispatcher.Registry().Put(MakeBackend("other", kFirstStartMs));
  const BackendKey other = KeyOf("other", kFirstStartMs);
  for (int i = 0; i < 20; ++i) {
    const auto placed = dispatcher.Place(Prompt(), {other}, kStart);
    if (placed.has_value()) dispatcher.Finish(placed->ticket, AttemptOutcome::kCut, kStart);
  }
  const auto while_failing = dispatcher.Place(Prompt(), {}, kStart);
  cr_assert(while_failing->backend.id == "other",
            "the failures count as long as the process lives");
  dispatcher.Finish(while_failing->ticket, AttemptOutcome::kCallerGone, kStart);
  dispatcher.Registry().Put(MakeBackend("b", kSecondStartMs));
  dispatcher.ForgetRemovedBackends();
  for (const BackendLoadEntry& entry : dispatcher.TakeDigest(kStart).loads) {
    cr_assert(entry.backend == other, "the digest reports no failures of the new one");
  }
  cr_assert(dispatcher.Place(Prompt(), {other}, kStart)->backend.key == KeyOf("b", kSecondStartMs));
}

// Guards against counting requests withheld by a zone drain as lost connections: peers were told of
// failures, and a zone restored soon after got nothing for up to 3 s more.
Test(drained_zone, requests_withheld_from_its_back_ends_are_no_failures_of_them) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirstStartMs));
  dispatcher.Registry().Put(MakeBackend("other", kFirstStartMs));
  const BackendKey other = KeyOf("other", kFirstStartMs);
  for (int i = 0; i < 20; ++i) {
    const auto placed = dispatcher.Place(Prompt(), {other}, kStart);
    dispatcher.Finish(placed->ticket, AttemptOutcome::kWithheld, kStart);
  }
  cr_assert(dispatcher.TakeDigest(kStart).loads.empty(), "the digest reports no failures");
  dispatcher.Registry().Remove("other");
  cr_assert(dispatcher.Place(Prompt(), {}, kStart)->backend.id == "b");
}

Test(incarnation, prompt_memory_of_the_earlier_one_is_gone) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kFirstStartMs));
  const auto first = dispatcher.Place(Prompt(), {}, kStart);
  dispatcher.Output(first->ticket, kStart + milliseconds(300));
  dispatcher.Finish(first->ticket, AttemptOutcome::kAnswered, kStart + milliseconds(400));
  const TimePoint later = kStart + milliseconds(500);
  const auto again = dispatcher.Place(Prompt(), {}, later);
  cr_assert(again->held_tokens > 0);
  dispatcher.Finish(again->ticket, AttemptOutcome::kAnswered, later);
  dispatcher.Registry().Put(MakeBackend("b", kSecondStartMs));
  dispatcher.ForgetRemovedBackends();
  cr_assert(dispatcher.Place(Prompt(), {}, later)->held_tokens == 0);
}

Test(incarnation, peer_reports_on_the_earlier_one_are_ignored) {
  Dispatcher dispatcher(PlacementPolicy(), "z1");
  dispatcher.Registry().Put(MakeBackend("b", kSecondStartMs));
  DispatchDigest digest;
  digest.loads.resize(1);
  digest.loads[0].backend = KeyOf("b", kFirstStartMs);
  digest.loads[0].load.requests = 50;
  digest.prefixes = {{7, KeyOf("b", kFirstStartMs)}};
  digest.leaving = {KeyOf("b", kFirstStartMs)};
  dispatcher.ApplyDigest("peer", digest, seconds(10), kStart);
  const BackendKey restarted = KeyOf("b", kSecondStartMs);
  cr_assert(dispatcher.MayReceive(restarted, Prompt(), kStart),
            "the peer does not know the new incarnation yet");
  cr_assert(dispatcher.RequestsAt(restarted) == 0);
  cr_assert(dispatcher.Place(Prompt(), {}, kStart)->held_tokens == 0);
}

}  // namespace
}  // namespace cartsail
