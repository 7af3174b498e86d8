// Records the limits that back ends report and logs the changes.
#pragma once

#include <string>

#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {

// The rate of rejections that a brittle back end can sustain. `source`: the host of the node that
// reported it, or "answer" for an answer of the back end.
void NoteBrittle(Dispatcher& dispatcher, BackendKey backend, const RateNotice& word,
                 const std::string& source);
// The rate of requests that a back end accepts; `source` as above.
void NoteRate(Dispatcher& dispatcher, BackendKey backend, const RateNotice& word,
              const std::string& source);

}  // namespace cartsail
