// A node's view of the store, as exchanged between nodes. Pure.
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
  int64_t revision = 0;    // store revision up to which all changes are included
  DocumentPatch document;  // empty when the receiver has this version
  // When set, `backends` and `gone` are the changes after this revision; otherwise `backends` is
  // the full list.
  std::optional<int64_t> since;
  std::vector<Backend> backends;
  std::vector<std::string> gone;                // ids of removed backends; empty in a full list
  std::vector<std::string> drained_zones;       // the full list, also when `since` is set
  std::vector<QuarantinedRequest> quarantined;  // the newest ones, also when `since` is set
  Duration document_age{};  // since the first node on the document's path put it in force
};

// The encoding is compressed. Points in time are encoded as the time left at `now`.
std::string EncodeCatalog(const CatalogMessage& catalog, TimePoint now);

// Returns nullopt when `bytes` is not a valid catalog.
std::optional<CatalogMessage> DecodeCatalog(std::string_view bytes, TimePoint now);

}  // namespace cartsail
