#include "request/event_splitter.h"

#include <utility>

namespace cartsail {

std::string EventSplitter::Feed(std::string bytes) {
  const size_t whole = scanner_.Scan(bytes);
  if (passing_ == Passing::kAsItComes) {
    forwarded_partial_event_ = scanner_.IsInsideEvent();
    return bytes;
  }
  if (whole == 0) return Hold(bytes);
  forwarded_partial_event_ = false;
  if (whole == bytes.size() && held_.empty()) return bytes;
  std::string passed = std::exchange(held_, {});
  passed.append(bytes, 0, whole);
  passed += Hold(std::string_view(bytes).substr(whole));
  return passed;
}

std::string EventSplitter::Hold(std::string_view bytes) {
  held_ += bytes;
  if (!forwarded_partial_event_ && held_.size() <= kMaxHeldBytes) return {};
  forwarded_partial_event_ = forwarded_partial_event_ || !held_.empty();
  return std::exchange(held_, {});
}

}  // namespace cartsail
