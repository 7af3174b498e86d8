// Which back ends changed after a revision of the store, as far back as it is remembered. Pure.
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
    int64_t revision;  // the last one at which the back end came, changed or went
    std::string id;
  };

  // Back ends remembered; a peer that is further behind gets all there are. Were fewer remembered
  // than a zone of a large fleet has, the loss of the zone would make all nodes take the list of
  // all 3,000 (48 KB) from each other several times over. Some 130 bytes each.
  static constexpr size_t kMaxChanges = 4096;

  BackendChanges() = default;
  BackendChanges(const BackendChanges&) = delete;  // `latest_` points into `changes_`
  BackendChanges& operator=(const BackendChanges&) = delete;

  // All back ends are known as of `revision`; nothing is known of the changes before.
  void Reset(int64_t revision) {
    latest_.clear();
    changes_.clear();
    complete_since_ = revision;
  }

  // The back end came, changed or went at `revision`, which never falls.
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

  // Back ends that changed after `revision`, each once, the latest last; nothing when that is not
  // known.
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

  std::list<Change> changes_;                                                 // the latest last
  std::unordered_map<std::string_view, std::list<Change>::iterator> latest_;  // by id
  int64_t complete_since_ = std::numeric_limits<int64_t>::max();
};

}  // namespace cartsail
