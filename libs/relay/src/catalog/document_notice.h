// Notifies a peer of the version of the routing document in force, or answers such a notice. A
// plain struct.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"
#include "catalog/document_patch.h"

namespace cartsail {

struct DocumentNotice {
  int64_t version = 0;     // in force at the sender
  Duration age{};          // since the first node on its path put it in force
  DocumentPatch patch;     // to this version; empty when too large or not needed
  bool is_answer = false;  // an answer is not answered in turn
};

}  // namespace cartsail
