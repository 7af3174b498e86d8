#include "cartsail/dispatch/grant_authority.h"

namespace cartsail {

GrantAuthority GrantAuthorityOf(const FleetView& view) {
  if (!view.is_first) return {};
  if (view.known == 0) return {true, 1};
  if (!view.is_settled) return {};
  const auto seen = static_cast<double>(view.live + 1);
  const auto all = static_cast<double>(view.known + 1);
  return {2 * seen > all, seen / all};
}

}  // namespace cartsail
