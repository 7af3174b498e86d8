// Cuts a byte stream of server-sent events at the ends of whole events, so that a stream can go on
// from the last whole one. Pure.
#pragma once

#include <string>
#include <string_view>

namespace cartsail {

class EventSplitter {
 public:
  // Takes bytes and returns those that complete whole events, unchanged.
  std::string Feed(std::string_view bytes);

  // The `id` of the last whole event that had one.
  const std::string& LastId() const { return last_id_; }

  // True when bytes of an event are held that is not whole.
  bool HasPartial() const { return !held_.empty(); }

  // Bytes that belong to no whole event yet; they are given away.
  std::string TakePartial();

 private:
  std::string held_;
  std::string last_id_;
};

}  // namespace cartsail
