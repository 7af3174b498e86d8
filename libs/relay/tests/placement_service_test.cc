// Placement through a coordinator.
#include "placement/placement_service.h"

#include <map>
#include <set>

#include "support/placement_network.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

// Without a coordinator all nodes that don't hear of each other's requests choose the same engine.
Test(placement_service, requests_that_many_nodes_place_at_once_do_not_crowd) {
  constexpr int kNodes = 12;
  Network network(kNodes);
  const auto placements = network.PlaceAll(AllNodes(network, kNodes), Question());
  std::map<std::string, int> at;
  for (const auto& placement : placements) {
    cr_assert(placement.has_value());
    ++at[placement->backend.id];
  }
  for (const auto& [engine, count] : at) cr_assert(count <= 4, "%d at one engine", count);
  cr_assert(network.Coordinator().service.Followed() == kNodes - 1);
}

Test(placement_service, the_coordinator_hears_of_output_and_end) {
  Network network(3);
  TestNode& other = network.Other();
  const auto placement = network.PlaceAll({&other}, Question())[0];
  Dispatcher& followed = network.Coordinator().dispatcher;
  cr_assert(network.Coordinator().service.Followed() == 1);
  other.service.Output(placement->ticket, Now());
  other.service.Finish(placement->ticket, AttemptOutcome::kAnswered, Now());
  network.Run(milliseconds(50));
  cr_assert(network.Coordinator().service.Followed() == 0);
  cr_assert(followed.TakeDigest(Now()).loads.empty());
}

Test(placement_service, a_lost_question_is_asked_again) {
  Network network(3);
  int lost = 0;
  network.loses = [&lost](const TestNode&, const Datagram& datagram) {
    return std::holds_alternative<PlacementQuestion>(datagram) && lost++ == 0;
  };
  const auto placement = network.PlaceAll({&network.Other()}, Question())[0];
  cr_assert(!placement->placed_by.empty());
  cr_assert(network.Coordinator().service.Followed() == 1);
}

Test(placement_service, a_lost_answer_makes_no_second_grant) {
  Network network(3);
  int lost = 0;
  network.loses = [&lost](const TestNode&, const Datagram& datagram) {
    return std::holds_alternative<PlacementAnswer>(datagram) && lost++ == 0;
  };
  const auto placement = network.PlaceAll({&network.Other()}, Question())[0];
  cr_assert(!placement->placed_by.empty());
  cr_assert(network.Coordinator().service.Followed() == 1);
}

Test(placement_service, the_next_one_places_where_the_coordinator_is_silent) {
  Network network(3);
  const TestNode* silent = &network.Coordinator();
  network.loses = [silent](const TestNode& from, const Datagram&) { return &from == silent; };
  TestNode& asker = network.Other();
  const TimePoint begun = Now();
  const auto first = network.PlaceAll({&asker}, Question())[0];
  cr_assert(first.has_value() && first->placed_by != silent->host);
  cr_assert(Now() - begun < seconds(2));
  // It is not asked again for a while.
  const auto second = network.PlaceAll({&asker}, Question())[0];
  cr_assert(second.has_value() && second->placed_by == first->placed_by);
}

Test(placement_service, a_node_that_reaches_nobody_places_by_itself) {
  Network network(4);
  network.loses = [](const TestNode&, const Datagram&) { return true; };
  const auto placement = network.PlaceAll({&network.Other()}, Question())[0];
  cr_assert(placement.has_value() && placement->placed_by.empty());
}

Test(placement_service, a_leaving_engine_is_not_taken_from_a_coordinator_that_does_not_know) {
  Network network(3);
  TestNode& asker = network.Other();
  const std::string home = network.PlaceAll({&asker}, Question())[0]->backend.id;
  asker.dispatcher.Registry().MarkLeaving(KeyOf(home));
  for (int i = 0; i < 5; ++i) {
    const auto placement = network.PlaceAll({&asker}, Question())[0];
    cr_assert(placement->backend.id != home);
  }
}

// It wants nothing from the node that asks; the coordinator may send it what it likes.
Test(placement_service, a_coordinator_chooses_no_engine_that_wants_nothing_from_the_asking_node) {
  Network network(3);
  TestNode& asker = network.Other();
  const std::string home = network.PlaceAll({&asker}, Question())[0]->backend.id;
  asker.dispatcher.NoteNotice(KeyOf(home), {false, seconds(60)}, Now());
  for (int i = 0; i < 5; ++i) {
    const auto placement = network.PlaceAll({&asker}, Question())[0];
    cr_assert(placement->backend.id != home);
    cr_assert(placement->placed_by == network.Coordinator().host, "chosen anew by itself");
  }
}

// The engine asked to back off while the question was under way.
Test(placement_service, a_choice_that_backoffs_by_then_is_not_taken) {
  Network network(3);
  TestNode& asker = network.Other();
  const std::string home = network.PlaceAll({&asker}, Question())[0]->backend.id;
  network.loses = [&](const TestNode&, const Datagram& datagram) {
    if (std::holds_alternative<PlacementAnswer>(datagram)) {
      asker.dispatcher.NoteNotice(KeyOf(home), {false, seconds(60)}, Now());
    }
    return false;
  };
  const auto placement = network.PlaceAll({&asker}, Question())[0];
  cr_assert(placement.has_value() && placement->backend.id != home);
}

Test(placement_service, requests_that_ended_unheard_are_dropped_at_the_next_list) {
  Network network(3);
  TestNode& asker = network.Other();
  const auto placement = network.PlaceAll({&asker}, Question())[0];
  network.loses = [](const TestNode&, const Datagram& datagram) {
    return std::holds_alternative<ProgressReport>(datagram);
  };
  asker.service.Finish(placement->ticket, AttemptOutcome::kAnswered, Now());
  network.Run(milliseconds(50));
  PlacementService& coordinator = network.Coordinator().service;
  cr_assert(coordinator.Followed() == 1);
  const TimePoint later = Now() + seconds(2);
  coordinator.OnLiveQuestions(asker.host, asker.service.LiveQuestions(network.Coordinator().host),
                              later);
  cr_assert(coordinator.Followed() == 0);
}

Test(placement_service, requests_of_a_node_that_fell_silent_are_dropped) {
  Network network(3);
  (void)network.PlaceAll({&network.Other()}, Question());
  PlacementService& coordinator = network.Coordinator().service;
  coordinator.Tick(Now() + seconds(2));
  cr_assert(coordinator.Followed() == 1);
  coordinator.Tick(Now() + GrantBook::kSilence + seconds(1));
  cr_assert(coordinator.Followed() == 0);
}

Test(placement_service, a_coordinator_tells_only_its_own_load) {
  Network network(3);
  TestNode& asker = network.Other();
  const auto placement = network.PlaceAll({&asker}, Question())[0];
  cr_assert(network.Coordinator().dispatcher.TakeDigest(Now()).loads.empty());
  cr_assert(asker.dispatcher.TakeDigest(Now()).loads.size() == 1);
  // What the coordinator placed it counts itself.
  cr_assert(asker.dispatcher.LoadsFor(placement->placed_by, Now()).empty());
}

Test(coordinators, all_nodes_agree_and_the_stopping_and_the_new_come_last) {
  const TimePoint now = TimePoint(seconds(1000));
  std::set<std::string> first;
  for (int self = 0; self < 5; ++self) {
    PeerTable peers(StateOf(self), now - seconds(10));
    for (int i = 0; i < 5; ++i) {
      if (i != self) peers.Heard(HostOf(i), StateOf(i), now);
    }
    const std::string host = peers.RankCoordinators("llm", 2, now)[0];
    first.insert(host.empty() ? HostOf(self) : host);
  }
  cr_assert(first.size() == 1);

  PeerTable peers(StateOf(0), now - seconds(10));
  peers.SetStopping();
  NodeState young = StateOf(1);
  young.uptime = milliseconds(100);
  young.capacity = 1;
  NodeState settled = StateOf(2);
  NodeState strong = StateOf(3);
  strong.capacity = 0.5;
  peers.Heard(HostOf(1), young, now);
  peers.Heard(HostOf(2), settled, now);
  peers.Heard(HostOf(3), strong, now);
  const std::vector<std::string> ranked = peers.RankCoordinators("llm", 9, now);
  cr_assert(ranked == (std::vector<std::string>{HostOf(3), HostOf(2), HostOf(1)}));
  for (int i = 1; i <= 3; ++i) peers.SetStatus(HostOf(i), PeerStatus::kSuspect, now);
  cr_assert(peers.RankCoordinators("llm", 9, now).size() == 3, "suspects may still object");
  for (int i = 1; i <= 3; ++i) peers.SetStatus(HostOf(i), PeerStatus::kGone, now);
  cr_assert(peers.RankCoordinators("llm", 9, now).empty());
}

// What all nodes may use together is divided among those that may be up: parts that lost each other
// must not each take the whole of it.
Test(coordinators, nodes_that_are_not_heard_any_more_keep_their_share) {
  const TimePoint now = TimePoint(seconds(1000));
  PeerTable peers(StateOf(0), now);
  for (int i = 1; i < 4; ++i) peers.AddHost(HostOf(i), now);
  cr_assert(peers.NodesNotEnded() == 4, "hosts that it was told of");
  for (int i = 1; i < 4; ++i) peers.Heard(HostOf(i), StateOf(i), now + seconds(5));
  peers.SetStatus(HostOf(1), PeerStatus::kGone, now + seconds(6));
  cr_assert(peers.NodesNotEnded() == 4);
  peers.ForgetSilent(now + seconds(60));
  cr_assert(peers.NodesNotEnded() == 4, "a part that has forgotten the others counts them");
  NodeState stopping = StateOf(2);
  stopping.stopping = true;
  peers.Heard(HostOf(2), stopping, now + seconds(61));
  peers.SetStatus(HostOf(2), PeerStatus::kGone, now + seconds(62));
  cr_assert(peers.NodesNotEnded() == 3, "one that told that it stops has ended");
}

// They take a part of the extra repeats for themselves.
Test(coordinators, nodes_of_a_build_that_lends_no_repeats_keep_their_part_of_the_extra) {
  const TimePoint now = TimePoint(seconds(1000));
  PeerTable peers(StateOf(0), now);
  cr_assert(peers.LendingShare() == 1);
  NodeState lender = StateOf(1);
  lender.lends = true;
  peers.Heard(HostOf(1), lender, now);
  cr_assert(peers.LendingShare() == 1);
  peers.Heard(HostOf(2), StateOf(2), now);
  peers.Heard(HostOf(3), StateOf(3), now);
  peers.SetStatus(HostOf(3), PeerStatus::kGone, now);
  cr_assert(peers.LendingShare() == 0.5, "lost ones too");
}

// Earlier builds never take the lease on the extra: where they come first, another node must try.
Test(coordinators, only_nodes_that_lend_are_ranked_as_lenders) {
  const TimePoint now = TimePoint(seconds(1000));
  PeerTable peers(StateOf(0), now - seconds(10));
  peers.SetLends(true);
  for (int i = 1; i < 6; ++i) peers.Heard(HostOf(i), StateOf(i), now);
  cr_assert(peers.RankLenders("retry extra", 3, now) == std::vector<std::string>{""});
}

}  // namespace
}  // namespace cartsail
