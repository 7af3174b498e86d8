#include "node_digest.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "digest.capnp.h"

namespace cartsail {
namespace {

constexpr size_t kMostWords = 1 << 14;  // of a decoded message

kj::ArrayPtr<const kj::byte> Bytes(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string Text(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

void EncodeDispatch(const DispatchDigest& dispatch, wire::NodeDigest::Builder root) {
  auto loads = root.initLoads(static_cast<unsigned>(dispatch.loads.size()));
  for (unsigned i = 0; i < loads.size(); ++i) {
    loads[i].setBackend(dispatch.loads[i].backend);
    loads[i].setReadingMs(static_cast<float>(dispatch.loads[i].load.reading_ms));
    loads[i].setRequests(static_cast<uint32_t>(dispatch.loads[i].load.requests));
    loads[i].setLeastPauseMs(static_cast<float>(dispatch.loads[i].least_pause_ms));
    loads[i].setEvenStreams(static_cast<uint32_t>(dispatch.loads[i].load.even_streams));
  }
  auto prefixes = root.initPrefixes(static_cast<unsigned>(dispatch.prefixes.size()));
  for (unsigned i = 0; i < prefixes.size(); ++i) {
    prefixes[i].setPart(dispatch.prefixes[i].part);
    prefixes[i].setBackend(dispatch.prefixes[i].backend);
  }
  auto work = root.initWork(static_cast<unsigned>(dispatch.work.size()));
  for (unsigned i = 0; i < work.size(); ++i) {
    work[i].setService(dispatch.work[i].service);
    work[i].setUrgentMsPerSecond(static_cast<float>(dispatch.work[i].urgent_ms_per_s));
    work[i].setPatientMsPerSecond(static_cast<float>(dispatch.work[i].patient_ms_per_s));
  }
  auto leaving = root.initLeaving(static_cast<unsigned>(dispatch.leaving.size()));
  for (unsigned i = 0; i < leaving.size(); ++i) leaving.set(i, dispatch.leaving[i]);
}

DispatchDigest DecodeDispatch(wire::NodeDigest::Reader root) {
  DispatchDigest dispatch;
  for (const auto load : root.getLoads()) {
    BackendLoadEntry entry;
    entry.backend = Text(load.getBackend());
    entry.load.reading_ms = load.getReadingMs();
    entry.load.requests = load.getRequests();
    entry.load.even_streams = load.getEvenStreams();
    entry.least_pause_ms = load.getLeastPauseMs();
    dispatch.loads.push_back(std::move(entry));
  }
  for (const auto placed : root.getPrefixes()) {
    dispatch.prefixes.push_back({placed.getPart(), Text(placed.getBackend())});
  }
  for (const auto backend : root.getLeaving()) dispatch.leaving.push_back(Text(backend));
  for (const auto work : root.getWork()) {
    dispatch.work.push_back(
        {Text(work.getService()), work.getUrgentMsPerSecond(), work.getPatientMsPerSecond()});
  }
  return dispatch;
}

}  // namespace

std::string EncodeNodeDigest(const NodeDigest& digest) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::NodeDigest>();
  root.setNode(digest.node);
  root.setDocumentVersion(digest.document_version);
  const bool confirmed = digest.confirmed_age.has_value();
  root.setConfirmedAgeMs(confirmed ? static_cast<int32_t>(ToMillis(*digest.confirmed_age)) : -1);
  root.setStopping(digest.stopping);
  EncodeDispatch(digest.dispatch, root);
  auto hosts = root.initHosts(static_cast<unsigned>(digest.hosts.size()));
  for (unsigned i = 0; i < hosts.size(); ++i) hosts.set(i, digest.hosts[i]);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message);
  const auto bytes = output.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<NodeDigest> DecodeNodeDigest(std::string_view bytes) {
  std::optional<NodeDigest> digest;
  const auto decode = [&] {
    kj::ArrayInputStream input(Bytes(bytes));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMostWords;
    capnp::PackedMessageReader message(input, options);
    const auto root = message.getRoot<wire::NodeDigest>();
    NodeDigest decoded;
    decoded.node = Text(root.getNode());
    decoded.document_version = root.getDocumentVersion();
    if (root.getConfirmedAgeMs() >= 0) {
      decoded.confirmed_age = milliseconds(root.getConfirmedAgeMs());
    }
    decoded.stopping = root.getStopping();
    decoded.dispatch = DecodeDispatch(root);
    for (const auto host : root.getHosts()) decoded.hosts.push_back(Text(host));
    digest = std::move(decoded);
  };
  if (kj::runCatchingExceptions(decode) != nullptr) return std::nullopt;
  return digest;
}

}  // namespace cartsail
