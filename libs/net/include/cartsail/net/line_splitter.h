// Cuts the bytes of server-sent events into lines, which end in LF, CRLF or CR; a byte order mark
// may come first. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cartsail {

class LineSplitter {
 public:
  // `most_kept`: bytes that are kept of a line that comes in pieces; the rest of it is dropped.
  explicit LineSplitter(size_t most_kept = std::string::npos) : most_kept_(most_kept) {}

  // Takes the front of `*bytes`, which may not be empty. Returns a whole line without its end,
  // valid until the next call, or nothing where none ends there.
  std::optional<std::string_view> Take(std::string_view* bytes);

  // All that came belongs to lines that have ended.
  bool IsAtLineStart() const { return !has_partial_; }

  // A line was begun and has not ended. A byte order mark alone begins none.
  bool HasPartialLine() const;

 private:
  void Keep(std::string_view part);
  std::string_view WithoutMark(std::string_view line);

  size_t most_kept_;
  std::string partial_;
  std::string whole_;         // the last line, where it came in pieces
  bool has_partial_ = false;  // also where the kept part is empty
  bool is_first_ = true;
  bool after_return_ = false;  // a line ended in CR: an LF that follows belongs to the same end
};

}  // namespace cartsail
