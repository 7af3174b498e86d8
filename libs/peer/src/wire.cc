#include "wire.h"

#include <algorithm>

namespace cartsail {
namespace {

using std::chrono::microseconds;

std::string Text(::capnp::Text::Reader in) { return {in.cStr(), in.size()}; }

void EncodeTiers(const PerTier<int>& values, ::capnp::List<int32_t>::Builder out) {
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    out.set(static_cast<unsigned>(tier), values[tier]);
  }
}

PerTier<int> DecodeTiers(::capnp::List<int32_t>::Reader in) {
  PerTier<int> values{};
  const unsigned count = std::min<unsigned>(in.size(), kSchedulerTiers);
  for (unsigned tier = 0; tier < count; ++tier) values[tier] = in[tier];
  return values;
}

// A tier from another node is never trusted as an index.
int SafeTier(int tier) { return std::clamp(tier, 0, kSchedulerTiers - 1); }

}  // namespace

int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

Duration FromMicros(int64_t micros) { return microseconds(micros); }

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
  out.setInFlight(digest.in_flight);
  out.setWindow(digest.window);
  EncodeTiers(digest.waiting, out.initWaiting(kSchedulerTiers));
  EncodeTiers(digest.running, out.initRunning(kSchedulerTiers));
  EncodeTiers(digest.headroom, out.initHeadroom(kSchedulerTiers));
  out.setReleaseRate(static_cast<float>(digest.release_rate));
}

QueueDigest Decode(wire::QueueDigest::Reader in) {
  QueueDigest digest;
  digest.in_flight = in.getInFlight();
  digest.window = in.getWindow();
  digest.waiting = DecodeTiers(in.getWaiting());
  digest.running = DecodeTiers(in.getRunning());
  digest.headroom = DecodeTiers(in.getHeadroom());
  digest.release_rate = in.getReleaseRate();
  return digest;
}

void Encode(const Heartbeat& heartbeat, wire::Heartbeat::Builder out) {
  out.setNode(heartbeat.node);
  out.setZone(heartbeat.zone);
  out.setAddress(heartbeat.address);
  out.setDraining(heartbeat.draining);
  out.setConfigRevision(heartbeat.config_revision);
  out.setMachineVersion(heartbeat.machine_version);
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
