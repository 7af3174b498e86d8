// Bounded log of backend changes, queried by store revision. Pure.
#pragma once

#include <cstdint>
#include <limits>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cartsail {

class BackendChanges {
 public:
  struct Change {
    int64_t revision;  // latest store revision at which the backend was added, changed or removed
    std::string id;
  };

  // Maximum number of backends in the log, about 130 bytes each. A peer that is further behind
  // receives the full list. With a limit below the backend count of a zone in a large fleet, the
  // loss of that zone would make all nodes fetch the list of all 3,000 backends (48 KB) from each
  // other several times.
  static constexpr size_t kMaxChanges = 4096;

  BackendChanges() = default;
  BackendChanges(const BackendChanges&) = delete;  // `latest_` points into `changes_`
  BackendChanges& operator=(const BackendChanges&) = delete;

  // Clears the log after the full list as of `revision` was taken over.
  void Reset(int64_t revision) {
    latest_.clear();
    changes_.clear();
    complete_since_ = revision;
  }

  // Records that the backend was added, changed or removed at `revision`, which must not decrease
  // from call to call.
  void Note(const std::string& id, int64_t revision) {
    const auto known = latest_.find(id);
    if (known != latest_.end()) {
      known->second->revision = revision;
      changes_.splice(changes_.end(), changes_, known->second);
      return;
    }
    const auto added = changes_.insert(changes_.end(), {revision, id});
    latest_.emplace(added->id, added);
    if (changes_.size() > kMaxChanges) ForgetOldest();
  }

  // Backends changed after `revision`, each listed once, in ascending order of revision; nullopt
  // when the log does not reach back that far.
  std::optional<std::vector<Change>> Since(int64_t revision) const {
    if (revision < complete_since_) return std::nullopt;
    auto first = changes_.end();
    while (first != changes_.begin() && std::prev(first)->revision > revision) --first;
    return std::vector<Change>(first, changes_.end());
  }

 private:
  void ForgetOldest() {
    complete_since_ = changes_.front().revision;
    latest_.erase(changes_.front().id);
    changes_.pop_front();
  }

  std::list<Change> changes_;  // in ascending order of revision
  std::unordered_map<std::string_view, std::list<Change>::iterator> latest_;  // by id
  int64_t complete_since_ = std::numeric_limits<int64_t>::max();
};

}  // namespace cartsail
