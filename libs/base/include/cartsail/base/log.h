// Structured logs on standard error: one key=value line for each change of state.
// What happens per request is counted (counters.h), not logged.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

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

}  // namespace cartsail
