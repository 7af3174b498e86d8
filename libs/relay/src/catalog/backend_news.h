// Whether an entry of a back end tells anything that all nodes have to know. Pure.
#pragma once

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// The end of a back end's slow time is told as what is left when its entry was written, which the
// reader hears up to 0.8 s later: it is never earlier than it is, and a word that puts it off by
// less tells nothing. A back end that starts again puts it off by more.
inline constexpr Duration kMaxColdEndDelay = milliseconds(800);
// An earlier end is news from here on: until then a back end is spared for longer than it needs.
inline constexpr Duration kMinColdEndAdvance = milliseconds(300);

// True when `told` is `known` as far as nodes go. A back end that is slow after its start writes
// its entry anew with each heartbeat, with less time left: were each told, the return of a zone of
// 1,000 would bring 3,000 changes to all nodes that none of them needs.
bool IsRedundantUpdate(const Backend& known, const Backend& told, TimePoint now);

}  // namespace cartsail
