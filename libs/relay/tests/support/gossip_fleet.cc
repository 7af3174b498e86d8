#include "gossip_fleet.h"

#include <fmt/format.h>

#include <algorithm>

#include "fleet/datagram.h"

namespace cartsail::testing {
namespace {

constexpr Duration kTrip = milliseconds(1);
constexpr int kSeeds = 3;
constexpr int kHostsOfNet = 200;
constexpr int kHeaderBytes = 28;
constexpr int64_t kStartSpreadMs = 300;
constexpr Duration kCheck = milliseconds(20);
constexpr uint32_t kFirstIncarnation = 100;

int NodeOf(const std::string& host) {
  int third = 0;
  int fourth = 0;
  if (sscanf(host.c_str(), "10.0.%d.%d", &third, &fourth) != 2) return -1;
  return third * kHostsOfNet + fourth;
}

}  // namespace

std::string GossipFleet::HostOf(int node) {
  return fmt::format("10.0.{}.{}", node / kHostsOfNet, node % kHostsOfNet);
}

GossipFleet::GossipFleet(int nodes, int zones, double lost, uint64_t seed)
    : zones_(zones), lost_(lost), random_(seed) {
  for (int i = 0; i < nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    Start(i, kFirstIncarnation);
  }
}

void GossipFleet::Start(int node, uint32_t incarnation) {
  Node& state = At(node);
  const NodeState self{
      fmt::format("node-{}", node), fmt::format("zone-{}", node % zones_), false, 0.25, {}};
  state.peers = std::make_unique<PeerTable>(self, now_);
  state.gossip = std::make_unique<PeerGossip>(*state.peers, HostOf(node), incarnation, random_());
  for (int seed = 0; seed < kSeeds; ++seed) {
    if (seed != node) state.peers->AddHost(HostOf(seed), now_);
  }
  state.running = true;
  state.frozen = false;
  const auto delay = milliseconds(random_() % kStartSpreadMs);
  events_.push({now_ + delay, next_order_++, Kind::kTick, node, node, {}});
}

void GossipFleet::Kill(int node) { At(node).running = false; }

void GossipFleet::Restart(int node, uint32_t incarnation) { Start(node, incarnation); }

void GossipFleet::Thaw(int node) {
  Node& state = At(node);
  state.frozen = false;
  for (const auto& [from, message] : std::exchange(state.waiting, {})) Arrive(from, node, message);
}

void GossipFleet::Send(int from, const std::vector<AddressedGossip>& messages) {
  for (const AddressedGossip& message : messages) {
    const int to = NodeOf(message.host);
    if (counting_since_.has_value()) {
      const size_t bytes = EncodeDatagram(message.message).size() + kHeaderBytes;
      At(from).sent_bytes += static_cast<double>(bytes);
    }
    const bool is_lost = std::uniform_real_distribution<double>(0, 1)(random_) < lost_;
    if (is_lost || cut_.contains(from) != cut_.contains(to)) continue;
    events_.push({now_ + kTrip, next_order_++, Kind::kArrival, from, to,
                  std::make_shared<const GossipMessage>(message.message)});
  }
}

void GossipFleet::Arrive(int from, int to, const GossipMessage& message) {
  Send(to, At(to).gossip->OnMessage(HostOf(from), message, now_, {}));
}

void GossipFleet::Handle(const Event& event) {
  Node& node = At(event.to);
  if (!node.running) return;
  if (event.kind == Kind::kArrival) {
    if (node.frozen) {
      node.waiting.emplace_back(event.from, *event.message);
    } else {
      Arrive(event.from, event.to, *event.message);
    }
    return;
  }
  if (!node.frozen) {
    node.peers->ForgetSilent(now_);
    Send(event.to, node.gossip->Tick(now_, {}));
  }
  events_.push({now_ + PeerGossip::kTick, next_order_++, Kind::kTick, event.to, event.to, {}});
}

void GossipFleet::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  now_ = end;
}

bool GossipFleet::Believes(int node, int other) const {
  const PeerRecord* peer = Peers(node).Find(HostOf(other));
  return peer != nullptr && PeerTable::IsLive(*peer);
}

int GossipFleet::NodesThatBelieve(int node) const {
  int count = 0;
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
    if (i != node && nodes_[static_cast<size_t>(i)]->running && Believes(i, node)) ++count;
  }
  return count;
}

bool GossipFleet::AllTrue() const {
  const size_t running = static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->running; }));
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
    if (!nodes_[static_cast<size_t>(i)]->running) continue;
    const std::vector<LivePeer> live = Peers(i).LivePeers();
    if (live.size() + 1 != running) return false;
    for (const LivePeer& peer : live) {
      if (!nodes_[static_cast<size_t>(NodeOf(peer.host))]->running) return false;
    }
  }
  return true;
}

Duration GossipFleet::RunUntilTrue(Duration limit) {
  const TimePoint begun = now_;
  while (now_ - begun < limit && !AllTrue()) Run(kCheck);
  return std::min<Duration>(now_ - begun, limit);
}

void GossipFleet::CountBytes() {
  counting_since_ = now_;
  for (const auto& node : nodes_) node->sent_bytes = 0;
}

GossipFleet::Traffic GossipFleet::BytesPerSecond() const {
  const double passed_s = ToSeconds(now_ - counting_since_.value_or(now_));
  Traffic traffic;
  for (const auto& node : nodes_) {
    traffic.mean += node->sent_bytes / passed_s / static_cast<double>(nodes_.size());
    traffic.most = std::max(traffic.most, node->sent_bytes / passed_s);
  }
  return traffic;
}

}  // namespace cartsail::testing
