#include "log_capture.h"

#include <poll.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail::testing {
namespace {

constexpr Duration kMaxTimerWait = seconds(5);
constexpr int kPollMs = 20;

}  // namespace

LogCapture::LogCapture() {
  int ends[2];
  if (pipe(ends) != 0) std::abort();
  fflush(stdout);
  saved_ = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  close(ends[1]);
  pipe_ = ends[0];
}

LogCapture::~LogCapture() {
  dup2(saved_, STDOUT_FILENO);
  close(saved_);
  close(pipe_);
}

std::string LogCapture::LineOf(const std::string& event) {
  const std::string mark = " event=" + event + " ";
  const TimePoint last = Now() + kMaxTimerWait;
  std::vector<char> buffer(1 << 16);
  while (Now() < last) {
    const size_t found = text_.find(mark);
    const size_t end = found == std::string::npos ? found : text_.find('\n', found);
    if (end != std::string::npos) {
      const size_t start = text_.rfind('\n', found);
      const size_t begin = start == std::string::npos ? 0 : start + 1;
      return text_.substr(begin, end - begin);
    }
    pollfd input{pipe_, POLLIN, 0};
    if (poll(&input, 1, kPollMs) <= 0) continue;
    const ssize_t size = read(pipe_, buffer.data(), buffer.size());
    if (size > 0) text_.append(buffer.data(), static_cast<size_t>(size));
  }
  return {};
}

}  // namespace cartsail::testing
