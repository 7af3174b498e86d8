// Documents of tests: a version and, after a space, padding; back ends: the name of their service.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cartsail/relay/catalog_codec.h"

namespace cartsail::testing {

// As long as the document of a deployment of 84 nodes.
std::string DocumentText(int64_t version);

// Begins the text of an entry that is no back end.
inline constexpr std::string_view kUnreadableEntry = "\xff\xfe";

class VersionCodec : public CatalogCodec {
 public:
  absl::StatusOr<RoutingDocument> DecodeDocument(std::string_view text) const override;
  absl::StatusOr<Backend> DecodeBackend(std::string_view id, std::string_view text,
                                        TimePoint now) const override;
};

}  // namespace cartsail::testing
