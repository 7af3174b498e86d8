#include "cartsail/relay/routing_state.h"

namespace cartsail {

bool RoutingState::Apply(std::shared_ptr<const RouteTable> table, std::string encoded,
                         TimePoint known_since) {
  if (table_ != nullptr && table->Version() <= table_->Version()) return false;
  table_ = std::move(table);
  encoded_ = std::move(encoded);
  known_since_ = known_since;
  DropLacked();
  return true;
}

void RoutingState::NoteVersionElsewhere(int64_t version, TimePoint now) {
  if (version <= NewestKnownVersion()) return;
  newest_lacked_ = {version, now};
  if (!IsBehind()) lacked_ = newest_lacked_;
}

bool RoutingState::NoteNewestInStore(int64_t version, TimePoint asked) {
  const bool is_refuted = IsBehind() && version < lacked_.version && lacked_.heard <= asked;
  if (!is_refuted) return false;
  const bool newest_is_refuted = newest_lacked_.heard <= asked;
  lacked_ = newest_is_refuted ? LackedVersion() : newest_lacked_;
  if (newest_is_refuted) newest_lacked_ = {};
  return true;
}

std::optional<TimePoint> RoutingState::BehindSince() const {
  if (!IsBehind()) return std::nullopt;
  return lacked_.heard;
}

void RoutingState::DropLacked() {
  if (lacked_.version <= Version()) lacked_ = newest_lacked_;
  if (newest_lacked_.version > Version()) return;
  lacked_ = {};
  newest_lacked_ = {};
}

}  // namespace cartsail
