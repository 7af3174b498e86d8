#include "cartsail/relay/routing_state.h"

namespace cartsail {

bool RoutingState::Apply(std::shared_ptr<const RouteTable> table, std::string encoded,
                         TimePoint known_since) {
  if (table_ != nullptr && table->Version() <= table_->Version()) return false;
  table_ = std::move(table);
  encoded_ = std::move(encoded);
  known_since_ = known_since;
  return true;
}

}  // namespace cartsail
