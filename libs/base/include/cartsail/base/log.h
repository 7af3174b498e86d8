// Structured logs on standard output: one key=value line for each decision that affects a request
// and each change of the process's view of the system. The volume is bounded and writing never
// blocks: lines beyond the rate limit, or beyond the buffer while the pipe is full, are dropped and
// counted.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "cartsail/base/clock.h"

namespace cartsail {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

struct LogField {
  std::string_view key;
  std::string value;
};

// Sets the lowest level that is written. The default is kInfo; kOff writes nothing.
void SetLogLevel(LogLevel level);

// Parses "debug", "info", "warning", "error" or "off". Returns false for anything else.
bool ParseLogLevel(std::string_view text, LogLevel* level);

// Writes `ts=... level=... event=EVENT key=value ...`, with values quoted where needed.
// Thread-safe.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// Writes buffered lines as far as the pipe accepts them without blocking. Called periodically and
// at the end of the process.
void FlushLog();

// Token bucket for log lines: `rate` lines per second and bursts of `burst` lines. Routine lines
// (up to kInfo) and others have separate limits, so that routine lines do not crowd out failures.
class LogRateLimit {
 public:
  LogRateLimit(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  // Returns whether a line may be written at `now`, and takes a token if so.
  bool Take(TimePoint now);

 private:
  double rate_;
  double burst_;
  double tokens_;
  TimePoint updated_{};
};

}  // namespace cartsail
