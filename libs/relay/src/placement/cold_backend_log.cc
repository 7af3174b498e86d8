#include "placement/cold_backend_log.h"

#include <fmt/format.h>

#include "cartsail/base/counters.h"

namespace cartsail {

void ColdBackendLog::NoteCold(const std::string& service, const std::vector<ColdBackEnd>& cold,
                              TimePoint now) {
  SpellsById& before = services_[service];
  SpellsById after;
  for (const ColdBackEnd& entry : cold) {
    after[entry.backend.id] = entry.period;
    const auto known = before.find(entry.backend.id);
    const bool is_new = known == before.end() || known->second.reason != entry.period.reason;
    if (!is_new || !changes_.Take(now)) continue;
    Log(LogLevel::kInfo, "backend_cold",
        {{"backend", entry.backend.id},
         {"service", service},
         {"reason", std::string(ColdReasonName(entry.period.reason))},
         {"left_ms", fmt::format("{:.0f}", ToMillis(entry.period.until - now))}});
  }
  for (const auto& [id, spell] : before) {
    if (after.contains(id) || !changes_.Take(now)) continue;
    Log(LogLevel::kInfo, "backend_warm",
        {{"backend", id},
         {"service", service},
         {"reason", std::string(ColdReasonName(spell.reason))}});
  }
  before = std::move(after);
}

void ColdBackendLog::NoteRefused(const std::string& service, Duration wait) {
  GlobalCounters().metered_refusals_total.Add();
  if (!refusals_.Take(Now())) return;
  Log(LogLevel::kWarning, "metered_only",
      {{"service", service}, {"retry_after_ms", fmt::format("{:.0f}", ToMillis(wait))}});
}

}  // namespace cartsail
