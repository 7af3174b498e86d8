// When a node may ask another one for its catalog. Pure.
#pragma once

#include <algorithm>
#include <list>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

class FetchSchedule {
 public:
  // A fetch that takes longer does not keep a node from asking another one. Half a KB over a link
  // of 10 Mbit/s takes some milliseconds; a lost first packet of a connection is sent again after 1
  // s.
  static constexpr Duration kOverlapDelay = milliseconds(200);
  // Between the end of a fetch and the next one, so that changes that follow closely come together.
  static constexpr Duration kPause = milliseconds(250);
  static constexpr size_t kMaxConcurrent = 3;

  struct Fetch {
    std::string host;
    TimePoint begun;
  };

  using Running = std::list<Fetch>::iterator;

  // `is_urgent`: a newer document is to be had there; no pause is made then.
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
  std::list<Fetch> running_;  // the latest last
  TimePoint ended_{};
};

}  // namespace cartsail
