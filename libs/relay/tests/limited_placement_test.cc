// Back ends that named a rate and coordinators: what a node was told goes with its questions, who
// grants, and what happens when the coordinator is lost with grants out, or is of an earlier build.
#include <thread>

#include "cartsail/dispatch/grant_allowances.h"
#include "support/placement_network.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int kNodes = 3;
constexpr double kPerSecond = 8;
constexpr int kAsked = 40;
constexpr milliseconds kBetweenRounds(400);
const RateLimitBound kBound;

RateNotice Named(double per_s) {
  RateNotice word;
  word.per_s = per_s;
  word.asked = Now() - milliseconds(100);
  word.read = {Now(), WallNow()};
  return word;
}

void Tell(TestNode& node, const std::string& engine) {
  (void)node.dispatcher.Registry().NoteRate(KeyOf(engine), Named(kPerSecond));
}

// All nodes know one engine.
void LeaveOne(Network& network) {
  for (int node = 0; node < kNodes; ++node) {
    for (int i = 1; i < kEngines; ++i) {
      network.Node(node).dispatcher.Registry().Remove("e" + std::to_string(i));
    }
  }
}

int Placed(const std::vector<PlacementResult>& results) {
  int placed = 0;
  for (const PlacementResult& result : results) placed += result.placement.has_value() ? 1 : 0;
  return placed;
}

std::vector<TestNode*> Times(TestNode& node, int times) {
  return std::vector<TestNode*>(static_cast<size_t>(times), &node);
}

// Asks in rounds, for as long as they take together.
int PlacedInRounds(Network& network, const std::vector<TestNode*>& asking, int rounds) {
  int placed = 0;
  for (int i = 0; i < rounds; ++i) {
    std::this_thread::sleep_for(kBetweenRounds);
    placed += Placed(network.ResultsOf(asking, Question()));
  }
  return placed;
}

// One node was told; the coordinator hears of it with that node's next question, and keeps all to
// the rate.
Test(limited_placement, what_one_node_was_told_binds_the_coordinator_for_all) {
  Network network(kNodes);
  LeaveOne(network);
  TestNode& told = network.Other();
  Tell(told, "e0");
  cr_assert(network.Coordinator().dispatcher.Registry().Limits().IsEmpty());
  const PlacementResult first = network.ResultsOf({&told}, Question())[0];
  cr_assert(first.placement.has_value() && first.placement->send_by.has_value());
  const auto limit = network.Coordinator().dispatcher.Registry().Limits().Of(KeyOf("e0"));
  cr_assert(limit.has_value() && limit->per_s == kPerSecond);
  std::vector<TestNode*> asking;
  for (int i = 0; i < kAsked; ++i) asking.push_back(&network.Node(i % kNodes));
  const std::vector<PlacementResult> results = network.ResultsOf(asking, Question());
  cr_assert(Placed(results) <= static_cast<int>(kPerSecond / 2), "%d", Placed(results));
  for (const PlacementResult& result : results) {
    cr_assert(result.placement.has_value() != result.metered_wait.has_value());
  }
}

// The one that was told says the back end takes any rate again; the other's older word is no news.
Test(limited_placement, a_node_with_an_old_word_goes_on_beside_a_coordinator_that_knows_better) {
  Network network(kNodes);
  LeaveOne(network);
  TestNode& told = network.Other();
  Tell(told, "e0");
  RateNotice withdrawn = Named(1);
  withdrawn.per_s.reset();
  withdrawn.asked = Now() + milliseconds(50);
  withdrawn.read.at = Now() + milliseconds(60);
  BackendRegistry& registry = network.Coordinator().dispatcher.Registry();
  (void)registry.NoteRate(KeyOf("e0"), Named(1));
  (void)registry.NoteRate(KeyOf("e0"), withdrawn);
  network.Run(milliseconds(100));
  const std::vector<PlacementResult> results = network.ResultsOf(Times(told, kAsked), Question());
  cr_assert(Placed(results) == kAsked, "%d", Placed(results));
}

// The coordinator ends with grants out; the next one takes over; the first one goes on, as one that
// was frozen.
Test(limited_placement, a_takeover_keeps_the_bound_with_grants_out) {
  Network network(kNodes);
  LeaveOne(network);
  TestNode& first = network.Coordinator();
  TestNode& asker = network.Other();
  Tell(asker, "e0");
  int placed = PlacedInRounds(network, Times(asker, kAsked), 4);
  network.loses = [&first](const TestNode& from, const Datagram&) { return &from == &first; };
  cr_assert(Placed(network.ResultsOf(Times(asker, kAsked), Question())) == 0,
            "nobody has noticed yet: the second in rank grants nothing");
  for (int node = 0; node < kNodes; ++node) {
    network.Node(node).peers.SetStatus(first.host, PeerStatus::kGone, Now());
  }
  Tell(first, "e0");
  std::vector<TestNode*> both = Times(asker, kAsked);
  both.insert(both.end(), kAsked, &first);
  placed += PlacedInRounds(network, both, 4);
  const double most = kBound.rate_factor * kPerSecond * ToSeconds(kBound.window) + kBound.burst;
  cr_assert(placed <= most, "%d in less than 4 s, %.0f allowed", placed, most);
  cr_assert(placed > static_cast<int>(kPerSecond), "%d", placed);
}

// It neither hears words nor tells that a back end is limited.
Test(limited_placement, nothing_is_sent_on_the_word_of_a_coordinator_of_an_earlier_build) {
  Network network(kNodes);
  LeaveOne(network);
  TestNode& told = network.Other();
  Tell(told, "e0");
  network.alters = [](Datagram& datagram) {
    if (auto* question = std::get_if<PlacementQuestion>(&datagram)) question->rate_words.clear();
    if (auto* answer = std::get_if<PlacementAnswer>(&datagram)) answer->heard_rate_words = false;
  };
  const std::vector<PlacementResult> results = network.ResultsOf(Times(told, 5), Question());
  cr_assert(Placed(results) == 0, "%d", Placed(results));
  for (const PlacementResult& result : results) {
    cr_assert(result.metered_wait == milliseconds(500), "told when to come back");
  }
  Backend free = *told.dispatcher.Registry().Find("e0");
  free.id = "free";
  free.address = "free:1";
  told.dispatcher.Registry().Put(free);
  for (const PlacementResult& result : network.ResultsOf(Times(told, 5), Question())) {
    cr_assert(result.placement->backend.id == "free");
  }
}

// A question with as many words as are told stays within one packet of 1,500 bytes.
Test(limited_placement, rate_words_are_read_as_they_were_told) {
  const TimePoint now = Now();
  PlacementQuestion question;
  question.profile = Question();
  for (BackendKey key = 1; key <= 32; ++key) {
    RateNotice word;
    if (key % 4 != 0) word.per_s = 0.1 * key;
    word.read = {now - milliseconds(10 * key), WallNow() - milliseconds(10 * key)};
    word.asked = word.read.at - milliseconds(7);
    question.rate_words.push_back({0x9e3779b9U * key, word});
  }
  const std::string bytes = EncodeDatagram(question, now);
  cr_assert(bytes.size() < 1400, "%zu", bytes.size());
  const auto datagram = DecodeDatagram(bytes, now + seconds(100));
  const auto& read = std::get<PlacementQuestion>(*datagram);
  cr_assert(read.rate_words.size() == question.rate_words.size());
  for (size_t i = 0; i < read.rate_words.size(); ++i) {
    const RateNotice& told = question.rate_words[i].notice;
    const RateNotice& heard = read.rate_words[i].notice;
    cr_assert(read.rate_words[i].backend == question.rate_words[i].backend);
    cr_assert(heard.per_s == told.per_s, "also where it is a decimal");
    cr_assert(heard.read.at - told.read.at == seconds(100), "by the receiver's clock");
    cr_assert(heard.read.at - heard.asked == milliseconds(7));
  }
}

// Part of a fleet: it uses its part of the rate, not the whole, and not nothing.
Test(limited_placement, a_node_that_is_cut_off_grants_its_part) {
  Network network(kNodes);
  LeaveOne(network);
  TestNode& alone = network.Coordinator();
  Tell(alone, "e0");
  network.loses = [](const TestNode&, const Datagram&) { return true; };
  for (int node = 0; node < kNodes; ++node) {
    alone.peers.SetStatus(HostOf(node), PeerStatus::kGone, Now());
  }
  const int placed = PlacedInRounds(network, Times(alone, kAsked), 6);
  // A third of 8 a second, which are its own, for 2.4 s.
  cr_assert(placed >= 4 && placed <= 8, "%d", placed);
}

}  // namespace
}  // namespace cartsail
