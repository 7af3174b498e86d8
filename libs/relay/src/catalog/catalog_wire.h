// Encoding of catalogs as parts of messages (Cap'n Proto). Pure.
#pragma once

#include "catalog/catalog_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

// Times are sent as what is left at `now`.
void FillCatalog(const CatalogMessage& catalog, TimePoint now, wire::Catalog::Builder root);

CatalogMessage CatalogFrom(wire::Catalog::Reader root, TimePoint now);

}  // namespace cartsail
