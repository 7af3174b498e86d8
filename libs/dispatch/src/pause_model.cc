#include "cartsail/dispatch/pause_model.h"

#include <algorithm>
#include <array>

#include "probability.h"

namespace cartsail {
namespace {

// The base pause grows by this factor with each slower stream, so that it follows an engine that
// becomes slow within a few hundred streams.
constexpr double kBaseRelaxation = 1.002;
// Only a backlog of at least this many base pauses shows whether the engine limits the prefill
// between events.
constexpr double kMinInformativeBacklog = 3;
// A longest pause below this fraction of what the backlog alone would cause was limited by the
// engine.
constexpr double kEngineLimitedShare = 0.6;
// Weight of one stream in an engine's prefill pause. A longer pause raises it quickly, since it is
// an upper bound. Shorter ones lower it slowly, since the prefill may have been in pieces.
constexpr double kReadingRise = 0.5;
constexpr double kReadingFall = 0.01;
// The first streams of an engine have more weight when they lower the pause: 0.3, 0.15, 0.1 and so
// on.
constexpr double kFirstReadingFall = 0.3;
constexpr double kTypicalWeight = 0.05;  // weight of one stream in the averages over all engines
// The averages over all engines have the weight of this many streams of an engine.
constexpr double kTypicalStreams = 3;
// A longest pause beyond this multiple of the known pause has another cause (a lost packet, a
// stalled machine) and is capped at this multiple.
constexpr double kOutlierFactor = 1.5;
// Spread of the longest pause around the expected one, as a fraction of the bound: measured pauses
// of one engine under steady prefill lie within 5 to 8 % of each other.
constexpr double kPauseSpread = 0.06;

// Fractions of the estimated backlog that are considered equally likely: the prefill rate is known
// to within about 25 %.
constexpr std::array<double, 3> kBacklogShares = {0.75, 1.0, 1.3};

void Approach(double sample, double weight, double* value) {
  *value = *value == 0 ? sample : *value + weight * (sample - *value);
}

}  // namespace

void PauseModel::NoteBase(double mean_ms, Record* record) {
  if (mean_ms <= 0) return;
  double& base = record->base_ms;
  const bool lower = base == 0 || mean_ms < base;
  base = lower ? mean_ms : base * kBaseRelaxation;
  Approach(base, kTypicalWeight, &typical_base_ms_);
}

void PauseModel::NoteReading(double longest_ms, double backlog_ms, Record* record) {
  const double base = BaseOrTypical(*record);
  if (longest_ms <= 0 || base == 0 || backlog_ms < kMinInformativeBacklog * base) return;
  const double between_ms = std::max(longest_ms - base, 0.0);
  const double known = BetweenOrTypical(*record);
  const bool bounded = between_ms < kEngineLimitedShare * backlog_ms;
  const bool longer = known != 0 && between_ms > known;
  if (!bounded && !longer) return;
  const double sample = known == 0 ? between_ms : std::min(between_ms, kOutlierFactor * known);
  const double fall = std::max(kReadingFall, kFirstReadingFall / (1 + record->reading_streams));
  Approach(sample, sample > record->between_ms ? kReadingRise : fall, &record->between_ms);
  record->reading_streams += 1;
  Approach(record->between_ms, kTypicalWeight, &typical_between_ms_);
}

void PauseModel::Note(BackendKey backend, const StreamPauses& pauses, double backlog_ms) {
  Record& record = records_[backend];
  NoteBase(pauses.mean_ms, &record);
  NoteReading(pauses.longest_ms, backlog_ms, &record);
}

void PauseModel::NotePeerBase(BackendKey backend, double base_ms) {
  double& base = records_[backend].base_ms;
  if (base_ms > 0 && (base == 0 || base_ms < base)) base = base_ms;
}

double PauseModel::BaseOrTypical(const Record& record) const {
  return record.base_ms != 0 ? record.base_ms : typical_base_ms_;
}

double PauseModel::BetweenOrTypical(const Record& record) const {
  const double sum =
      record.reading_streams * record.between_ms + kTypicalStreams * typical_between_ms_;
  return sum / (record.reading_streams + kTypicalStreams);
}

PauseModel::Record PauseModel::RecordOf(BackendKey backend) const {
  const auto record = records_.find(backend);
  return record == records_.end() ? Record{} : record->second;
}

double PauseModel::BasePause(BackendKey backend) const { return RecordOf(backend).base_ms; }

double PauseModel::FastestBase() const {
  double fastest = 0;
  for (const auto& [backend, record] : records_) {
    if (record.base_ms == 0) continue;
    if (fastest == 0 || record.base_ms < fastest) fastest = record.base_ms;
  }
  return fastest;
}

PauseModel::Pace PauseModel::PaceOf(BackendKey backend) const {
  const Record record = RecordOf(backend);
  return {BaseOrTypical(record), BetweenOrTypical(record)};
}

double PauseModel::ReadingPause(BackendKey backend) const {
  const Pace pace = PaceOf(backend);
  return pace.between_ms == 0 ? 0 : pace.base_ms + pace.between_ms;
}

double PauseModel::Pace::Pause(double backlog_ms) const {
  return base_ms + (between_ms == 0 ? backlog_ms : std::min(backlog_ms, between_ms));
}

double PauseModel::Pace::BreakProbability(double backlog_ms, double bound_ms) const {
  double sum = 0;
  for (const double share : kBacklogShares) {
    const double excess = Pause(backlog_ms * share) - bound_ms;
    sum += Logistic(excess / (kPauseSpread * bound_ms));
  }
  return sum / static_cast<double>(kBacklogShares.size());
}

double PauseModel::ExpectedPause(BackendKey backend, double backlog_ms) const {
  return PaceOf(backend).Pause(backlog_ms);
}

double PauseModel::BreakProbability(BackendKey backend, double backlog_ms, Duration bound) const {
  const double bound_ms = ToMillis(bound);
  return bound_ms <= 0 ? 0 : PaceOf(backend).BreakProbability(backlog_ms, bound_ms);
}

double PauseModel::AddedBreakProbability(BackendKey backend, double backlog_ms, double prefill_ms,
                                         Duration bound) const {
  const double bound_ms = ToMillis(bound);
  if (bound_ms <= 0) return 0;
  const Pace pace = PaceOf(backend);
  const double before = pace.BreakProbability(backlog_ms, bound_ms);
  const double after = pace.BreakProbability(backlog_ms + prefill_ms, bound_ms);
  return before >= 1 ? 0 : std::max(0.0, (after - before) / (1 - before));
}

void PauseModel::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  std::erase_if(records_, [&is_known](const auto& record) { return !is_known(record.first); });
}

}  // namespace cartsail
