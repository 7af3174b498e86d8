// The path at which a node hands its routing document to other nodes.
#pragma once

#include <string_view>

namespace cartsail {

inline constexpr std::string_view kDocumentPath = "/internal/routing-document";

}  // namespace cartsail
