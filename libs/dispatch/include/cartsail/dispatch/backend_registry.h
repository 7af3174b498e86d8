// The back ends that are known to exist, as discovery tells them. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

enum class BackendState {
  kReady,
  kLeaving,  // takes no new request
};

// Names a back end in messages between nodes: a hash of its id.
using BackendKey = uint32_t;

BackendKey KeyOf(std::string_view backend_id);

// One start of one back end. Another start has another id, also at the same address.
struct Backend {
  std::string id;
  BackendKey key = 0;  // set by the registry
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  int64_t slots = 1;  // requests that it runs at once
  BackendState state = BackendState::kReady;
  bool reclaimable = false;      // the platform may take it away after a short notice
  int64_t created_revision = 0;  // of its entry in the store: orders two entries with one address
  // Its entry is missing, but may have lapsed while the store was away: gone at this time unless
  // the entry is back.
  std::optional<TimePoint> missing_until;
};

class BackendRegistry {
 public:
  // The whole list, as read at one moment: back ends that are not in it are gone, or at
  // `missing_until` where that is given. Leaving ones are gone at once.
  void ReplaceAll(std::vector<Backend> backends, std::optional<TimePoint> missing_until = {});

  // One entry was written. A back end that was marked as leaving stays so.
  void Put(Backend backend);

  // The entry is gone: so is the back end, or at `missing_until` where that is given.
  void Remove(std::string_view id, std::optional<TimePoint> missing_until = {});

  // Removes those that are missing for too long. True when there were some.
  bool RemoveMissing(TimePoint now);

  // Told by the back end or by another node. Unknown ids are ignored.
  void MarkLeaving(std::string_view id);

  const Backend* Find(std::string_view id) const;

  // The one whose id has this key, or nullptr.
  const Backend* FindByKey(BackendKey key) const;

  // All entries, in the order of their ids.
  std::vector<Backend> All() const;

  // The ready ones of `service`, in the order of their ids. Of two with one address only the one
  // that was created last counts.
  std::vector<const Backend*> ReadyOf(std::string_view service) const;

  // All that are leaving.
  std::vector<BackendKey> Leaving() const;

  size_t Size() const { return backends_.size(); }

  // Rises with every change: what was derived from the registry before is to be made anew.
  int64_t Changes() const { return changes_; }

 private:
  void KeepMissing(std::vector<Backend>* backends, TimePoint until) const;

  std::map<std::string, Backend, std::less<>> backends_;
  std::unordered_map<BackendKey, std::string> ids_;
  int64_t changes_ = 0;
  TimePoint next_gone_ = TimePoint::max();  // no missing one is gone before
};

}  // namespace cartsail
