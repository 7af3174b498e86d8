// Nodes that keep begun streams for each other, through messages that are encoded, lost partners, a
// store that is away, restarts of all, and nodes of an earlier build.
#include "streams/stream_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_partitions.h"
#include "support/lease_store.h"
#include "support/relay_fixture.h"
#include "support/run_until.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

constexpr char kService[] = "s";
constexpr int kNodes = 4;
constexpr char kPrefix[] = "streams/";

StreamRecord RecordOf(StreamKey key, const std::string& version) {
  const TimePoint now = Now();
  return {key, version, "e-1", 0, true, now, now + seconds(15)};
}

class StreamNode {
 public:
  StreamNode(asio::io_context& io, KeyValueStore& store, int number)
      : host_(HostOf(number)),
        peers_(StateOf(number), Now() - seconds(10)),
        store_(store, kPrefix, host_),
        service_(io, peers_, registry_, routing_, seconds(60)) {
    peers_.SetKeepsStreams(true);
    (void)routing_.Apply(*RouteTable::Build(PlainDocument()), "");
    routing_.Confirm(Now());
    service_.SetStore(&store_);
  }

  void List(const std::vector<std::string>& versions) {
    std::vector<Backend> engines;
    for (const std::string& version : versions) {
      Backend engine;
      engine.id = "e-" + version;
      engine.service = kService;
      engine.address = "10.0.0.1:" + std::to_string(engines.size() + 1);
      engine.version = version;
      engines.push_back(engine);
    }
    registry_.ReplaceAll(engines);
  }

  const std::string& Host() const { return host_; }
  PeerTable& Peers() { return peers_; }
  StreamService& Service() { return service_; }

 private:
  std::string host_;
  PeerTable peers_;
  BackendRegistry registry_;
  RoutingState routing_;
  StreamStore store_;
  StreamService service_;
};

class StreamFleet {
 public:
  // `keeps`: the others are of builds that keep streams.
  explicit StreamFleet(bool keeps = true) : keeps_(keeps) { StartAll({"v1", "v2"}); }

  void StartAll(const std::vector<std::string>& versions) {
    nodes_.clear();
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<StreamNode>(io_, store_, i));
      nodes_.back()->List(versions);
    }
    for (int i = 0; i < kNodes; ++i) Introduce(i);
    for (const auto& node : nodes_) node->Service().Start();
  }

  // It hears and is heard by nobody from now on.
  void Cut(int node) { cut_.insert(HostOf(node)); }
  void Heal() { cut_.clear(); }

  bool MayBegin(int node, const std::string& version) {
    bool may_begin = false;
    Await(Node(node).MayBegin(kService, version), &may_begin);
    return may_begin;
  }

  void Begin(int node, StreamKey key, const std::string& version) {
    bool done = false;
    asio::co_spawn(io_, Node(node).Note(kService, RecordOf(key, version)),
                   [&done](const std::exception_ptr& error) { done = error == nullptr; });
    cr_assert(RunUntil(io_, [&done] { return done; }));
  }

  StreamLookup Find(int node, StreamKey key) {
    StreamLookup lookup;
    Await(Node(node).Find(kService, key, Now() + seconds(5)), &lookup);
    return lookup;
  }

  void Pass(Duration time) {
    const TimePoint end = Now() + time;
    cr_assert(RunUntil(io_, [end] { return Now() >= end; }));
  }

  StreamService& Node(int node) { return nodes_[static_cast<size_t>(node)]->Service(); }
  StreamNode& Whole(int node) { return *nodes_[static_cast<size_t>(node)]; }
  LeaseStore& Store() { return store_; }
  int Messages() const { return messages_; }

 private:
  void Introduce(int number) {
    StreamNode& node = Whole(number);
    for (int other = 0; other < kNodes; ++other) {
      if (other == number) continue;
      NodeState state = StateOf(other);
      state.keeps_streams = keeps_;
      node.Peers().Heard(HostOf(other), state, Now());
    }
    node.Service().SetTransport([this, number](const std::string& host, const Datagram& datagram) {
      ++messages_;
      const std::string bytes = EncodeDatagram(datagram, Now());
      asio::post(io_, [this, number, host, bytes] { Deliver(HostOf(number), host, bytes); });
    });
  }

  void Deliver(const std::string& from, const std::string& to, const std::string& bytes) {
    if (cut_.contains(from) || cut_.contains(to)) return;
    const std::optional<Datagram> datagram = DecodeDatagram(bytes, Now());
    cr_assert(datagram.has_value());
    for (const auto& node : nodes_) {
      if (node->Host() != to) continue;
      if (const auto* question = std::get_if<StreamQuestion>(&*datagram)) {
        node->Service().OnQuestion(from, *question);
      }
      if (const auto* answer = std::get_if<StreamAnswer>(&*datagram)) {
        node->Service().OnAnswer(from, *answer);
      }
    }
  }

  template <typename T>
  void Await(asio::awaitable<T> call, T* result) {
    bool done = false;
    asio::co_spawn(io_, std::move(call), [&](const std::exception_ptr& error, T value) {
      cr_assert(error == nullptr);
      *result = std::move(value);
      done = true;
    });
    cr_assert(RunUntil(io_, [&done] { return done; }));
  }

  bool keeps_;
  asio::io_context io_;
  LeaseStore store_{io_};
  std::vector<std::unique_ptr<StreamNode>> nodes_;
  std::set<std::string> cut_;
  int messages_ = 0;
};

Test(stream_service, a_stream_is_known_everywhere_before_its_first_event_goes_out) {
  StreamFleet fleet;
  cr_assert(fleet.MayBegin(0, "v1") && fleet.MayBegin(1, "v2"));
  for (int starter = 0; starter < kNodes; ++starter) {
    const auto key = static_cast<StreamKey>(100 + starter);
    fleet.Begin(starter, key, starter % 2 == 0 ? "v1" : "v2");
    // As one that was killed.
    fleet.Cut(starter);
    for (int node = 0; node < kNodes; ++node) {
      if (node == starter) continue;
      const StreamLookup found = fleet.Find(node, key);
      cr_assert(found.version == (starter % 2 == 0 ? "v1" : "v2"), "begun at %d, asked %d", starter,
                node);
    }
    fleet.Heal();
  }
}

Test(stream_service, streams_are_known_when_all_nodes_were_lost) {
  StreamFleet fleet;
  cr_assert(fleet.MayBegin(0, "v1") && fleet.MayBegin(1, "v2"));
  fleet.Begin(2, 7, "v2");
  fleet.Pass(milliseconds(700));
  fleet.StartAll({"v1", "v2"});
  const StreamLookup found = fleet.Find(3, 7);
  cr_assert(found.version == "v2" && found.source != VersionSource::kOnlyVersion);
  cr_assert(fleet.Find(0, 8).source == VersionSource::kNone);
}

Test(stream_service, while_there_is_one_version_nothing_is_told_and_all_is_known) {
  StreamFleet fleet;
  fleet.StartAll({"v1"});
  cr_assert(fleet.MayBegin(0, "v1") && fleet.MayBegin(3, "v1"));
  fleet.Pass(milliseconds(300));
  const int before = fleet.Messages();
  for (StreamKey key = 1; key <= 20; ++key) fleet.Begin(0, key, "v1");
  cr_assert(fleet.Messages() == before, "%d messages", fleet.Messages() - before);
  fleet.Cut(0);
  const StreamLookup found = fleet.Find(3, 5);
  cr_assert(found.version == "v1" && found.source == VersionSource::kOnlyVersion);
}

// The store cannot be asked whether there is another version.
// Guards against streams joined from two versions after all nodes were killed: a node had scanned
// its empty registry right before its first list came, and took a service of several versions for
// one without versions until the next scan was due.
Test(stream_service, a_service_has_versions_from_the_first_list_on) {
  constexpr int kManyEngines = 5000;
  StreamFleet fleet;
  fleet.StartAll({});
  fleet.Pass(milliseconds(50));  // registries are scanned
  cr_assert(!fleet.Node(0).IsVersioned(kService));
  std::vector<std::string> versions;
  for (int i = 0; i < kManyEngines; ++i) versions.push_back("v" + std::to_string(i));
  fleet.Whole(0).List(versions);
  cr_assert(fleet.Node(0).IsVersioned(kService));
}

Test(stream_service, a_stream_that_nobody_knows_is_not_guessed_while_the_store_is_away) {
  StreamFleet fleet;
  fleet.StartAll({"v1"});
  cr_assert(fleet.MayBegin(0, "v1"));
  fleet.Begin(0, 5, "v1");
  fleet.Cut(0);
  fleet.Store().SetAway(true);
  cr_assert(fleet.Find(3, 5).source == VersionSource::kNone);
  fleet.Store().SetAway(false);
  cr_assert(fleet.Find(3, 5).version == "v1");
}

// Nodes that list one version only, as they have not heard of the other one.
Test(stream_service, a_node_with_an_old_list_takes_no_stream_for_the_version_that_it_knows) {
  StreamFleet fleet;
  fleet.StartAll({"v1"});
  cr_assert(fleet.MayBegin(3, "v1"));
  fleet.Whole(0).List({"v1", "v2"});
  cr_assert(fleet.MayBegin(0, "v2"));
  fleet.Cut(0);
  fleet.Begin(0, 9, "v2");
  for (int node = 1; node < kNodes; ++node) {
    cr_assert(fleet.Find(node, 9).source == VersionSource::kNone, "node %d guessed", node);
  }
  fleet.Heal();
  fleet.Pass(milliseconds(400));
  for (int node = 1; node < kNodes; ++node) {
    const std::string version = fleet.Find(node, 9).version;
    cr_assert(version.empty() || version == "v2", "node %d: %s", node, version.c_str());
  }
}

// A node that is cut off from the others, or stands still, while back ends of a new version join
// elsewhere: the streams that began there are taken up at it, also with the store away, and again
// once it is back in touch.
Test(stream_service, a_node_out_of_step_while_a_version_joins_goes_on_at_no_other_version) {
  constexpr int kOutOfStep = 3;
  constexpr StreamKey kFirst = 11;
  constexpr StreamKey kEnd = 31;
  StreamFleet fleet;
  fleet.StartAll({"v1"});
  cr_assert(fleet.MayBegin(kOutOfStep, "v1"));
  cr_assert(fleet.Node(kOutOfStep).IsVersioned(kService));
  fleet.Cut(kOutOfStep);
  for (int node = 0; node < kOutOfStep; ++node) fleet.Whole(node).List({"v1", "v2"});
  cr_assert(fleet.MayBegin(0, "v2"));
  const auto expect_right = [&fleet] {
    for (StreamKey key = kFirst; key < kEnd; ++key) {
      const std::string version = fleet.Find(kOutOfStep, key).version;
      cr_expect(version.empty() || version == "v2", "%s", version.c_str());
    }
  };
  for (StreamKey key = kFirst; key < kEnd; ++key) fleet.Begin(0, key, "v2");
  expect_right();
  fleet.Store().SetAway(true);
  expect_right();
  fleet.Store().SetAway(false);
  fleet.Heal();
  expect_right();
}

Test(stream_service, no_stream_begins_at_a_version_that_the_ledger_cannot_take) {
  StreamFleet fleet;
  fleet.Store().SetAway(true);
  cr_assert(!fleet.MayBegin(0, "v1"));
  fleet.Store().SetAway(false);
  cr_assert(fleet.MayBegin(0, "v1"));
  // What one node knows serves the others.
  fleet.Store().SetAway(true);
  cr_assert(!fleet.MayBegin(1, "v3"));
  int permitted = 0;
  for (int node = 0; node < kNodes; ++node) permitted += fleet.MayBegin(node, "v1") ? 1 : 0;
  cr_assert(permitted >= 1);
}

// They begin streams without asking the ledger.
Test(stream_service, beside_earlier_builds_a_ledger_of_one_version_is_not_enough) {
  StreamFleet fleet(false);
  cr_assert(fleet.MayBegin(0, "v1"));
  fleet.Pass(milliseconds(50));
  cr_assert(fleet.Find(0, 3).source == VersionSource::kNone);
}

Test(stream_store, a_lost_answer_and_another_writer_leave_both_versions) {
  asio::io_context io;
  LeaseStore store(io);
  StreamStore first(store, kPrefix, "n1");
  StreamStore second(store, kPrefix, "n2");
  std::vector<size_t> sizes;
  const auto note = [&sizes](const std::exception_ptr&, absl::StatusOr<VersionLedger> ledger) {
    sizes.push_back(ledger.ok() ? ledger->Versions().size() : 0);
  };
  store.LoseAnswers(1);
  asio::co_spawn(io, first.Register(kService, "v1"), note);
  cr_assert(RunUntil(io, [&sizes] { return sizes.size() == 1; }));
  asio::co_spawn(io, first.Register(kService, "v2"), note);
  asio::co_spawn(io, second.Register(kService, "v3"), note);
  cr_assert(RunUntil(io, [&sizes] { return sizes.size() == 3; }));
  cr_assert(sizes.front() == 1 && sizes.back() == 3);
  const KeyValue* item = store.Find("streams/s/versions");
  cr_assert(item != nullptr && VersionLedger::Decode(item->value)->Versions().size() == 3);
}

Test(stream_store, what_is_saved_is_read_as_it_was) {
  asio::io_context io;
  LeaseStore store(io);
  StreamStore streams(store, kPrefix, "n1");
  StreamRecord record = RecordOf(0xfedcba9876543210, "v \"1\"");
  record.started_ms = 1700;
  record.is_confirmed = false;
  bool saved = false;
  asio::co_spawn(
      io, streams.Save(kService, {record, RecordOf(2, "v2")}),
      [&saved](const std::exception_ptr&, const absl::Status& status) { saved = status.ok(); });
  cr_assert(RunUntil(io, [&saved] { return saved; }));
  std::optional<StoredStreams> read;
  asio::co_spawn(
      io, streams.Read(kService),
      [&read](const std::exception_ptr&, absl::StatusOr<StoredStreams> stored) { read = *stored; });
  cr_assert(RunUntil(io, [&read] { return read.has_value(); }));
  cr_assert(read->records.size() == 2 && !read->ledger.has_value());
  const StreamRecord& same = read->records.front();
  cr_assert(same.key == record.key && same.version == record.version && same.engine == "e-1");
  cr_assert(same.started_ms == 1700 && !same.is_confirmed);
  cr_assert(same.until - record.until < seconds(1) && record.until - same.until < seconds(1));
}

}  // namespace
}  // namespace cartsail::testing
