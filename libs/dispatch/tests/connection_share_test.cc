// Idle connections of all nodes to one back end, at sizes from a few nodes to a thousand.
#include "cartsail/dispatch/connection_share.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int64_t kMostConnections = 310;

Test(connection_share, all_nodes_together_leave_room_for_requests_that_run) {
  for (int64_t nodes = 1; nodes <= 230; ++nodes) {
    const auto idle = static_cast<int64_t>(IdleConnectionsPerNode(kMostConnections, nodes));
    cr_assert(idle * nodes <= 3 * kMostConnections / 4, "%d nodes", static_cast<int>(nodes));
    cr_assert(idle >= 1);
  }
}

Test(connection_share, few_nodes_keep_what_they_use) {
  cr_assert(IdleConnectionsPerNode(kMostConnections, 4) == kMaxIdleConnections);
  cr_assert(IdleConnectionsPerNode(0, 1000) == kMaxIdleConnections);
  cr_assert(IdleConnectionsPerNode(kMostConnections, 84) == 2);
}

Test(connection_share, a_node_keeps_one_at_any_size) {
  cr_assert(IdleConnectionsPerNode(kMostConnections, 986) == 1);
  cr_assert(IdleConnectionsPerNode(1, 0) == 1);
}

}  // namespace
}  // namespace cartsail
