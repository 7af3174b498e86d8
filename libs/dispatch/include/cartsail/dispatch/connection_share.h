// How many idle connections one node keeps to a back end that accepts a limited number of
// connections from all nodes together and resets any beyond. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cartsail {

// Limit for a back end that accepts any number of connections, or a large one.
inline constexpr size_t kMaxIdleConnections = 32;

// Fraction of all connections that may be idle; the rest are for running requests.
inline constexpr double kIdleConnectionShare = 0.75;

// `max_connections`: what the back end accepts from all callers; 0: any number. `nodes`: the nodes
// that share them, including this one. The result is at least one, because a node without idle
// connections would connect for each request.
size_t IdleConnectionsPerNode(int64_t max_connections, int64_t nodes);

}  // namespace cartsail
