// A version of the document reaches all nodes of a fleet, in virtual time and with hollow nodes.
#include "catalog/document_announcer.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int64_t kVersion = 7;
constexpr Duration kTrip = milliseconds(1);
constexpr size_t kZones = 17;  // of the size of two years

// Nodes that only announce: a notice takes a trip, an answer another one; some are lost.
class HollowFleet {
 public:
  HollowFleet(int nodes, double lost, uint64_t seed) : lost_(lost), random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      hosts_.push_back(fmt::format("10.0.{}.{}", i / 250, i % 250));
      index_[hosts_.back()] = nodes_.size();
      nodes_.push_back(
          {DocumentAnnouncer(fmt::format("node-{}-{}", seed, i)), {}, TimePoint::max(), 0});
    }
  }

  void Begin(size_t node, TimePoint now) {
    if (nodes_[node].has_since != TimePoint::max()) return;
    nodes_[node].has_since = now;
    events_.push({now, Kind::kRound, node, node});
  }

  void Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      if (event.kind == Kind::kRound) {
        TellSome(event);
      } else if (event.kind == Kind::kNotice) {
        Begin(event.to, event.at);
        nodes_[event.to].holders.insert(hosts_[event.from]);
        Send({event.at + kTrip, Kind::kAnswer, event.to, event.from});
      } else {
        nodes_[event.to].holders.insert(hosts_[event.from]);
      }
    }
  }

  // The time after which all have the version; nothing when some never get it.
  std::optional<Duration> LastAfter(TimePoint begin) const {
    TimePoint last = begin;
    for (const Node& node : nodes_) last = std::max(last, node.has_since);
    if (last == TimePoint::max()) return std::nullopt;
    return last - begin;
  }

  int MostSent() const {
    int most = 0;
    for (const Node& node : nodes_) most = std::max(most, node.sent);
    return most;
  }

 private:
  enum class Kind { kRound, kNotice, kAnswer };

  struct Event {
    TimePoint at;
    Kind kind;
    size_t from;
    size_t to;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  struct Node {
    DocumentAnnouncer announcer;
    std::set<std::string> holders;
    TimePoint has_since;
    int sent;
  };

  static std::string ZoneOf(size_t node) { return fmt::format("zone-{}", node % kZones); }

  void Send(Event event) {
    ++nodes_[event.from].sent;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= lost_) events_.push(event);
  }

  void TellSome(const Event& event) {
    Node& node = nodes_[event.from];
    std::vector<LivePeer> behind;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (i == event.from || node.holders.contains(hosts_[i])) continue;
      behind.push_back({hosts_[i], ZoneOf(i)});
    }
    const std::vector<std::string> told =
        node.announcer.NextRound(kVersion, behind, ZoneOf(event.from));
    for (const std::string& host : told) {
      Send({event.at + kTrip, Kind::kNotice, event.from, index_.at(host)});
    }
    if (told.empty()) return;
    events_.push(
        {event.at + DocumentAnnouncer::kRoundInterval, Kind::kRound, event.from, event.from});
  }

  double lost_;
  std::mt19937_64 random_;
  std::vector<std::string> hosts_;
  std::map<std::string, size_t> index_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
};

const TimePoint kBegin = TimePoint(seconds(1000));

struct SpreadFigures {
  Duration last{};
  int most_sent = 0;
};

SpreadFigures WorstOf(int seeds, int nodes, int readers, double lost) {
  SpreadFigures worst;
  for (int seed = 0; seed < seeds; ++seed) {
    HollowFleet fleet(nodes, lost, static_cast<uint64_t>(seed));
    for (int i = 0; i < readers; ++i) fleet.Begin(static_cast<size_t>(i), kBegin);
    fleet.Run();
    const std::optional<Duration> last = fleet.LastAfter(kBegin);
    cr_assert(last.has_value(), "seed %d: a node was never told", seed);
    worst.last = std::max(worst.last, *last);
    worst.most_sent = std::max(worst.most_sent, fleet.MostSent());
  }
  return worst;
}

Test(document_announcer, reaches_84_nodes_within_a_few_trips) {
  const SpreadFigures worst = WorstOf(50, 84, 8, 0);
  cr_assert(worst.last <= milliseconds(110), "%.0f ms", ToMillis(worst.last));
}

Test(document_announcer, reaches_480_nodes_from_one_reader_over_lossy_links) {
  const SpreadFigures worst = WorstOf(10, 480, 1, 0.15);
  cr_assert(worst.last <= milliseconds(300), "%.0f ms", ToMillis(worst.last));
}

Test(document_announcer, reaches_480_nodes_from_their_readers_over_lossy_links) {
  const SpreadFigures worst = WorstOf(20, 480, 8, 0.15);
  cr_assert(worst.last <= milliseconds(200), "%.0f ms", ToMillis(worst.last));
  // Notices and answers of one node: at 0.2 KB and 4,000 versions a day below a KB a second.
  cr_assert(worst.most_sent <= 100, "%d datagrams", worst.most_sent);
}

Test(document_announcer, tells_those_first_that_were_told_least) {
  DocumentAnnouncer announcer("n");
  std::vector<LivePeer> peers;
  for (int i = 0; i < 10; ++i) peers.push_back({fmt::format("h{}", i), "z1"});
  std::set<std::string> told;
  for (int round = 0; round < 3; ++round) {
    for (const std::string& host : announcer.NextRound(1, peers, "z1")) told.insert(host);
  }
  cr_assert(told.size() == peers.size());
  cr_assert(announcer.NextRound(1, {}, "z1").empty());
}

Test(document_announcer, tells_one_of_another_zone_and_else_its_own) {
  DocumentAnnouncer announcer("n");
  std::vector<LivePeer> peers;
  for (int i = 0; i < 20; ++i) peers.push_back({fmt::format("near-{}", i), "z1"});
  for (int i = 0; i < 20; ++i) peers.push_back({fmt::format("far-{}", i), "z2"});
  const auto count_far = [&announcer](const std::vector<LivePeer>& behind) {
    const std::vector<std::string> told = announcer.NextRound(1, behind, "z1");
    cr_assert(told.size() == DocumentAnnouncer::kPeersPerRound);
    return std::count_if(told.begin(), told.end(),
                         [](const std::string& host) { return host.rfind("far", 0) == 0; });
  };
  cr_assert(count_far(peers) == 1);
  peers.erase(peers.begin(), peers.begin() + 20);
  cr_assert(count_far(peers) == 4, "all of its own zone have it");
}

Test(document_announcer, stops_after_its_rounds_and_begins_anew_with_a_new_version) {
  DocumentAnnouncer announcer("n");
  for (int round = 0; round < DocumentAnnouncer::kRounds; ++round) {
    cr_assert(announcer.NextRound(1, {{"h", "z1"}}, "z1").size() == 1);
  }
  cr_assert(announcer.NextRound(1, {{"h", "z1"}}, "z1").empty());
  cr_assert(announcer.NextRound(2, {{"h", "z1"}}, "z1").size() == 1);
}

}  // namespace
}  // namespace cartsail
