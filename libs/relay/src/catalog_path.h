// The path at which a node hands its catalog to other nodes; `have` names the version of the
// document that the asker has.
#pragma once

#include <string_view>

namespace cartsail {

inline constexpr std::string_view kCatalogPath = "/internal/catalog";
inline constexpr std::string_view kHaveParameter = "have";

}  // namespace cartsail
