#include "catalog/catalog_message.h"

#include <map>

#include "cartsail/net/http_types.h"
#include "catalog/catalog_wire.h"
#include "quarantine/quarantine_codec.h"
#include "wire/capnp_bytes.h"
#include "wire/host_number.h"
#include "wire/wire_number.h"
#include "wire/zstd_frame.h"

namespace cartsail {
namespace {

// Collects the strings that entries of a catalog share and refer to by index.
class NameTable {
 public:
  uint16_t IndexOf(const std::string& name) {
    const auto [entry, is_new] = indices_.try_emplace(name, static_cast<uint16_t>(names_.size()));
    if (is_new) names_.push_back(name);
    return entry->second;
  }

  const std::vector<std::string>& Names() const { return names_; }

 private:
  std::map<std::string, uint16_t> indices_;
  std::vector<std::string> names_;
};

// Empty when the index of a damaged message is out of range.
std::string NameAt(capnp::List<capnp::Text>::Reader names, uint16_t index) {
  return index < names.size() ? TextOf(names[index]) : std::string();
}

void EncodeAddress(const std::string& address, wire::Backend::Builder entry) {
  Endpoint endpoint;
  const bool is_endpoint = ParseEndpoint(address, &endpoint);
  const uint32_t host = is_endpoint ? HostNumber(endpoint.host) : 0;
  if (host == 0 || HostText(host) != endpoint.host) return entry.setAddress(address);
  entry.setHost(host);
  entry.setPort(endpoint.port);
}

std::string DecodeAddress(wire::Backend::Reader entry) {
  if (entry.getHost() == 0) return TextOf(entry.getAddress());
  return Endpoint{HostText(entry.getHost()), entry.getPort()}.ToString();
}

void EncodeBackend(const Backend& backend, int64_t catalog_revision, TimePoint now,
                   NameTable* names, wire::Backend::Builder entry) {
  entry.setId(backend.id);
  entry.setService(names->IndexOf(backend.service));
  entry.setZone(names->IndexOf(backend.zone));
  EncodeAddress(backend.address, entry);
  entry.setSlots(BoundedTo<uint16_t>(static_cast<double>(backend.slots)));
  entry.setLeaving(backend.state == BackendState::kLeaving);
  entry.setReclaimable(backend.reclaimable);
  const int64_t before = catalog_revision - backend.created_revision;
  entry.setCreatedBefore(BoundedTo<uint32_t>(static_cast<double>(before)));
  entry.setStartedMs(backend.started_ms);
  if (!backend.version.empty()) {
    entry.setVersion(static_cast<uint16_t>(names->IndexOf(backend.version) + 1));
  }
  if (backend.cold_until.has_value() && *backend.cold_until > now) {
    entry.setColdMs(BoundedTo<uint32_t>(ToMillis(*backend.cold_until - now)));
  }
  if (!backend.missing_until.has_value()) return;
  entry.setMissingMs(BoundedTo<int32_t>(ToMillis(*backend.missing_until - now)));
}

Backend DecodeBackend(wire::Backend::Reader entry, wire::Catalog::Reader catalog, TimePoint now) {
  Backend backend;
  backend.id = TextOf(entry.getId());
  backend.service = NameAt(catalog.getNames(), entry.getService());
  backend.zone = NameAt(catalog.getNames(), entry.getZone());
  backend.address = DecodeAddress(entry);
  backend.slots = entry.getSlots();
  backend.state = entry.getLeaving() ? BackendState::kLeaving : BackendState::kReady;
  backend.reclaimable = entry.getReclaimable();
  backend.created_revision = catalog.getRevision() - entry.getCreatedBefore();
  backend.started_ms = entry.getStartedMs();
  if (entry.getVersion() > 0) {
    backend.version = NameAt(catalog.getNames(), static_cast<uint16_t>(entry.getVersion() - 1));
  }
  if (entry.getColdMs() > 0) backend.cold_until = now + milliseconds(entry.getColdMs());
  if (entry.getMissingMs() >= 0) {
    backend.missing_until = now + milliseconds(entry.getMissingMs());
  }
  return backend;
}

}  // namespace

void FillCatalog(const CatalogMessage& catalog, TimePoint now, wire::Catalog::Builder root) {
  root.setRevision(catalog.revision);
  SetBytes(root.initDocument(static_cast<unsigned>(catalog.document.bytes.size())),
           catalog.document.bytes);
  root.setDocumentBase(catalog.document.base_version);
  root.setDocumentAgeMs(BoundedTo<uint32_t>(ToMillis(catalog.document_age)));
  root.setDocumentVersion(catalog.document_version);
  root.setDocumentRevision(catalog.document_revision);
  root.setSince(catalog.since.value_or(-1));
  auto gone = root.initGone(static_cast<unsigned>(catalog.gone.size()));
  for (unsigned i = 0; i < gone.size(); ++i) gone.set(i, catalog.gone[i]);
  auto drained = root.initDrainedZones(static_cast<unsigned>(catalog.drained_zones.size()));
  for (unsigned i = 0; i < drained.size(); ++i) drained.set(i, catalog.drained_zones[i]);
  EncodeQuarantinedList(catalog.quarantined, now,
                        root.initQuarantined(static_cast<unsigned>(catalog.quarantined.size())));
  auto entries = root.initBackends(static_cast<unsigned>(catalog.backends.size()));
  NameTable names;
  for (unsigned i = 0; i < entries.size(); ++i) {
    EncodeBackend(catalog.backends[i], catalog.revision, now, &names, entries[i]);
  }
  auto texts = root.initNames(static_cast<unsigned>(names.Names().size()));
  for (unsigned i = 0; i < texts.size(); ++i) texts.set(i, names.Names()[i]);
}

CatalogMessage CatalogFrom(wire::Catalog::Reader root, TimePoint now) {
  CatalogMessage catalog;
  catalog.revision = root.getRevision();
  catalog.document = {root.getDocumentBase(), BytesOf(root.getDocument())};
  catalog.document_age = milliseconds(root.getDocumentAgeMs());
  catalog.document_version = root.getDocumentVersion();
  catalog.document_revision = root.getDocumentRevision();
  if (root.getSince() >= 0) catalog.since = root.getSince();
  for (const auto id : root.getGone()) catalog.gone.push_back(TextOf(id));
  for (const auto zone : root.getDrainedZones()) catalog.drained_zones.push_back(TextOf(zone));
  catalog.quarantined = DecodeQuarantinedList(root.getQuarantined(), now);
  for (const auto entry : root.getBackends()) {
    catalog.backends.push_back(DecodeBackend(entry, root, now));
  }
  return catalog;
}

std::string EncodeCatalog(const CatalogMessage& catalog, TimePoint now) {
  capnp::MallocMessageBuilder message;
  FillCatalog(catalog, now, message.initRoot<wire::Catalog>());
  return CompressFrame({}, PackedBytes(message));
}

std::optional<CatalogMessage> DecodeCatalog(std::string_view bytes, TimePoint now) {
  const absl::StatusOr<std::string> packed = DecompressFrame({}, bytes);
  if (!packed.ok()) return std::nullopt;
  CatalogMessage catalog;
  const bool ok = ReadPacked(*packed, [&catalog, now](capnp::MessageReader& message) {
    catalog = CatalogFrom(message.getRoot<wire::Catalog>(), now);
  });
  if (!ok) return std::nullopt;
  return catalog;
}

}  // namespace cartsail
