// Flag types that the subcommands share.
#pragma once

#include <absl/strings/str_split.h>

#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/flags.h"
#include "cartsail/config/schema.h"
#include "cartsail/net/http_types.h"

namespace cartsail::emulator {

inline void AddEndpointFlag(FlagSet& flags, const std::string& name, const std::string& help,
                            Endpoint* target) {
  flags.Parsed(name, help, target->ToString(), "IP:PORT",
               [target](const std::string& text) { return ParseEndpoint(text, target); });
}

inline void AddEndpointsFlag(FlagSet& flags, const std::string& name, const std::string& help,
                             std::vector<Endpoint>* target) {
  flags.Parsed(name, help, "", "IP:PORT,IP:PORT,...", [target](const std::string& text) {
    target->clear();
    for (const auto& part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
      Endpoint endpoint;
      if (!ParseEndpoint(std::string(part), &endpoint)) return false;
      target->push_back(endpoint);
    }
    return true;
  });
}

inline void AddDurationFlag(FlagSet& flags, const std::string& name, const std::string& help,
                            Duration* target) {
  const std::string text = std::to_string(ToMillis(*target)) + "ms";
  flags.Parsed(name, help, text, "a duration such as 250ms", [target](const std::string& value) {
    double seconds = 0;
    if (!ParseDurationSeconds(value, &seconds)) return false;
    *target = FromSeconds(seconds);
    return true;
  });
}

inline void AddTextsFlag(FlagSet& flags, const std::string& name, const std::string& help,
                         std::vector<std::string>* target) {
  flags.Parsed(name, help, "", "TEXT,TEXT,...", [target](const std::string& text) {
    *target = absl::StrSplit(text, ',', absl::SkipEmpty());
    return true;
  });
}

}  // namespace cartsail::emulator
