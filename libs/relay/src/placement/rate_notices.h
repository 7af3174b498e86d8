// Notes what back ends said of the rate that they take, and logs what changed by it.
#pragma once

#include <string>

#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {

// `source`: the node that told it, or "answer".
void NoteBrittle(Dispatcher& dispatcher, BackendKey backend, const RateNotice& word,
                 const std::string& source);
void NoteRate(Dispatcher& dispatcher, BackendKey backend, const RateNotice& word,
              const std::string& source);

}  // namespace cartsail
