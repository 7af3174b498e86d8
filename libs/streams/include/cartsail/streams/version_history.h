// The versions of engine software that a node has seen lately, by service. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

class VersionHistory {
 public:
  // An engine is listed now. `version`: not empty.
  void NoteListed(const std::string& service, const std::string& version, TimePoint now);

  // Versions of `service` that were listed within kVersionRetention, in alphabetical order.
  std::vector<std::string> VersionsOf(const std::string& service, TimePoint now) const;

  bool IsMixed(const std::string& service, TimePoint now) const {
    return VersionsOf(service, now).size() > 1;
  }

  // Forgets what is too old. To be called about once a second.
  void Expire(TimePoint now);

 private:
  std::map<std::string, std::map<std::string, TimePoint>> versions_;  // by service: last listed
};

}  // namespace cartsail
