// Holds updates that arrived before their predecessor until it arrives, so that nothing has to be
// fetched. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "catalog/store_update.h"

namespace cartsail {

class EarlyUpdates {
 public:
  // The updates of two sets of changes; a node that lacks more fetches them.
  static constexpr size_t kMaxUpdates = 48;

  void Keep(const StoreUpdate& update) {
    if (updates_.size() >= kMaxUpdates) return;
    updates_.insert_or_assign(update.changes.since.value_or(0), update);
  }

  // Removes and returns an update that applies to `revision`, and drops those that add nothing to
  // it; nullopt when there is none.
  std::optional<StoreUpdate> TakeNext(int64_t revision) {
    while (!updates_.empty() && updates_.begin()->first <= revision) {
      StoreUpdate update = std::move(updates_.begin()->second);
      updates_.erase(updates_.begin());
      if (update.changes.revision > revision) return update;
    }
    return std::nullopt;
  }

 private:
  std::map<int64_t, StoreUpdate> updates_;  // by StoreUpdate::changes.since
};

}  // namespace cartsail
