// All that a node knows from the store, as it hands it to another node. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/quarantine/quarantine_list.h"
#include "catalog/document_patch.h"

namespace cartsail {

struct CatalogMessage {
  int64_t revision = 0;    // of the store: all changes up to it are in
  DocumentPatch document;  // empty when the asker has this version
  // Given: `backends` and `gone` are the changes after this revision. Else `backends` are all.
  std::optional<int64_t> since;
  std::vector<Backend> backends;
  std::vector<std::string> gone;                // ids
  std::vector<std::string> drained_zones;       // all there are, also beside changes
  std::vector<QuarantinedRequest> quarantined;  // the newest ones, also beside changes
  Duration document_age{};  // since the first node on its way put the document in force
};

// Times are sent as what is left at `now`. Compressed.
std::string EncodeCatalog(const CatalogMessage& catalog, TimePoint now);

// Nothing when the bytes are no catalog.
std::optional<CatalogMessage> DecodeCatalog(std::string_view bytes, TimePoint now);

}  // namespace cartsail
