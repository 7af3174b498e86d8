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
  // Store revision up to which all changes of back ends and drained zones are included.
  int64_t revision = 0;
  DocumentPatch document;  // empty when the receiver has this version
  // When set, `backends` and `gone` are the changes after this revision; otherwise `backends` is
  // the full list.
  std::optional<int64_t> since;
  std::vector<Backend> backends;
  std::vector<std::string> gone;                // ids of removed backends; empty in a full list
  std::vector<std::string> drained_zones;       // the full list, also when `since` is set
  std::vector<QuarantinedRequest> quarantined;  // the newest ones, also when `since` is set
  Duration document_age{};  // since the first node on the document's path put it in force
  // In force at the sender, also when `document` is empty; 0: not told.
  int64_t document_version = 0;
  // Store revision as of which the sender's document is the newest one; 0: not told. `revision`
  // says nothing of the document.
  int64_t document_revision = 0;
};

// The encoding is compressed. Points in time are encoded as the time left at `now`.
std::string EncodeCatalog(const CatalogMessage& catalog, TimePoint now);

// Returns nullopt when `bytes` is not a valid catalog.
std::optional<CatalogMessage> DecodeCatalog(std::string_view bytes, TimePoint now);

}  // namespace cartsail
