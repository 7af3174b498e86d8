// Tells a peer that a version of the routing document is in force, or answers that. A plain struct.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"
#include "catalog/document_patch.h"

namespace cartsail {

struct DocumentNotice {
  int64_t version = 0;     // in force at the sender
  Duration age{};          // since the first node on its way put it in force
  DocumentPatch patch;     // makes this version; empty when too large, or not needed
  bool is_answer = false;  // to a notice: is not answered
};

}  // namespace cartsail
