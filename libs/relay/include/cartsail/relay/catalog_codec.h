// Decodes the store's routing document and back-end entries. Implemented by the deployment.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// Keys of the catalog in the store.
struct CatalogKeys {
  std::string prefix;          // common prefix of all keys below: a single watch covers them
  std::string document;        // key of the routing document
  std::string backend_prefix;  // back ends: this prefix + id
  // Drained zones: this prefix + zone; the value is ignored. Empty: zones cannot be drained.
  std::string drained_zone_prefix;
  // Quarantined requests, written by the nodes: this prefix + fingerprint, without a value. Empty:
  // they are not kept in the store.
  std::string quarantine_prefix = {};
  // Started streams, and the versions at which streams may start, written by the nodes: this
  // prefix + service + kind of entry. Empty: they are not kept in the store.
  std::string stream_prefix = {};
};

class CatalogCodec {
 public:
  virtual ~CatalogCodec() = default;

  // Fails with kInvalidSetting; the message names the missing or malformed field.
  virtual absl::StatusOr<RoutingDocument> DecodeDocument(std::string_view text) const = 0;
  // `now`: when the entry was read. Fails as DecodeDocument().
  virtual absl::StatusOr<Backend> DecodeBackend(std::string_view id, std::string_view text,
                                                TimePoint now) const = 0;
};

}  // namespace cartsail
