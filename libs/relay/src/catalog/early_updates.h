// Updates that overtook the one before them on their way: kept until that one has come, so that
// nothing need be fetched. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "catalog/store_update.h"

namespace cartsail {

class EarlyUpdates {
 public:
  // Those of two batches of changes; the node that lacks more fetches them.
  static constexpr size_t kMaxUpdates = 48;

  void Keep(const StoreUpdate& update) {
    if (updates_.size() >= kMaxUpdates) return;
    updates_.insert_or_assign(update.changes.since.value_or(0), update);
  }

  // One that follows `revision`; older ones are forgotten.
  std::optional<StoreUpdate> TakeNext(int64_t revision) {
    while (!updates_.empty() && updates_.begin()->first <= revision) {
      StoreUpdate update = std::move(updates_.begin()->second);
      updates_.erase(updates_.begin());
      if (update.changes.revision > revision) return update;
    }
    return std::nullopt;
  }

 private:
  std::map<int64_t, StoreUpdate> updates_;  // by the revision that they follow
};

}  // namespace cartsail
