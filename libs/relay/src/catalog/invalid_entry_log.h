// Which entries of back ends that cannot be read are named in the log: a writer that goes on
// writing them would crowd out the other lines. Pure.
#pragma once

#include <map>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

class InvalidEntryLog {
 public:
  static constexpr Duration kInterval = seconds(60);  // between two lines on one entry
  static constexpr size_t kMaxEntries = 1000;         // entries, some 100 KB

  // True when a line is to be written. More entries than are remembered get none.
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
