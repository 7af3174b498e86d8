// Idle connections of all nodes to one back end, at sizes from a few nodes to a thousand.
#include "cartsail/dispatch/connection_share.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int64_t kMostConnections = 310;

Test(connection_share, all_nodes_together_leave_room_for_requests_that_run) {
  for (int64_t nodes = 1; nodes <= 230; ++nodes) {
    const auto idle = static_cast<int64_t>(IdleConnectionsOfOneNode(kMostConnections, nodes));
    cr_assert(idle * nodes <= 3 * kMostConnections / 4, "%d nodes", static_cast<int>(nodes));
    cr_assert(idle >= 1);
  }
}

Test(connection_share, few_nodes_keep_what_they_use) {
  cr_assert(IdleConnectionsOfOneNode(kMostConnections, 4) == kMostIdleConnections);
  cr_assert(IdleConnectionsOfOneNode(0, 1000) == kMostIdleConnections);
  cr_assert(IdleConnectionsOfOneNode(kMostConnections, 84) == 2);
}

Test(connection_share, a_node_keeps_one_at_any_size) {
  cr_assert(IdleConnectionsOfOneNode(kMostConnections, 986) == 1);
  cr_assert(IdleConnectionsOfOneNode(1, 0) == 1);
}

}  // namespace
}  // namespace cartsail
