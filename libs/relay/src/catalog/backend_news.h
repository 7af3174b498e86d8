// Detects backend entries that carry no change that other nodes need. Pure.
#pragma once

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// An entry states the cold time left when it was written, and the reader receives it up to 0.8 s
// later. The end computed from it is therefore never too early, and a postponement of up to this
// much is no change. A backend that restarts postpones it by more.
inline constexpr Duration kMaxColdEndDelay = milliseconds(800);
// An end that is earlier by more than this is a change. A smaller advance is ignored, and the
// backend is treated as cold for longer than necessary by at most this much.
inline constexpr Duration kMinColdEndAdvance = milliseconds(300);

// True when `update` adds nothing to `known` that nodes need. A cold backend rewrites its entry
// with each heartbeat, with less time left; if each were sent, the return of a zone of 1,000
// backends would bring 3,000 needless changes to all nodes.
bool IsRedundantUpdate(const Backend& known, const Backend& update, TimePoint now);

}  // namespace cartsail
