// Records the requests of this node for replay, from the first ask for a slot to its release.
#pragma once

#include <string>
#include <unordered_map>

#include "cartsail/gateway/control_plane.h"
#include "cartsail/operations/request_log.h"

namespace cartsail {

class RequestRecorder {
 public:
  // Keeps the last `capacity` records; 0 records nothing.
  explicit RequestRecorder(size_t capacity) : capacity_(capacity), log_(capacity) {}

  void Asked(const SlotRequest& request);
  void Decided(RequestId id, const SlotDecision& decision);
  void Released(RequestId id);

  // One JSON object per line, oldest first.
  std::string Text() const { return FormatRequestLog(log_.Records()); }

 private:
  // What is known of a request until its record is complete.
  struct OpenRecord {
    RequestRecord record;
    TimePoint arrival{};
    TimePoint granted{};
  };

  size_t capacity_;
  TimePoint started_ = Now();
  RequestLog log_;
  std::unordered_map<RequestId, OpenRecord> open_;
};

}  // namespace cartsail
