// Idle connections of all nodes to one back end, with one node up to about a thousand.
#include "cartsail/dispatch/connection_share.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int64_t kMaxConnections = 310;

Test(connection_share, all_nodes_together_leave_room_for_requests_that_run) {
  for (int64_t nodes = 1; nodes <= 230; ++nodes) {
    const auto idle = static_cast<int64_t>(IdleConnectionsPerNode(kMaxConnections, nodes));
    cr_assert(idle * nodes <= 3 * kMaxConnections / 4, "%d nodes", static_cast<int>(nodes));
    cr_assert(idle >= 1);
  }
}

Test(connection_share, few_nodes_keep_what_they_use) {
  cr_assert(IdleConnectionsPerNode(kMaxConnections, 4) == kMaxIdleConnections);
  cr_assert(IdleConnectionsPerNode(0, 1000) == kMaxIdleConnections);
  cr_assert(IdleConnectionsPerNode(kMaxConnections, 84) == 2);
}

Test(connection_share, a_node_keeps_one_at_any_size) {
  cr_assert(IdleConnectionsPerNode(kMaxConnections, 986) == 1);
  cr_assert(IdleConnectionsPerNode(1, 0) == 1);
}

}  // namespace
}  // namespace cartsail
