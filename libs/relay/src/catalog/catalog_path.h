// HTTP path at which a node serves its catalog to other nodes. `have` is the requester's document
// version, `since` the store revision up to which it knows the backends; absent or 0: none.
#pragma once

#include <string_view>

namespace cartsail {

inline constexpr std::string_view kCatalogPath = "/internal/catalog";
inline constexpr std::string_view kHaveParameter = "have";
inline constexpr std::string_view kSinceParameter = "since";

}  // namespace cartsail
