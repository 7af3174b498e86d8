#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

int64_t RequestProfile::SharedTokens() const {
  int64_t tokens = 0;
  for (size_t i = 0; i + 1 < prompt_parts.size(); ++i) tokens += prompt_parts[i].tokens;
  return tokens;
}

}  // namespace cartsail
