#include "cartsail/base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace cartsail {
namespace {

std::atomic<LogLevel> g_least_level{LogLevel::kInfo};

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

}  // namespace

void SetLogLevel(LogLevel level) { g_least_level.store(level); }

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  for (int i = 0; i <= static_cast<int>(LogLevel::kOff); ++i) {
    if (kLevelNames[i] != text) continue;
    *level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < g_least_level.load(std::memory_order_relaxed)) return;
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  std::string line =
      fmt::format("ts={:%Y-%m-%dT%H:%M:%S}Z level={} event={}", now, LevelName(level), event);
  for (const LogField& field : fields) {
    const std::string value = NeedsQuotes(field.value) ? Quote(field.value) : field.value;
    line += fmt::format(" {}={}", field.key, value);
  }
  line.push_back('\n');
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

}  // namespace cartsail
