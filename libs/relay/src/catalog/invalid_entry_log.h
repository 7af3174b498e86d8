// Limits the log lines on invalid backend entries: a writer that keeps writing them would crowd out
// other lines. Pure.
#pragma once

#include <map>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

class InvalidEntryLog {
 public:
  static constexpr Duration kInterval = seconds(60);  // between two lines on one entry
  static constexpr size_t kMaxEntries = 1000;         // about 100 KB

  // True when a line should be logged for entry `id`. Once kMaxEntries entries were logged within
  // kInterval, further ones get no line.
  bool MayLog(const std::string& id, TimePoint now) {
    const auto found = logged_.find(id);
    if (found != logged_.end()) {
      if (now - found->second < kInterval) return false;
      found->second = now;
      return true;
    }
    if (logged_.size() >= kMaxEntries) Forget(now);
    if (logged_.size() >= kMaxEntries) return false;
    logged_[id] = now;
    return true;
  }

 private:
  void Forget(TimePoint now) {
    std::erase_if(logged_, [now](const auto& entry) { return now - entry.second >= kInterval; });
  }

  std::map<std::string, TimePoint> logged_;
};

}  // namespace cartsail
