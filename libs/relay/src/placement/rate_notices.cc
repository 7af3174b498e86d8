#include "placement/rate_notices.h"

#include <fmt/format.h>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"

namespace cartsail {
namespace {

std::string IdOf(const Dispatcher& dispatcher, BackendKey key) {
  const Backend* backend = dispatcher.Registry().FindByKey(key);
  return backend == nullptr ? fmt::format("key:{}", key) : backend->id;
}

}  // namespace

void NoteRate(Dispatcher& dispatcher, BackendKey backend, const RateNotice& word,
              const std::string& source) {
  const RateChange change = dispatcher.Registry().NoteRate(backend, word);
  if (change == RateChange::kNone) return;
  if (change != RateChange::kWithdrawn) GlobalCounters().rate_limits_named_total.Add();
  Log(LogLevel::kInfo, "backend_rate_limit",
      {{"backend", IdOf(dispatcher, backend)},
       {"per_s", word.per_s.has_value() ? fmt::format("{:g}", *word.per_s) : "none"},
       {"source", source}});
}

void NoteBrittle(Dispatcher& dispatcher, BackendKey backend, const RateNotice& word,
                 const std::string& source) {
  const RateChange change = dispatcher.Registry().NoteBrittle(backend, word);
  if (change == RateChange::kNone) return;
  if (change != RateChange::kWithdrawn) GlobalCounters().brittle_named_total.Add();
  Log(LogLevel::kInfo, "backend_brittle",
      {{"backend", IdOf(dispatcher, backend)},
       {"bears_per_s", word.per_s.has_value() ? fmt::format("{:g}", *word.per_s) : "none"},
       {"source", source}});
}

}  // namespace cartsail
