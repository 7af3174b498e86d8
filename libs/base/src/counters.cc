#include "cartsail/base/counters.h"

#include <fmt/format.h>

namespace cartsail {

Counters& GlobalCounters() {
  static Counters counters;
  return counters;
}

std::string RenderCounters(const Counters& counters) {
  std::string text;
#define CARTSAIL_RENDER_COUNTER(name, kind, help)                                              \
  text += fmt::format("# HELP cartsail_{} {}\n# TYPE cartsail_{} {}\ncartsail_{} {}\n", #name, \
                      help, #name, #kind, #name, counters.name.Get());
  CARTSAIL_COUNTERS(CARTSAIL_RENDER_COUNTER)
#undef CARTSAIL_RENDER_COUNTER
  return text;
}

}  // namespace cartsail
