// How the store spells the routing document and the back ends. Given by the deployment.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// Where the store keeps them.
struct CatalogKeys {
  std::string prefix;          // of all keys below: one watch follows them
  std::string document;        // key of the routing document
  std::string backend_prefix;  // keys of back ends: prefix and id
  // Keys of drained zones: prefix and zone; the value does not matter. Empty: there are none.
  std::string drained_zone_prefix;
  // Keys of quarantined requests, which nodes write themselves: prefix and fingerprint; no value.
  // Empty: they are not kept in the store.
  std::string quarantine_prefix = {};
  // Keys of begun streams and of the versions at which they may begin, which nodes write
  // themselves: prefix, service, what it is. Empty: they are not kept in the store.
  std::string stream_prefix = {};
};

class CatalogCodec {
 public:
  virtual ~CatalogCodec() = default;

  // kInvalidSetting names the field that is missing or malformed.
  virtual absl::StatusOr<RoutingDocument> DecodeDocument(std::string_view text) const = 0;
  // The entry was read at `now`.
  virtual absl::StatusOr<Backend> DecodeBackend(std::string_view id, std::string_view text,
                                                TimePoint now) const = 0;
};

}  // namespace cartsail
