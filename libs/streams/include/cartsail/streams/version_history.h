// The versions of engine software that a node has seen recently, by service. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

class VersionHistory {
 public:
  // An engine of `version` (not empty) is in the engine list at `now`.
  void NoteListed(const std::string& service, const std::string& version, TimePoint now);

  // Versions of `service` that were listed within kVersionRetention, sorted.
  std::vector<std::string> VersionsOf(const std::string& service, TimePoint now) const;

  bool IsMixed(const std::string& service, TimePoint now) const {
    return VersionsOf(service, now).size() > 1;
  }

  // Drops versions that were last listed before kVersionRetention. Call about once a second.
  void Expire(TimePoint now);

 private:
  // By service and version: when an engine of the version was last listed.
  std::map<std::string, std::map<std::string, TimePoint>> versions_;
};

}  // namespace cartsail
