#include "cartsail/dispatch/connection_share.h"

#include <algorithm>

namespace cartsail {

size_t IdleConnectionsPerNode(int64_t max_connections, int64_t nodes) {
  if (max_connections <= 0) return kMaxIdleConnections;
  const double idle = static_cast<double>(max_connections) * kIdleConnectionShare;
  const auto share = static_cast<size_t>(idle / static_cast<double>(std::max<int64_t>(nodes, 1)));
  return std::clamp<size_t>(share, 1, kMaxIdleConnections);
}

}  // namespace cartsail
