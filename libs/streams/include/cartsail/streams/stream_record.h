// What is known of a stream that has begun: the version of the engine software that wrote its
// events. What engines of two versions write does not fit together. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"

namespace cartsail {

// Names a stream by the request that brought its first event.
using StreamKey = uint64_t;

// `tenant`: so that no caller takes up the stream of another one; empty where there are none.
StreamKey KeyOfStream(std::string_view service, std::string_view tenant,
                      std::string_view request_id);

struct StreamRecord {
  StreamKey key = 0;
  std::string version;        // opaque: equal to another one or not
  std::string engine;         // id of the one whose event came first
  int64_t started_ms = 0;     // when its process started, as its entry told; 0: it does not tell
  bool is_confirmed = false;  // a list of engines that holds since then names the same process
  TimePoint begun;            // when its first event came
  TimePoint until;            // its caller takes it up by then or never
};

// How long a stream may be taken up after its first event, at most.
inline constexpr Duration kMaxResumeTime = seconds(120);

// A version of which no engine was seen for so long has written no event of a stream that still
// lives, nor will a node that has lost touch begin one there.
inline constexpr Duration kVersionRetention = std::chrono::minutes(20);

// A node that was told that a version is in the ledger begins streams there for so long: far less
// than the version is kept.
inline constexpr Duration kPermissionValidity = std::chrono::minutes(5);

}  // namespace cartsail
