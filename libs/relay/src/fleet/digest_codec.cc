#include "fleet/digest_codec.h"

#include "wire/capnp_bytes.h"
#include "wire/wire_number.h"

namespace cartsail {
namespace {

constexpr double kPauseUnitMs = 0.01;
constexpr double kAttemptUnit = 0.1;

void EncodeLoads(const std::vector<BackendLoadEntry>& entries, wire::NodeDigest::Builder root) {
  auto loads = root.initLoads(static_cast<unsigned>(entries.size()));
  for (unsigned i = 0; i < loads.size(); ++i) {
    const BackendLoadEntry& entry = entries[i];
    loads[i].setBackend(entry.backend);
    loads[i].setReadingMs(BoundedTo<uint32_t>(entry.load.prefill_ms));
    loads[i].setRequests(BoundedTo<uint16_t>(static_cast<double>(entry.load.requests)));
    loads[i].setLightRequests(BoundedTo<uint16_t>(static_cast<double>(entry.load.light_requests)));
    loads[i].setAttempts(BoundedTo<uint16_t>(entry.load.attempts / kAttemptUnit));
    loads[i].setFailures(BoundedTo<uint16_t>(entry.load.failures / kAttemptUnit));
    loads[i].setLeastPause(BoundedTo<uint16_t>(entry.least_pause_ms / kPauseUnitMs));
  }
}

void EncodeDispatch(const DispatchDigest& dispatch, wire::NodeDigest::Builder root) {
  EncodeLoads(dispatch.loads, root);
  auto prefixes = root.initPrefixes(static_cast<unsigned>(dispatch.prefixes.size()));
  for (unsigned i = 0; i < prefixes.size(); ++i) {
    prefixes[i].setPart(dispatch.prefixes[i].part);
    prefixes[i].setBackend(dispatch.prefixes[i].backend);
  }
  auto work = root.initWork(static_cast<unsigned>(dispatch.work.size()));
  for (unsigned i = 0; i < work.size(); ++i) {
    work[i].setService(dispatch.work[i].service);
    work[i].setLightMsPerSecond(static_cast<float>(dispatch.work[i].light_ms_per_s));
    work[i].setHeavyMsPerSecond(static_cast<float>(dispatch.work[i].heavy_ms_per_s));
  }
  auto leaving = root.initLeaving(static_cast<unsigned>(dispatch.leaving.size()));
  for (unsigned i = 0; i < leaving.size(); ++i) leaving.set(i, dispatch.leaving[i]);
}

BackendLoadEntry DecodeLoad(wire::BackendLoad::Reader load) {
  BackendLoadEntry entry;
  entry.backend = load.getBackend();
  entry.load.prefill_ms = load.getReadingMs();
  entry.load.requests = load.getRequests();
  entry.load.light_requests = load.getLightRequests();
  entry.load.attempts = load.getAttempts() * kAttemptUnit;
  entry.load.failures = load.getFailures() * kAttemptUnit;
  entry.least_pause_ms = load.getLeastPause() * kPauseUnitMs;
  return entry;
}

DispatchDigest DecodeDispatch(wire::NodeDigest::Reader root) {
  DispatchDigest dispatch;
  for (const auto load : root.getLoads()) dispatch.loads.push_back(DecodeLoad(load));
  for (const auto placed : root.getPrefixes()) {
    dispatch.prefixes.push_back({placed.getPart(), placed.getBackend()});
  }
  for (const auto backend : root.getLeaving()) dispatch.leaving.push_back(backend);
  for (const auto work : root.getWork()) {
    dispatch.work.push_back(
        {TextOf(work.getService()), work.getLightMsPerSecond(), work.getHeavyMsPerSecond()});
  }
  return dispatch;
}

}  // namespace

void EncodeDigest(const NodeDigest& digest, wire::NodeDigest::Builder root) {
  root.setNode(digest.node);
  root.setIntervalMs(BoundedTo<uint32_t>(ToMillis(digest.interval)));
  EncodeDispatch(digest.dispatch, root);
  const std::vector<PlacementQueryId>& live = digest.live_questions;
  auto questions = root.initLiveQuestions(static_cast<unsigned>(live.size()));
  for (unsigned i = 0; i < questions.size(); ++i) questions.set(i, live[i]);
}

NodeDigest DecodeDigest(wire::NodeDigest::Reader root) {
  NodeDigest digest;
  digest.node = TextOf(root.getNode());
  digest.interval = milliseconds(root.getIntervalMs());
  digest.dispatch = DecodeDispatch(root);
  for (const PlacementQueryId question : root.getLiveQuestions()) {
    digest.live_questions.push_back(question);
  }
  return digest;
}

}  // namespace cartsail
