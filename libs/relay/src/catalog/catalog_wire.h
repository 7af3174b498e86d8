// Encoding of catalogs inside Cap'n Proto messages. Pure.
#pragma once

#include "catalog/catalog_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

// Points in time are encoded as the time left at `now`.
void FillCatalog(const CatalogMessage& catalog, TimePoint now, wire::Catalog::Builder root);

CatalogMessage CatalogFrom(wire::Catalog::Reader root, TimePoint now);

}  // namespace cartsail
