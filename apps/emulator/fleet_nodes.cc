// Hollow nodes: starting, heartbeats, ownership, messages.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet_run.h"

namespace cartsail::emulator {

std::string Fleet::ZoneName(int index) const {
  return fmt::format("z{}", index % workload_.topology.zones);
}

EngineQueuePolicy Fleet::QueuePolicy() const {
  const FleetPolicy& policy = options_.policy;
  EngineQueuePolicy queue;
  queue.initial_window = workload_.topology.batch_limit;
  queue.max_window = workload_.topology.batch_limit;
  queue.headroom_limit = policy.headroom_limit;
  queue.preempt_after = policy.preempt_after;
  queue.adapt_window = policy.adapt_window;
  queue.tier_shares.fill(policy.tier_share);
  queue.admission_floor = policy.admission_floor;
  return queue;
}

void Fleet::MakeNodes() {
  for (int i = 0; i < workload_.topology.nodes; ++i) {
    node_index_[fmt::format("n{}", i)] = static_cast<size_t>(i);
    nodes_.push_back(nullptr);
    up_.push_back(0);
  }
  for (size_t i = 0; i < nodes_.size(); ++i) StartNode(i, true);
}

bool Fleet::Sees(const std::string& zone, const std::string& other) const {
  return FullView() || zone == other;
}

void Fleet::StartNode(size_t index, bool settled) {
  const TimePoint now = events_.Time();
  SelectorPolicy selector;
  selector.prefix_affinity = options_.policy.prefix_affinity;
  auto node =
      std::make_unique<HollowNode>(fmt::format("n{}", index), ZoneName(static_cast<int>(index)),
                                   QueuePolicy(), selector, random_(), now);
  std::vector<EngineInfo> infos;
  for (int i = 0; i < engines_.Count(); ++i) {
    if (!Sees(node->zone, engines_.ZoneOf(i))) continue;
    infos.push_back({engines_.IdOf(i), "m", engines_.ZoneOf(i), false});
  }
  node->entry.Selector().SetEngines(infos);
  std::vector<Member> listed;
  for (size_t other = 0; other < nodes_.size(); ++other) {
    const std::string zone = ZoneName(static_cast<int>(other));
    if (other == index || !Sees(node->zone, zone)) continue;
    Member member;
    member.id = fmt::format("n{}", other);
    member.zone = zone;
    listed.push_back(std::move(member));
  }
  node->claims.SetInterval(ClaimInterval(workload_.topology.zones));
  node->members.SetListed(listed);
  if (settled) {
    for (const Member& member : listed) {
      node->members.Heard(member.id, member.zone, "", false, now);
    }
  }
  nodes_[index] = std::move(node);
  ++incarnation_[index];
  up_[index] = 1;
  RefreshOwners(index);
  LoadConfig(index, settled);
  std::uniform_real_distribution<double> phase(0, 1);
  ScheduleHeartbeat(index, incarnation_[index],
                    FromSeconds(phase(random_) * ToSeconds(kHeartbeatInterval)));
  ScheduleTick(index, incarnation_[index], FromSeconds(phase(random_) * ToSeconds(kTickInterval)));
  if (!options_.policy.owners) ScheduleReport(index, incarnation_[index]);
}

void Fleet::LoadConfig(size_t index, bool settled) {
  if (settled) return;
  if (nodes_[index]->members.OwnRank("relay") < kRelaysPerZone) {
    CountPlatformCall();
    CountPlatformCall();
    return;
  }
  const uint64_t incarnation = incarnation_[index];
  std::uniform_real_distribution<double> jitter(1.5, 4.5);
  events_.After(FromSeconds(jitter(random_)), [this, index, incarnation] {
    if (!IsUp(index, incarnation)) return;
    if (nodes_[index]->members.LiveCount() > 1) return;  // a peer gave it
    CountPlatformCall();
    CountPlatformCall();
  });
}

bool Fleet::IsUp(size_t index, uint64_t incarnation) const {
  return up_[index] != 0 && incarnation_.at(index) == incarnation;
}

Duration Fleet::Latency(size_t from, size_t to) const {
  return nodes_[from]->zone == nodes_[to]->zone ? kSameZoneLatency
                                                : workload_.topology.zone_latency;
}

void Fleet::Send(size_t from, size_t to, std::function<void()> work, std::function<void()> lost) {
  if (from != to) ++messages_;
  const uint64_t incarnation = incarnation_[to];
  const Duration delay = from == to ? Duration(0) : Latency(from, to);
  events_.After(delay, [this, to, incarnation, work = std::move(work), lost = std::move(lost)] {
    if (IsUp(to, incarnation)) {
      work();
    } else if (lost) {
      lost();
    }
  });
}

void Fleet::ScheduleHeartbeat(size_t index, uint64_t incarnation, Duration delay) {
  events_.After(delay, [this, index, incarnation] {
    if (!IsUp(index, incarnation)) return;
    SendHeartbeats(index, ++nodes_[index]->heartbeats % kHeartbeatsPerDigest == 0);
    ScheduleHeartbeat(index, incarnation, IntervalOf(index));
  });
}

Duration Fleet::IntervalOf(size_t index) const {
  return HeartbeatInterval(kHeartbeatInterval, nodes_[index]->members.Peers().size());
}

void Fleet::SendHeartbeats(size_t index, bool with_digests) {
  HollowNode& node = *nodes_[index];
  auto digests = std::make_shared<std::vector<OwnedDigest>>();
  if (with_digests) *digests = Decide([&] { return node.owned.Digests(events_.Time()); });
  for (const OwnedDigest& owned : *digests) {
    node.entry.Selector().UpdateDigest(owned.engine, owned.digest);
  }
  for (const Member* peer : node.members.Peers()) {
    const size_t to = node_index_[peer->id];
    ++heartbeats_;
    Send(index, to, [this, index, to, digests, zone = node.zone] {
      HollowNode& receiver = *nodes_[to];
      const std::string& sender = NodeName(index);
      const bool changed = Decide([&] {
        for (const OwnedDigest& owned : *digests) {
          receiver.entry.Selector().UpdateDigest(owned.engine, owned.digest);
        }
        return receiver.members.Heard(sender, zone, "", false, events_.Time(), IntervalOf(index));
      });
      if (changed) RefreshOwners(to);
    });
  }
}

const std::string& Fleet::NodeName(size_t index) {
  std::string& name = node_names_[index];
  if (name.empty()) name = fmt::format("n{}", index);
  return name;
}

void Fleet::ScheduleTick(size_t index, uint64_t incarnation, Duration delay) {
  events_.After(delay, [this, index, incarnation] {
    if (!IsUp(index, incarnation)) return;
    HollowNode& node = *nodes_[index];
    const TimePoint now = events_.Time();
    const std::vector<std::string> suspects = Decide([&] { return node.members.Tick(now); });
    for (const std::string& suspect : suspects) {
      RunOwner(index, node.owned.DropNode(suspect, now));
    }
    if (!suspects.empty()) RefreshOwners(index);
    RunOwner(index, Decide([&] { return node.owned.Tick(now); }));
    ScheduleTick(index, incarnation, kTickInterval);
  });
}

void Fleet::RefreshOwners(size_t index) {
  if (!options_.policy.owners) return;
  HollowNode& node = *nodes_[index];
  std::vector<std::string> mine;
  std::vector<std::string> moved;
  for (int i = 0; i < engines_.Count(); ++i) {
    if (!Sees(node.zone, engines_.ZoneOf(i))) continue;
    const std::string& engine = engines_.IdOf(i);
    std::string owner = node.members.OwnerOf(engine, engines_.ZoneOf(i));
    if (owner == node.id) mine.push_back(engine);
    std::string& known = node.owners[engine];
    if (known == owner) continue;
    known = std::move(owner);
    moved.push_back(engine);
  }
  RunOwner(index, node.owned.SetOwned(mine, events_.Time()));
  const std::set<std::string> in_use = node.entry.EnginesInUse();
  for (const std::string& engine : moved) {
    if (!in_use.contains(engine)) continue;
    Announce(index, engine);
    RunEntry(index, node.entry.OnOwnerChanged(engine, events_.Time()));
  }
}

void Fleet::Announce(size_t index, const std::string& engine) {
  const std::string& owner = nodes_[index]->owners[engine];
  if (owner.empty()) return;
  const size_t to = node_index_[owner];
  Send(index, to, [this, index, to, engine, running = nodes_[index]->entry.RunningAt(engine)] {
    RunOwner(to, nodes_[to]->owned.Announce(engine, NodeName(index), running, events_.Time()));
  });
}

}  // namespace cartsail::emulator
