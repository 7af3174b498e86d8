// A back end takes so many connections from all nodes together, and resets any beyond: how many of
// them one node keeps open while it does not use them. Pure.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cartsail {

// Of a back end without a bound, or with a large one.
inline constexpr size_t kMaxIdleConnections = 32;

// Of all connections; the rest are for requests that run.
inline constexpr double kIdleConnectionShare = 0.75;

// `max_connections`: what the back end takes of all callers; 0: any number. `nodes`: that share
// them, this one included. One at least: a node with none would connect for each request.
size_t IdleConnectionsPerNode(int64_t max_connections, int64_t nodes);

}  // namespace cartsail
