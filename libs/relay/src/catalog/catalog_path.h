// The path at which a node hands its catalog to other nodes; `have` names the version of the
// document that the asker has, `since` the revision up to which it knows the back ends.
#pragma once

#include <string_view>

namespace cartsail {

inline constexpr std::string_view kCatalogPath = "/internal/catalog";
inline constexpr std::string_view kHaveParameter = "have";
inline constexpr std::string_view kSinceParameter = "since";

}  // namespace cartsail
