#include "wire.h"

#include <algorithm>

namespace cartsail {
namespace {

using std::chrono::microseconds;

std::string Text(::capnp::Text::Reader in) { return {in.cStr(), in.size()}; }

constexpr size_t kTierBytes = 4;  // two for waiting, one each for running and headroom
constexpr int kByteLimit = 0xff;
constexpr int kWordLimit = 0xffff;

int Clamp(int value, int limit) { return std::clamp(value, 0, limit); }

std::string EncodeTiers(const QueueDigest& digest) {
  std::string bytes;
  bytes.reserve(kSchedulerTiers * kTierBytes);
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    const int waiting = Clamp(digest.waiting[tier], kWordLimit);
    bytes.push_back(static_cast<char>(waiting & kByteLimit));
    bytes.push_back(static_cast<char>(waiting >> 8));
    bytes.push_back(static_cast<char>(Clamp(digest.running[tier], kByteLimit)));
    bytes.push_back(static_cast<char>(Clamp(digest.headroom[tier], kByteLimit)));
  }
  return bytes;
}

void DecodeTiers(::capnp::Data::Reader bytes, QueueDigest* digest) {
  const int tiers = std::min<int>(static_cast<int>(bytes.size() / kTierBytes), kSchedulerTiers);
  for (int tier = 0; tier < tiers; ++tier) {
    const size_t at = static_cast<size_t>(tier) * kTierBytes;
    digest->waiting[tier] = bytes[at] | (bytes[at + 1] << 8);
    digest->running[tier] = bytes[at + 2];
    digest->headroom[tier] = bytes[at + 3];
  }
}

// A tier from another node is never trusted as an index.
int SafeTier(int tier) { return std::clamp(tier, 0, kSchedulerTiers - 1); }

}  // namespace

int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

Duration FromMicros(int64_t micros) { return Bounded(microseconds(micros)); }

void Encode(const WorkItem& item, wire::WorkItem::Builder out) {
  out.setId(item.id);
  out.setNode(item.node);
  out.setTier(static_cast<uint8_t>(item.tier));
  out.setPreemptible(item.preemptible);
  out.setWaitedUs(ToMicros(item.waited));
  out.setMaxWaitUs(ToMicros(item.max_wait));
  out.setTtftTargetUs(ToMicros(item.ttft_target));
}

WorkItem Decode(wire::WorkItem::Reader in) {
  WorkItem item;
  item.id = in.getId();
  item.node = Text(in.getNode());
  item.tier = SafeTier(in.getTier());
  item.preemptible = in.getPreemptible();
  item.waited = FromMicros(in.getWaitedUs());
  item.max_wait = FromMicros(in.getMaxWaitUs());
  item.ttft_target = FromMicros(in.getTtftTargetUs());
  return item;
}

void Encode(const ServiceReport& report, wire::ServiceReport::Builder out) {
  out.setStarted(report.started);
  out.setFirstTokenUs(ToMicros(report.first_token));
  out.setServiceTimeUs(ToMicros(report.service_time));
  out.setTokens(report.tokens);
  out.setTokenIntervalUs(ToMicros(report.token_interval));
  out.setIntervalTargetUs(ToMicros(report.interval_target));
}

ServiceReport Decode(wire::ServiceReport::Reader in) {
  ServiceReport report;
  report.started = in.getStarted();
  report.first_token = FromMicros(in.getFirstTokenUs());
  report.service_time = FromMicros(in.getServiceTimeUs());
  report.tokens = in.getTokens();
  report.token_interval = FromMicros(in.getTokenIntervalUs());
  report.interval_target = FromMicros(in.getIntervalTargetUs());
  return report;
}

void Encode(const QueueDigest& digest, wire::QueueDigest::Builder out) {
  out.setInFlight(static_cast<uint16_t>(Clamp(digest.in_flight, kWordLimit)));
  out.setWindow(static_cast<uint16_t>(Clamp(digest.window, kWordLimit)));
  out.setReleaseRate(static_cast<float>(digest.release_rate));
  const std::string tiers = EncodeTiers(digest);
  out.setTiers({reinterpret_cast<const unsigned char*>(tiers.data()), tiers.size()});
}

QueueDigest Decode(wire::QueueDigest::Reader in) {
  QueueDigest digest;
  digest.in_flight = in.getInFlight();
  digest.window = in.getWindow();
  digest.release_rate = in.getReleaseRate();
  DecodeTiers(in.getTiers(), &digest);
  return digest;
}

void Encode(const Heartbeat& heartbeat, wire::Heartbeat::Builder out) {
  out.setNode(heartbeat.node);
  out.setZone(heartbeat.zone);
  out.setAddress(heartbeat.address);
  out.setDraining(heartbeat.draining);
  out.setConfigRevision(heartbeat.config_revision);
  out.setMachineVersion(heartbeat.machine_version);
  out.setIntervalMs(static_cast<uint32_t>(ToMillis(heartbeat.interval)));
  auto engines = out.initEngines(static_cast<unsigned>(heartbeat.engines.size()));
  for (unsigned i = 0; i < heartbeat.engines.size(); ++i) {
    engines[i].setEngine(heartbeat.engines[i].engine);
    engines[i].setLeaving(heartbeat.engines[i].leaving);
    Encode(heartbeat.engines[i].digest, engines[i].initDigest());
  }
}

Heartbeat Decode(wire::Heartbeat::Reader in) {
  Heartbeat heartbeat;
  heartbeat.node = Text(in.getNode());
  heartbeat.zone = Text(in.getZone());
  heartbeat.address = Text(in.getAddress());
  heartbeat.draining = in.getDraining();
  heartbeat.config_revision = in.getConfigRevision();
  heartbeat.machine_version = in.getMachineVersion();
  heartbeat.interval = milliseconds(in.getIntervalMs());
  for (const auto engine : in.getEngines()) {
    heartbeat.engines.push_back(
        {Text(engine.getEngine()), Decode(engine.getDigest()), engine.getLeaving()});
  }
  return heartbeat;
}

void Encode(const ConfigDelta& delta, wire::ConfigDelta::Builder out) {
  out.setSince(delta.since);
  out.setRevision(delta.revision);
  out.setChangeId(delta.change_id);
  auto branches = out.initBranches(static_cast<unsigned>(delta.branches.size()));
  for (unsigned i = 0; i < delta.branches.size(); ++i) {
    branches[i].setTenant(delta.branches[i].tenant);
    branches[i].setText(delta.branches[i].text);
    branches[i].setRevision(delta.branches[i].revision);
  }
}

ConfigDelta Decode(wire::ConfigDelta::Reader in) {
  ConfigDelta delta;
  delta.since = in.getSince();
  delta.revision = in.getRevision();
  delta.change_id = Text(in.getChangeId());
  for (const auto branch : in.getBranches()) {
    delta.branches.push_back(
        {Text(branch.getTenant()), Text(branch.getText()), branch.getRevision()});
  }
  return delta;
}

void Encode(const ClaimCall& call, wire::Claim::Builder out) {
  out.setKey(call.key);
  out.setAttempt(call.record.attempt);
  out.setEngine(call.record.engine);
  out.setTimeoutUs(ToMicros(call.timeout));
}

ClaimCall Decode(wire::Claim::Reader in) {
  return {Text(in.getKey()),
          {Text(in.getAttempt()), Text(in.getEngine())},
          FromMicros(in.getTimeoutUs())};
}

void Encode(const ClaimResult& result, wire::ClaimResult::Builder out) {
  out.setVerdict(static_cast<wire::ClaimVerdict>(result.verdict));
  out.setAttempt(result.holder.attempt);
  out.setEngine(result.holder.engine);
}

ClaimResult Decode(wire::ClaimResult::Reader in) {
  ClaimResult result;
  switch (in.getVerdict()) {
    case wire::ClaimVerdict::WON:
      result.verdict = ClaimVerdict::kWon;
      break;
    case wire::ClaimVerdict::LOST:
      result.verdict = ClaimVerdict::kLost;
      break;
    default:
      result.verdict = ClaimVerdict::kUndecided;
      break;
  }
  result.holder = {Text(in.getAttempt()), Text(in.getEngine())};
  return result;
}

void Encode(const std::vector<WorkItem>& items, ::capnp::List<wire::WorkItem>::Builder out) {
  for (unsigned i = 0; i < items.size(); ++i) Encode(items[i], out[i]);
}

std::vector<WorkItem> Decode(::capnp::List<wire::WorkItem>::Reader in) {
  std::vector<WorkItem> items;
  for (const auto item : in) items.push_back(Decode(item));
  return items;
}

}  // namespace cartsail
