#include "catalog_message.h"

#include "capnp_bytes.h"
#include "catalog_wire.h"
#include "wire_number.h"
#include "zstd_frame.h"

namespace cartsail {
namespace {

Backend DecodeBackend(wire::Backend::Reader entry, TimePoint now) {
  Backend backend;
  backend.id = TextOf(entry.getId());
  backend.service = TextOf(entry.getService());
  backend.address = TextOf(entry.getAddress());
  backend.zone = TextOf(entry.getZone());
  backend.slots = entry.getSlots();
  backend.state = entry.getLeaving() ? BackendState::kLeaving : BackendState::kReady;
  backend.created_revision = entry.getCreatedRevision();
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
  root.setSince(catalog.since.value_or(-1));
  auto gone = root.initGone(static_cast<unsigned>(catalog.gone.size()));
  for (unsigned i = 0; i < gone.size(); ++i) gone.set(i, catalog.gone[i]);
  auto entries = root.initBackends(static_cast<unsigned>(catalog.backends.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    const Backend& backend = catalog.backends[i];
    entries[i].setId(backend.id);
    entries[i].setService(backend.service);
    entries[i].setAddress(backend.address);
    entries[i].setZone(backend.zone);
    entries[i].setSlots(static_cast<int32_t>(backend.slots));
    entries[i].setLeaving(backend.state == BackendState::kLeaving);
    entries[i].setCreatedRevision(backend.created_revision);
    if (!backend.missing_until.has_value()) continue;
    entries[i].setMissingMs(BoundedTo<int32_t>(ToMillis(*backend.missing_until - now)));
  }
}

CatalogMessage CatalogFrom(wire::Catalog::Reader root, TimePoint now) {
  CatalogMessage catalog;
  catalog.revision = root.getRevision();
  catalog.document = {root.getDocumentBase(), BytesOf(root.getDocument())};
  catalog.document_age = milliseconds(root.getDocumentAgeMs());
  if (root.getSince() >= 0) catalog.since = root.getSince();
  for (const auto id : root.getGone()) catalog.gone.push_back(TextOf(id));
  for (const auto entry : root.getBackends()) {
    catalog.backends.push_back(DecodeBackend(entry, now));
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
