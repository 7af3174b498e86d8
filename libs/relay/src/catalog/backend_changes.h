// Which back ends changed after a revision of the store, as far back as it is remembered. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <string>

namespace cartsail {

class BackendChanges {
 public:
  // Changes remembered; a peer that is further behind gets all back ends. At the four changes a
  // second of a rolling replacement that is two minutes, in about 30 KB.
  static constexpr size_t kMost = 512;

  // All back ends are known as of `revision`; nothing is known of the changes before.
  void Reset(int64_t revision) {
    changes_.clear();
    complete_since_ = revision;
  }

  // The back end came, changed or went at `revision`, which never falls.
  void Note(const std::string& id, int64_t revision) {
    changes_.push_back({revision, id});
    if (changes_.size() <= kMost) return;
    complete_since_ = changes_.front().revision;
    changes_.pop_front();
  }

  // Ids of those that changed after `revision`; nothing when that is not known.
  std::optional<std::set<std::string>> Since(int64_t revision) const {
    if (revision < complete_since_) return std::nullopt;
    std::set<std::string> ids;
    for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
      if (change->revision <= revision) break;
      ids.insert(change->id);
    }
    return ids;
  }

 private:
  struct Change {
    int64_t revision;
    std::string id;
  };

  std::deque<Change> changes_;  // the latest last
  int64_t complete_since_ = std::numeric_limits<int64_t>::max();
};

}  // namespace cartsail
