#include "cartsail/dispatch/cold_back_ends.h"

namespace cartsail {
namespace {

// How long a lost back end that does not answer counts as lost. One that is away for longer has no
// entry any more, and the entry that it writes on its return states whether it is cold.
constexpr Duration kLongestAbsence = seconds(10);

// A lost back end is queried soon, because most are still there, and then with growing intervals,
// because the others may be away for all of kLongestAbsence.
constexpr Duration kInitialQueryInterval = milliseconds(50);
constexpr Duration kMaxQueryInterval = seconds(1);

Duration QueryIntervalAfter(int queries) {
  Duration interval = kInitialQueryInterval;
  for (int i = 0; i < queries && interval < kMaxQueryInterval; ++i) interval *= 2;
  return std::min(interval, kMaxQueryInterval);
}

bool IsLoss(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kCut ||
         outcome == AttemptOutcome::kSilent;
}

bool IsAnswer(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kFailedAnswer ||
         outcome == AttemptOutcome::kRefused;
}

void TakeLater(const ColdPeriod& period, TimePoint now, std::optional<ColdPeriod>* last) {
  if (period.until <= now) return;
  if (!last->has_value() || period.until > (*last)->until) *last = period;
}

}  // namespace

std::string_view ColdReasonName(ColdReason reason) {
  switch (reason) {
    case ColdReason::kEntry:
      return "entry";
    case ColdReason::kRestored:
      return "restored";
    case ColdReason::kLost:
      return "lost";
  }
  return "unknown";
}

void ColdBackEnds::SetRules(const std::vector<ServiceRule>& services, const ColdBound& bound) {
  rules_.clear();
  for (const ServiceRule& service : services) {
    if (!service.warm_up.has_value()) continue;
    rules_[service.name] = {service.warm_up->length, AllowanceOfCold(*service.warm_up, bound),
                            !service.health_path.empty()};
  }
}

const ServiceWarmUp* ColdBackEnds::RuleOf(const std::string& service) const {
  if (rules_.empty()) return nullptr;
  const auto rule = rules_.find(service);
  return rule == rules_.end() ? nullptr : &rule->second;
}

std::vector<std::string> ColdBackEnds::Services() const {
  std::vector<std::string> services;
  for (const auto& [service, rule] : rules_) services.push_back(service);
  return services;
}

// Concurrent requests are lost one after the other: a further loss does not restart the schedule of
// queries.
void ColdBackEnds::NoteLoss(BackendKey backend, TimePoint warm, TimePoint now) {
  Loss& loss = losses_[backend];
  const bool is_known = loss.lost != TimePoint() && !loss.reported;
  if (!is_known) {
    loss.queries = 0;
    loss.next_query = now + QueryIntervalAfter(0);
  }
  loss.lost = now;
  loss.warm = warm;
  loss.answered = false;
  loss.reported = false;
}

void ColdBackEnds::NoteOutcome(const Backend& backend, AttemptOutcome outcome, TimePoint begun,
                               TimePoint now) {
  const ServiceWarmUp* rule = RuleOf(backend.service);
  if (rule == nullptr) return;
  if (IsLoss(outcome)) {
    NoteLoss(backend.key, now + kLongestAbsence + rule->length, now);
    return;
  }
  if (!IsAnswer(outcome)) return;
  const auto loss = losses_.find(backend.key);
  if (loss == losses_.end() || loss->second.answered || loss->second.reported) return;
  // An answer to an earlier request may have been in transit when the back end was lost.
  if (begun <= loss->second.lost) return;
  loss->second.answered = true;
  loss->second.warm = now + rule->length;
}

std::optional<ColdPeriod> ColdBackEnds::ReportedColdPeriodOf(const Backend& backend,
                                                             const ServiceWarmUp& rule,
                                                             const ZoneDrains& drains,
                                                             TimePoint now) const {
  std::optional<ColdPeriod> last;
  if (backend.cold_until.has_value()) {
    TakeLater({ColdReason::kEntry, *backend.cold_until}, now, &last);
  }
  const std::optional<TimePoint> restored = drains.RestoredAt(backend.zone);
  if (restored.has_value()) {
    TakeLater({ColdReason::kRestored, *restored + rule.length}, now, &last);
  }
  return last;
}

std::optional<ColdPeriod> ColdBackEnds::ColdPeriodOf(const Backend& backend,
                                                     const ServiceWarmUp& rule,
                                                     const ZoneDrains& drains,
                                                     TimePoint now) const {
  std::optional<ColdPeriod> last = ReportedColdPeriodOf(backend, rule, drains, now);
  const auto loss = losses_.find(backend.key);
  if (loss != losses_.end()) {
    const bool needs_warmth_query = rule.reports_warmth && !loss->second.reported;
    TakeLater({ColdReason::kLost, loss->second.warm, loss->second.lost, needs_warmth_query}, now,
              &last);
  }
  return last;
}

std::vector<BackendKey> ColdBackEnds::DueForWarmthQuery(TimePoint now) const {
  std::vector<BackendKey> due;
  for (const auto& [backend, loss] : losses_) {
    if (!loss.reported && loss.warm > now && now >= loss.next_query) due.push_back(backend);
  }
  return due;
}

bool ColdBackEnds::IsDueForTrial(const Backend& backend, TimePoint now) const {
  const auto loss = losses_.find(backend.key);
  if (loss == losses_.end() || loss->second.answered || loss->second.reported) return false;
  const ServiceWarmUp* rule = RuleOf(backend.service);
  return rule != nullptr && !rule->reports_warmth && now >= loss->second.next_query;
}

void ColdBackEnds::NoteAsked(BackendKey backend, TimePoint now) {
  const auto loss = losses_.find(backend);
  if (loss == losses_.end()) return;
  loss->second.next_query = now + QueryIntervalAfter(++loss->second.queries);
}

bool ColdBackEnds::NoteWarmth(BackendKey backend, const WarmthReport& report, TimePoint now) {
  const auto loss = losses_.find(backend);
  // A query sent before the loss may have been answered by the previous process.
  if (loss == losses_.end() || report.asked <= loss->second.lost) return false;
  loss->second.reported = true;
  loss->second.warm = now + report.cold_left;
  return true;
}

void ColdBackEnds::Expire(TimePoint now) {
  std::erase_if(losses_, [now](const auto& entry) { return entry.second.warm <= now; });
}

}  // namespace cartsail
