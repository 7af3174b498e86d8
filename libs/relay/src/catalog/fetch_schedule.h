// Decides when a node may fetch the catalog of another node. Pure.
#pragma once

#include <algorithm>
#include <list>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

class FetchSchedule {
 public:
  // A fetch that takes longer no longer blocks one from another node. Half a KB over a link of
  // 10 Mbit/s takes a few milliseconds, but a lost first packet of a connection is sent again only
  // after 1 s.
  static constexpr Duration kOverlapDelay = milliseconds(200);
  // Between the end of a fetch and the next, so that one fetch collects changes in quick
  // succession.
  static constexpr Duration kPause = milliseconds(250);
  static constexpr size_t kMaxConcurrent = 3;

  struct Fetch {
    std::string host;
    TimePoint begun;
  };

  using Running = std::list<Fetch>::iterator;

  // `is_urgent`: `host` has a newer document, so kPause does not apply.
  bool MayBegin(const std::string& host, bool is_urgent, TimePoint now) const {
    if (running_.empty()) return is_urgent || now - ended_ >= kPause;
    if (running_.size() >= kMaxConcurrent || now - running_.back().begun < kOverlapDelay)
      return false;
    return std::none_of(running_.begin(), running_.end(),
                        [&host](const Fetch& fetch) { return fetch.host == host; });
  }

  Running Begin(const std::string& host, TimePoint now) {
    return running_.insert(running_.end(), {host, now});
  }

  void End(Running fetch, TimePoint now) {
    running_.erase(fetch);
    ended_ = now;
  }

 private:
  std::list<Fetch> running_;  // in order of start
  TimePoint ended_{};
};

}  // namespace cartsail
