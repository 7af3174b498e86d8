// When a back end is queried again that has not told yet what this node needs to know of it.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

// Time from query number `queries` to the next one; 0: from the event that calls for queries to the
// first one. Doubles from 50 ms up to 1 s: most back ends answer the first query, and the others
// may be away for seconds.
Duration QueryIntervalAfter(int queries);

}  // namespace cartsail
