#include "cartsail/base/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

Test(log, lines_are_limited_in_burst_and_rate) {
  LogRateLimit limit(10, 5);
  int taken = 0;
  while (limit.Take(kStart)) ++taken;
  cr_assert(taken == 5);
  cr_assert(!limit.Take(kStart + milliseconds(50)));
  cr_assert(limit.Take(kStart + milliseconds(160)));
  taken = 0;
  while (limit.Take(kStart + seconds(60))) ++taken;
  cr_assert(taken == 5);
}

// Standard output is a pipe that is not read: writing must not block, and dropped lines are
// counted. The buffered lines are written once the pipe is read.
Test(log, a_full_pipe_drops_lines_and_never_blocks) {
  int ends[2];
  cr_assert(pipe(ends) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  const TimePoint started = Now();
  for (int i = 0; i < 500; ++i) {
    Log(LogLevel::kInfo, "filler", {{"text", std::string(1000, 'x')}});
  }
  const bool is_fast = Now() - started < seconds(5);
  const int64_t dropped = GlobalCounters().log_lines_dropped_total.Get();
  const int64_t kept = GlobalCounters().log_lines_total.Get();
  std::string text(1 << 20, '\0');
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  std::string read_back;
  for (int i = 0; i < 200; ++i) {
    const ssize_t size = read(ends[0], text.data(), text.size());
    if (size > 0) read_back.append(text, 0, static_cast<size_t>(size));
    FlushLog();
  }
  Log(LogLevel::kInfo, "after");
  const ssize_t size = read(ends[0], text.data(), text.size());
  if (size > 0) read_back.append(text, 0, static_cast<size_t>(size));
  dup2(saved, STDOUT_FILENO);
  cr_assert(is_fast);
  cr_assert(dropped > 0 && kept > 0 && dropped + kept == 500);
  cr_assert(read_back.find("event=log_dropped lines=" + std::to_string(dropped)) !=
            std::string::npos);
  cr_assert(read_back.find("event=after") != std::string::npos);
}

Test(histogram, counts_by_bounds_that_double) {
  Histogram histogram;
  histogram.Note(FromSeconds(0.0005));
  histogram.Note(milliseconds(3));
  histogram.Note(seconds(100));
  const std::string text = histogram.Render("h", "help");
  cr_assert(text.find("cartsail_h_bucket{le=\"1\"} 1\n") != std::string::npos);
  cr_assert(text.find("cartsail_h_bucket{le=\"4\"} 2\n") != std::string::npos);
  cr_assert(text.find("cartsail_h_bucket{le=\"32768\"} 2\n") != std::string::npos);
  cr_assert(text.find("cartsail_h_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  cr_assert(text.find("cartsail_h_count 3\n") != std::string::npos);
}

}  // namespace
}  // namespace cartsail
