// Standard output of this process as a pipe, so that a test can read what was logged.
#pragma once

#include <string>

namespace cartsail::testing {

class LogCapture {
 public:
  LogCapture();
  ~LogCapture();

  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  // Reads until a whole line of `event` has come and returns it; empty after 5 s.
  std::string LineOf(const std::string& event);

 private:
  int saved_ = -1;
  int pipe_ = -1;
  std::string text_;
};

}  // namespace cartsail::testing
