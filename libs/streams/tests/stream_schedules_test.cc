// Guards against resuming a stream at an engine of another version. Streams start, are reported to
// other nodes and are resumed while nodes are partitioned from each other and from the store,
// killed, restarted and paused, and engines of other versions come and go: in every order of a few
// steps and in long random sequences. The control rules, which guess the version, report the stream
// too late or ignore the ledger, must fail.
#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cartsail/streams/stream_records.h"
#include "cartsail/streams/version_ledger.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kNow = TimePoint(seconds(1000));
constexpr char kService[] = "s";

enum class Rule {
  kProduction,
  kGuessListedVersion,  // if no node knows the version, resumes at the first listed one
  kReportAfterFirstEvent,
  kIgnoreLedger,  // starts at every listed version; the ledger contains only the first one
};

struct Store {
  std::vector<std::string> engines;  // versions of the running engines
  VersionLedger ledger;
  std::vector<StreamRecord> records;
};

struct Node {
  bool is_up = true;
  bool reaches_store = true;
  int partition = 0;                // nodes of the same partition reach each other
  std::vector<std::string> listed;  // versions of the engine list that it last read
  std::vector<std::string> permitted;
  StreamRecords own;
  StreamRecords replicated;
  std::vector<StreamRecord> unsaved;
  std::vector<StreamRecord> unreported;  // only with kReportAfterFirstEvent
};

struct Stream {
  std::string version;
  bool had_replica = false;  // another node was to receive its record
};

bool Has(const std::vector<std::string>& list, const std::string& version) {
  return std::find(list.begin(), list.end(), version) != list.end();
}

class Fleet {
 public:
  Fleet(int nodes, Rule rule) : rule_(rule), nodes_(static_cast<size_t>(nodes)) {
    store_.engines = {"v1"};
    for (Node& node : nodes_) node.listed = store_.engines;
    if (rule == Rule::kIgnoreLedger) store_.ledger.Add("v1");
  }

  void Start(size_t at, size_t choice) {
    Node& node = nodes_[at];
    if (!node.is_up || node.listed.empty()) return;
    const std::string version = node.listed[choice % node.listed.size()];
    // The node may list an engine that is gone.
    if (!Has(store_.engines, version)) return;
    if (rule_ != Rule::kIgnoreLedger && !MayStart(&node, version)) return;
    const StreamKey key = streams_.size() + 1;
    streams_.push_back({version});
    const StreamRecord record{key, version, "", 0, false, kNow, kNow + seconds(15)};
    node.own.Note(kService, record, kNow);
    if (rule_ == Rule::kReportAfterFirstEvent) {
      node.unreported.push_back(record);
    } else {
      Report(&node, record);
    }
  }

  // Reports the records that were held back.
  void ReportLate() {
    for (Node& node : nodes_) {
      for (const StreamRecord& record : node.unreported) Report(&node, record);
      node.unreported.clear();
    }
  }

  void Resume(size_t at, size_t choice) {
    Node& node = nodes_[at];
    if (!node.is_up || streams_.empty()) return;
    const size_t index = choice % streams_.size();
    const std::optional<std::string> version = Find(&node, index + 1);
    ++asked_;
    if (!version.has_value()) {
      if (streams_[index].had_replica && HasReplicaOf(index + 1, node)) ++lost_;
      return;
    }
    ++resumed_;
    if (*version != streams_[index].version) ++wrong_;
  }

  void Kill(size_t at) {
    Node fresh;
    fresh.is_up = false;
    fresh.partition = nodes_[at].partition;
    fresh.reaches_store = nodes_[at].reaches_store;
    nodes_[at] = std::move(fresh);
  }

  void StartNode(size_t at) {
    if (nodes_[at].is_up) return;
    nodes_[at].is_up = true;
    Refresh(at);
  }

  // A node that is not refreshed behaves like a paused one: it keeps its old engine list.
  void Refresh(size_t at) {
    Node& node = nodes_[at];
    if (node.is_up && node.reaches_store) node.listed = store_.engines;
  }

  void SwitchPartition(size_t at) { nodes_[at].partition = 1 - nodes_[at].partition; }
  void ToggleStore(size_t at) { nodes_[at].reaches_store = !nodes_[at].reaches_store; }

  void ChangeEngines(size_t choice) {
    static const std::vector<std::vector<std::string>> kLists = {
        {"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v1", "v3"}};
    store_.engines = kLists[choice % kLists.size()];
  }

  void Save(size_t at) {
    Node& node = nodes_[at];
    if (!node.is_up || !node.reaches_store) return;
    store_.records.insert(store_.records.end(), node.unsaved.begin(), node.unsaved.end());
    node.unsaved.clear();
  }

  // Performs one step of `kSteps` kinds.
  static constexpr size_t kSteps = 9;
  void Step(size_t kind, size_t at, size_t choice) {
    const size_t node = at % nodes_.size();
    switch (kind % kSteps) {
      case 0:
        return Start(node, choice);
      case 1:
        return Resume(node, choice);
      case 2:
        return Kill(node);
      case 3:
        return StartNode(node);
      case 4:
        return Refresh(node);
      case 5:
        return SwitchPartition(node);
      case 6:
        return ToggleStore(node);
      case 7:
        return ChangeEngines(choice);
      default:
        return Save(node);
    }
  }

  int Wrong() const { return wrong_; }
  int Lost() const { return lost_; }
  int Resumed() const { return resumed_; }
  int Asked() const { return asked_; }

 private:
  std::vector<Node*> PeersOf(const Node& from) {
    std::vector<Node*> peers;
    for (Node& node : nodes_) {
      if (&node != &from && node.is_up && node.partition == from.partition) peers.push_back(&node);
    }
    return peers;
  }

  // The first two, in fixed order, of the node and the ones that it reaches.
  std::vector<Node*> Replicas(Node* from) {
    std::vector<Node*> replicas;
    for (Node& node : nodes_) {
      const bool is_reached = node.is_up && node.partition == from->partition;
      if (is_reached && replicas.size() < 2) replicas.push_back(&node);
    }
    return replicas;
  }

  bool MayStart(Node* node, const std::string& version) {
    if (Has(node->permitted, version)) return true;
    bool may_start = false;
    for (Node* replica : Replicas(node)) may_start = may_start || Has(replica->permitted, version);
    const std::vector<Node*> replicas = Replicas(node);
    const auto reaches = [](const Node* replica) { return replica->reaches_store; };
    if (!may_start &&
        (node->reaches_store || std::any_of(replicas.begin(), replicas.end(), reaches))) {
      store_.ledger.Add(version);
      may_start = true;
    }
    if (may_start) node->permitted.push_back(version);
    return may_start;
  }

  bool IsRecording(const Node& node) const {
    return node.listed.size() > 1 || store_.ledger.Versions().size() > 1 || !node.reaches_store;
  }

  void Report(Node* node, const StreamRecord& record) {
    if (!IsRecording(*node)) return;
    for (Node* replica : Replicas(node)) {
      replica->replicated.Note(kService, record, kNow);
      replica->unsaved.push_back(record);
      if (replica != node) streams_[record.key - 1].had_replica = true;
    }
    if (PeersOf(*node).empty()) return;
    streams_[record.key - 1].had_replica = true;
  }

  bool HasReplicaOf(StreamKey key, const Node& from) {
    const std::vector<Node*> peers = PeersOf(from);
    return std::any_of(peers.begin(), peers.end(), [key](const Node* node) {
      return node->replicated.Find(key, kNow) != nullptr;
    });
  }

  std::optional<std::string> FindAt(Node* node, StreamKey key) {
    const StreamRecord* known = node->replicated.Find(key, kNow);
    if (known == nullptr) known = node->own.Find(key, kNow);
    if (known != nullptr) return known->version;
    if (!node->reaches_store) return std::nullopt;
    for (const StreamRecord& record : store_.records) {
      if (record.key == key) return record.version;
    }
    return OnlyVersion({store_.ledger, node->listed, false});
  }

  std::optional<std::string> Find(Node* node, StreamKey key) {
    std::optional<std::string> version = FindAt(node, key);
    for (Node* other : PeersOf(*node)) {
      if (!version.has_value()) version = FindAt(other, key);
    }
    const bool is_guessing = rule_ == Rule::kGuessListedVersion && !node->listed.empty();
    if (!version.has_value() && is_guessing) version = node->listed.front();
    return version;
  }

  Rule rule_;
  Store store_;
  std::vector<Node> nodes_;
  std::vector<Stream> streams_;
  int wrong_ = 0;
  int lost_ = 0;
  int asked_ = 0;
  int resumed_ = 0;
};

struct Totals {
  int wrong = 0;
  int lost = 0;
  int asked = 0;
  int resumed = 0;

  void Add(const Fleet& fleet) {
    wrong += fleet.Wrong();
    lost += fleet.Lost();
    asked += fleet.Asked();
    resumed += fleet.Resumed();
  }
};

Totals RunRandom(Rule rule, uint32_t seeds) {
  constexpr int kStepsOfOne = 60;
  Totals totals;
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937 random(seed);
    Fleet fleet(3 + static_cast<int>(seed % 3), rule);
    for (int i = 0; i < kStepsOfOne; ++i) {
      fleet.Step(random() % Fleet::kSteps, random(), random());
    }
    totals.Add(fleet);
  }
  return totals;
}

// One node starts a stream at v1 and the next one another at v2. Then every sequence of `steps`
// steps is run, the third node tries to start one too, and each node resumes all of them.
Totals RunExhaustive(Rule rule, size_t steps) {
  constexpr size_t kNodes = 3;
  const std::vector<size_t> kinds = {2, 3, 4, 5, 6, 7, 8};
  const size_t choices = kinds.size() * kNodes;
  size_t orders = 1;
  for (size_t i = 0; i < steps; ++i) orders *= choices;
  Totals totals;
  for (size_t order = 0; order < orders; ++order) {
    Fleet fleet(static_cast<int>(kNodes), rule);
    fleet.Start(0, 0);
    fleet.ChangeEngines(1);
    fleet.Refresh(1);
    fleet.Start(1, 1);
    size_t rest = order;
    for (size_t i = 0; i < steps; ++i) {
      fleet.Step(kinds[rest % kinds.size()], rest / kinds.size(), rest % 5);
      rest /= choices;
    }
    fleet.Start(2, 1);
    for (size_t node = 0; node < kNodes; ++node) {
      for (size_t stream = 0; stream < 3; ++stream) fleet.Resume(node, stream);
    }
    totals.Add(fleet);
  }
  return totals;
}

constexpr uint32_t kSeeds = 20000;
constexpr size_t kStepsInOrder = 3;

Test(stream_schedules, no_stream_resumes_at_another_version, .timeout = 120) {
  const Totals random = RunRandom(Rule::kProduction, kSeeds);
  cr_assert(random.wrong == 0, "%d of %d", random.wrong, random.resumed);
  cr_assert(random.lost == 0, "%d were lost though a replica was reachable", random.lost);
  cr_assert(random.resumed > random.asked / 3, "%d of %d", random.resumed, random.asked);
  const Totals ordered = RunExhaustive(Rule::kProduction, kStepsInOrder);
  cr_assert(ordered.wrong == 0, "%d of %d", ordered.wrong, ordered.resumed);
  cr_assert(ordered.lost == 0, "%d", ordered.lost);
}

Test(stream_schedules, guessing_the_version_resumes_at_another_one, .timeout = 120) {
  cr_assert(RunRandom(Rule::kGuessListedVersion, kSeeds / 10).wrong > 0);
  cr_assert(RunExhaustive(Rule::kGuessListedVersion, 2).wrong > 0);
}

// Without this rule the ledger would not determine the version of a stream.
Test(stream_schedules, streams_outside_the_ledger_resume_at_another_version, .timeout = 120) {
  cr_assert(RunRandom(Rule::kIgnoreLedger, kSeeds / 10).wrong > 0);
}

// The node that started the streams is killed right after their first events were sent.
Test(stream_schedules, a_record_reported_after_the_first_event_is_lost_with_its_node) {
  for (const Rule rule : {Rule::kProduction, Rule::kReportAfterFirstEvent}) {
    Fleet fleet(3, rule);
    fleet.ChangeEngines(1);
    for (size_t node = 0; node < 3; ++node) fleet.Refresh(node);
    fleet.Start(0, 0);
    fleet.Start(0, 1);
    fleet.Kill(0);
    fleet.ReportLate();
    fleet.Resume(1, 0);
    fleet.Resume(2, 1);
    cr_assert(fleet.Wrong() == 0);
    cr_assert(fleet.Resumed() == (rule == Rule::kProduction ? 2 : 0));
  }
}

}  // namespace
}  // namespace cartsail
