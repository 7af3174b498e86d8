#include "catalog/backend_news.h"

#include <algorithm>
#include <tuple>

namespace cartsail {
namespace {

auto StableFields(const Backend& backend) {
  return std::tie(backend.id, backend.started_ms, backend.service, backend.address, backend.zone,
                  backend.version, backend.slots, backend.state, backend.reclaimable,
                  backend.created_revision, backend.missing_until);
}

Duration ColdFor(const Backend& backend, TimePoint now) {
  return std::max(backend.cold_until.value_or(now) - now, Duration(0));
}

}  // namespace

bool IsRedundantUpdate(const Backend& known, const Backend& update, TimePoint now) {
  if (StableFields(known) != StableFields(update)) return false;
  const Duration postponed = ColdFor(update, now) - ColdFor(known, now);
  return postponed <= kMaxColdEndDelay && postponed >= -kMinColdEndAdvance;
}

}  // namespace cartsail
