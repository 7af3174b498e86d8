#include "cartsail/base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>

#include "cartsail/base/counters.h"

namespace cartsail {
namespace {

constexpr double kLinesPerSecond = 300;
constexpr double kBurstLines = 600;
constexpr size_t kMaxPendingBytes = 1 << 16;
constexpr size_t kMaxWriteBytes = 4096;  // a pipe that polls as writable accepts at least this many

std::atomic<LogLevel> g_min_level{LogLevel::kInfo};

constexpr std::string_view kLevelNames[] = {"debug", "info", "warning", "error", "off"};

std::string_view LevelName(LogLevel level) { return kLevelNames[static_cast<int>(level)]; }

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  return value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string Quote(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '\n' || c == '\r' || c == '\t') {
      quoted.push_back(' ');
      continue;
    }
    if (c == '"' || c == '\\') quoted.push_back('\\');
    quoted.push_back(c);
  }
  quoted.push_back('"');
  return quoted;
}

// Writes to standard output without blocking; buffers what it does not accept.
class LogSink {
 public:
  void Write(LogLevel level, const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Counters& counters = GlobalCounters();
    LogRateLimit& limit = level <= LogLevel::kInfo ? routine_ : important_;
    const bool fits = pending_.size() + line.size() <= kMaxPendingBytes;
    if (!fits || !limit.Take(Now())) {
      counters.log_lines_dropped_total.Add();
      ++dropped_;
      return;
    }
    if (dropped_ > 0)
      pending_ += fmt::format("level=warning event=log_dropped lines={}\n", dropped_);
    dropped_ = 0;
    pending_ += line;
    counters.log_lines_total.Add();
    FlushLocked();
  }

  void Flush() {
    const std::lock_guard<std::mutex> lock(mutex_);
    FlushLocked();
  }

 private:
  void FlushLocked() {
    while (!pending_.empty()) {
      pollfd output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) return;
      const size_t size = std::min(pending_.size(), kMaxWriteBytes);
      const ssize_t written = write(STDOUT_FILENO, pending_.data(), size);
      if (written <= 0) return;
      pending_.erase(0, static_cast<size_t>(written));
    }
  }

  std::mutex mutex_;
  std::string pending_;
  int64_t dropped_ = 0;
  LogRateLimit routine_{kLinesPerSecond, kBurstLines};
  LogRateLimit important_{kLinesPerSecond, kBurstLines};
};

LogSink& Sink() {
  static LogSink sink;
  return sink;
}

}  // namespace

bool LogRateLimit::Take(TimePoint now) {
  if (updated_ != TimePoint()) tokens_ += rate_ * ToSeconds(now - updated_);
  tokens_ = std::min(tokens_, burst_);
  updated_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void FlushLog() { Sink().Flush(); }

void SetLogLevel(LogLevel level) { g_min_level.store(level); }

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  for (int i = 0; i <= static_cast<int>(LogLevel::kOff); ++i) {
    if (kLevelNames[i] != text) continue;
    *level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < g_min_level.load(std::memory_order_relaxed)) return;
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto whole = std::chrono::floor<std::chrono::seconds>(now);
  std::string line = fmt::format("ts={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}", whole,
                                 (now - whole).count(), LevelName(level), event);
  for (const LogField& field : fields) {
    const std::string value = NeedsQuotes(field.value) ? Quote(field.value) : field.value;
    line += fmt::format(" {}={}", field.key, value);
  }
  line.push_back('\n');
  Sink().Write(level, line);
}

}  // namespace cartsail
