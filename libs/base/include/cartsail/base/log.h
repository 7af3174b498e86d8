// Structured logs on standard output: one key=value line for each decision that touches a request
// and each change of what the process believes. The volume is bounded and writing never blocks:
// lines beyond the limit, or that a full pipe does not take, are dropped and counted.
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

// Sets the least level that is written. The default is kInfo.
void SetLogLevel(LogLevel level);

// Parses "debug", "info", "warning", "error" or "off"; false if it is none of them.
bool ParseLogLevel(std::string_view text, LogLevel* level);

// Writes `ts=... level=... event=EVENT key=value ...`; values are quoted where needed.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// Writes what a full pipe did not take, as far as it takes it now. For the end of the process and
// its housekeeping.
void FlushLog();

// Lines of one kind that may be written: `rate` a second, and `burst` at once. Routine lines (up
// to kInfo) and others have a limit each, so that failures are not crowded out.
class LogRateLimit {
 public:
  LogRateLimit(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  bool Take(TimePoint now);

 private:
  double rate_;
  double burst_;
  double tokens_;
  TimePoint updated_{};
};

}  // namespace cartsail
