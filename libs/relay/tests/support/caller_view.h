// What a caller makes of the bytes of one answer, by its framing alone.
#pragma once

#include <optional>
#include <string>

namespace cartsail::testing {

struct CallerView {
  int status = 0;       // 0: no head
  std::string body;     // without the framing
  bool whole = false;   // the framing says that nothing is missing
  bool closed = false;  // the connection ended, as it must after an answer that is not whole
};

// Reads `bytes`, all that came on a connection until it ended.
CallerView ReadAsCaller(const std::string& bytes);

// Sends `request` to the relay at `port` on a connection of its own and reads until it ends.
CallerView AskAsCaller(int port, const std::string& request);

}  // namespace cartsail::testing
