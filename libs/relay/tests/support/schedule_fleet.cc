#include "schedule_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "catalog/catalog_path.h"
#include "catalog_node.h"

namespace cartsail::testing {
namespace {

constexpr size_t kFewestNodes = 2;
constexpr size_t kMostNodes = 8;
constexpr int kStepsStillAtMost = 60;
constexpr int64_t kLongestDelayMs = 60;
// Per step of 10 ms.
constexpr double kEventShare = 0.2;
constexpr double kFetchShare = 0.2;
// Each fleet loses few or most of its messages of each kind, and has one share of the store's calls
// fail.
constexpr double kFewLost = 0.1;
constexpr double kMostLost = 0.9;
constexpr std::array<double, 3> kFailureShares = {0.1, 0.3, 0.6};
// An answer that confirms the document may have been on its way, and have waited at a node that
// stood still.
constexpr Duration kLongestAnswer = milliseconds(1000);

std::string NameOf(size_t index) { return fmt::format("10.0.0.{}", index + 1); }

}  // namespace

struct ScheduleFleet::Node {
  Node(boost::asio::io_context& io, const History& history, const CatalogCodec& codec,
       const std::string& name, uint64_t seed)
      : link(io, history, faults, seed),
        context(io, OptionsOf(name), format),
        catalog(context, context.peers, link, codec, PlainCatalogKeys()),
        host(name) {}

  static RelayOptions OptionsOf(const std::string& name) {
    RelayOptions options = CatalogNodeOptions();
    options.node_id = name;
    return options;
  }

  bool IsUp() const { return is_started && !faults.is_dead; }

  NodeFaults faults;
  HistoryLink link;
  WireFormat format;
  RelayContext context;
  CatalogSync catalog;
  std::string host;
  bool is_started = false;
  int steps_still = 0;
};

ScheduleFleet::ScheduleFleet(boost::asio::io_context& io, uint64_t seed, Flaw flaw)
    : io_(io), random_(seed), flaw_(flaw) {
  WriteDocument(1);
  back_ends_.emplace_back(history_.Write("backends/b0", "s"), "b0");
  std::uniform_int_distribution<size_t> one_of_three(0, 2);
  update_loss_ = Draw(0.7) ? kFewLost : kMostLost;
  notice_loss_ = Draw(0.5) ? kFewLost : kMostLost;
  fetch_loss_ = Draw(0.3) ? kFewLost : kMostLost;
  const double failure_share = kFailureShares[one_of_three(random_)];
  const size_t count = std::uniform_int_distribution<size_t>(kFewestNodes, kMostNodes)(random_);
  for (size_t i = 0; i < count; ++i) {
    nodes_.push_back(std::make_unique<Node>(io, history_, codec_, NameOf(i), random_()));
    nodes_.back()->link.SetFailureShare(failure_share);
  }
  for (size_t i = 0; i < count; ++i) {
    for (size_t other = 0; other < count; ++other) {
      if (other == i) continue;
      const Duration uptime = seconds(60 - static_cast<int64_t>(other));
      nodes_[i]->context.peers.Heard(NameOf(other), {NameOf(other), "z1", false, 1, uptime}, Now());
    }
  }
  // The others start later, beside faults.
  for (size_t i = 0; i < kFewestNodes; ++i) StartNode(*nodes_[i]);
}

ScheduleFleet::~ScheduleFleet() = default;

void ScheduleFleet::StartNode(Node& node) {
  node.is_started = true;
  if (flaw_ == Flaw::kPassesOverPeersRevision) {
    node.link.SetPassedOver([&node] { return node.catalog.Revision(); });
  }
  node.catalog.SetOnUpdate(
      [this, &node](StoreUpdate update) { SendUpdate(node, std::move(update)); });
  node.catalog.SetOnDocument([this, &node] { SendNotices(node); });
  node.catalog.Start();
  Fetch(node, AnyNode());
}

ScheduleFleet::Node& ScheduleFleet::AnyNode() {
  return *nodes_[std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(random_)];
}

size_t ScheduleFleet::NodesUp() const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->IsUp(); }));
}

void ScheduleFleet::Send(Node* to, double loss_share, std::function<void(Node&)> deliver) {
  if (!is_healed_ && Draw(loss_share)) return;
  const int copies = Draw(0.1) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const milliseconds delay(
        std::uniform_int_distribution<int64_t>(1, is_healed_ ? 10 : kLongestDelayMs)(random_));
    messages_.push_back({Now() + delay, to, deliver});
  }
}

void ScheduleFleet::SendToOthers(Node& from, double loss_share,
                                 const std::function<void(Node&)>& deliver) {
  if (from.faults.is_dead) return;
  for (const auto& node : nodes_) {
    if (node.get() != &from && node->IsUp()) Send(node.get(), loss_share, deliver);
  }
}

// The answer is as of some time between the request and its arrival.
void ScheduleFleet::Fetch(Node& by, Node& from) {
  if (&by == &from || !from.IsUp()) return;
  HttpRequest request;
  request.target = fmt::format("/?{}={}&{}={}", kHaveParameter, by.context.routing.Version(),
                               kSinceParameter, by.catalog.Revision());
  Send(&from, fetch_loss_, [this, request, &by](Node& answering) {
    CatalogMessage catalog = *DecodeCatalog(answering.catalog.AnswerPeer(request), Now());
    if (catalog.document_version == 0) return;
    Send(&by, fetch_loss_, [catalog](Node& node) { node.catalog.ApplyCatalog(catalog, "peer"); });
  });
}

// As a node does that learns from a peer's regular message what the peer has.
void ScheduleFleet::FetchAtRandom() {
  Node& by = AnyNode();
  if (by.IsUp()) Fetch(by, AnyNode());
}

void ScheduleFleet::SendUpdate(Node& from, StoreUpdate update) {
  const TimePoint sent = Now();
  SendToOthers(from, update_loss_, [this, update, sent, &from](Node& node) {
    StoreUpdate arrived = update;
    arrived.confirmed_age += Now() - sent;
    if (flaw_ == Flaw::kTakesPeersDocumentRevision) {
      arrived.document_version = node.context.routing.Version();
    }
    if (!node.catalog.ApplyUpdate(arrived, "peer")) Fetch(node, from);
  });
}

void ScheduleFleet::SendNotices(Node& from) {
  const DocumentPatch patch = Draw(0.5) ? from.catalog.LatestPatch() : DocumentPatch();
  const int64_t version = from.context.routing.Version();
  SendToOthers(from, notice_loss_, [this, patch, version, &from](Node& node) {
    if (!patch.bytes.empty()) node.catalog.ApplyPatch(patch, "peer", Duration(0));
    if (version <= node.context.routing.Version()) return;
    node.catalog.NoteVersionElsewhere(version, Now());
    Fetch(node, from);
  });
}

void ScheduleFleet::DeliverDue() {
  std::vector<Message> due;
  for (auto message = messages_.begin(); message != messages_.end();) {
    const auto next = std::next(message);
    if (message->due <= Now() && !message->to->faults.is_still) {
      due.push_back(std::move(*message));
      messages_.erase(message);
    }
    message = next;
  }
  for (const Message& message : due) {
    if (message.to->IsUp()) message.deliver(*message.to);
  }
}

void ScheduleFleet::WriteDocument(int64_t version) {
  documents_.push_back({history_.Write("document", DocumentText(version)), version, Now()});
}

void ScheduleFleet::StrikeOrChange() {
  Node& node = AnyNode();
  switch (std::uniform_int_distribution<int>(0, 7)(random_)) {
    case 0:
      return WriteDocument(documents_.back().version + 1);
    case 1:
    case 2:
    case 3: {
      const std::string id = fmt::format("b{}", back_ends_.size());
      back_ends_.emplace_back(history_.Write("backends/" + id, "s"), id);
      return;
    }
    case 4:
      node.steps_still = std::uniform_int_distribution<int>(1, kStepsStillAtMost)(random_);
      return;
    case 5:
      if (node.IsUp() && NodesUp() > 1 && Draw(0.3)) node.faults.is_dead = true;
      return;
    case 6:
      if (Draw(0.3)) history_.Compact();
      return;
    default:
      if (!node.is_started) StartNode(node);
      return;
  }
}

void ScheduleFleet::Step() {
  if (!is_healed_ && Draw(kEventShare)) StrikeOrChange();
  if (Draw(kFetchShare)) FetchAtRandom();
  const TimePoint now = Now();
  for (const auto& node : nodes_) {
    node->faults.is_still = node->steps_still > 0;
    if (node->faults.is_still) {
      --node->steps_still;
      continue;
    }
    if (!node->IsUp()) continue;
    (void)node->context.standstill.Beat(now);
    node->catalog.NotePeersHeard(now);
  }
  DeliverDue();
  for (const auto& node : nodes_) {
    if (node->IsUp() && !node->faults.is_still) CheckClaims(*node);
  }
}

int64_t ScheduleFleet::NewestVersionAt(int64_t revision) const {
  int64_t newest = 0;
  for (const Document& document : documents_) {
    if (document.revision <= revision) newest = document.version;
  }
  return newest;
}

int64_t ScheduleFleet::NewestVersionBefore(TimePoint then) const {
  int64_t newest = 0;
  for (const Document& document : documents_) {
    if (document.written < then) newest = document.version;
  }
  return newest;
}

bool ScheduleFleet::KnowsAllBackEnds(Node& node, int64_t revision) const {
  return std::all_of(back_ends_.begin(), back_ends_.end(), [&node, revision](const auto& entry) {
    const bool is_known = node.context.dispatcher.Registry().Find(entry.second) != nullptr;
    return entry.first > revision || is_known;
  });
}

void ScheduleFleet::CheckClaims(Node& node) {
  if (!broken_claim_.empty()) return;
  HttpRequest request;
  request.target = fmt::format("/?{}={}&{}={}", kHaveParameter, node.context.routing.Version(),
                               kSinceParameter, node.catalog.Revision());
  const CatalogMessage claim = *DecodeCatalog(node.catalog.AnswerPeer(request), Now());
  const RoutingState& routing = node.context.routing;
  if (routing.Version() < NewestVersionBefore(routing.Confirmed() - kLongestAnswer)) {
    broken_claim_ = fmt::format("{} has version {} confirmed long after a newer one", node.host,
                                routing.Version());
  }
  if (routing.Version() < NewestVersionAt(claim.document_revision)) {
    broken_claim_ = fmt::format("{} has version {}, and says that it is the newest as of {}",
                                node.host, routing.Version(), claim.document_revision);
  }
  if (!KnowsAllBackEnds(node, claim.revision)) {
    broken_claim_ = fmt::format("{} lacks back ends as of revision {}", node.host, claim.revision);
  }
}

void ScheduleFleet::Heal() {
  is_healed_ = true;
  for (const auto& node : nodes_) {
    node->link.SetFailureShare(0);
    node->steps_still = 0;
    for (const auto& other : nodes_) {
      if (!other->IsUp()) node->context.peers.SetStatus(other->host, PeerStatus::kGone, Now());
    }
  }
}

size_t ScheduleFleet::NodesBehind() const {
  const int64_t newest = documents_.back().version;
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [newest](const auto& node) {
        return node->IsUp() && node->context.routing.Version() < newest;
      }));
}

}  // namespace cartsail::testing
