#include "engine_model.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace cartsail::emulator {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// Guards against rounding: a token counts as generated when it is this close to whole.
constexpr double kTokenSlack = 1e-6;
constexpr double kPrefillSlack = 1e-6;

}  // namespace

EngineModel::EngineModel(EngineModelOptions options, TimePoint now)
    : options_(options), time_(now) {}

void EngineModel::Submit(const SequenceRequest& request, TimePoint now) {
  Advance(now);
  Sequence sequence;
  sequence.request = request;
  sequence.order = next_order_++;
  // Behind all of its priority, ahead of lower ones.
  const auto position = std::find_if(queued_.begin(), queued_.end(), [&](const Sequence& other) {
    return other.request.priority > request.priority;
  });
  queued_.insert(position, sequence);
  Admit();
}

std::optional<int64_t> EngineModel::Cancel(uint64_t id, TimePoint now) {
  Advance(now);
  for (SequenceList* list : {&running_, &queued_}) {
    for (auto sequence = list->begin(); sequence != list->end(); ++sequence) {
      if (sequence->request.id != id) continue;
      const auto generated = static_cast<int64_t>(sequence->generated + kTokenSlack);
      list->erase(sequence);
      Admit();
      return generated;
    }
  }
  return std::nullopt;
}

void EngineModel::Advance(TimePoint now) {
  while (time_ < now) {
    const double left = ToSeconds(now - time_);
    const double step = SecondsToNextEvent();
    if (step > left) {
      Progress(left);
      time_ = now;
      return;
    }
    Progress(step);
    time_ += FromSeconds(step);
    // A boundary shorter than the clock's resolution must still move time forward.
    if (FromSeconds(step) == Duration(0)) time_ += Duration(1);
    EvictForKv();
    Admit();
  }
}

// Applies `seconds` of prefill and decoding; no boundary lies inside.
void EngineModel::Progress(double seconds) {
  if (seconds <= 0 || running_.empty() || speed_ <= 0) return;
  const double steps = seconds / StepSeconds();
  if (Sequence* prefilling = Prefilling()) {
    const double tokens =
        std::min(prefilling->prefill_left, seconds * options_.prefill_tokens_per_second * speed_);
    prefilling->prefill_left -= tokens;
    if (prefilling->prefill_left < kPrefillSlack) prefilling->prefill_left = 0;
  }
  for (auto sequence = running_.begin(); sequence != running_.end();) {
    if (sequence->prefill_left > 0) {
      ++sequence;
      continue;
    }
    const double before = sequence->generated;
    const auto limit = static_cast<double>(sequence->request.output_tokens);
    sequence->generated = std::min(limit, before + steps);
    NoteTokens(*sequence, before);
    if (sequence->generated + kTokenSlack < limit) {
      ++sequence;
      continue;
    }
    finished_.push_back(sequence->request.id);
    sequence = running_.erase(sequence);
  }
}

void EngineModel::NoteTokens(Sequence& sequence, double before) {
  const auto count = static_cast<int64_t>(sequence.generated + kTokenSlack) -
                     static_cast<int64_t>(before + kTokenSlack);
  counters_.tokens_generated += count;
  if (count > 0 && !sequence.started) {
    sequence.started = true;
    started_.push_back(sequence.request.id);
  }
}

double EngineModel::StepSeconds() const {
  const double base = ToSeconds(options_.base_step) +
                      ToSeconds(options_.per_sequence_step) * static_cast<double>(running_.size());
  const double factor = Prefilling() != nullptr ? options_.prefill_slowdown : 1.0;
  return base * factor / std::max(speed_, 1e-9);
}

Duration EngineModel::StepTime() const { return FromSeconds(std::min(StepSeconds(), 3600.0)); }

const EngineModel::Sequence* EngineModel::Prefilling() const {
  for (const Sequence& sequence : running_) {
    if (sequence.prefill_left > 0) return &sequence;
  }
  return nullptr;
}

EngineModel::Sequence* EngineModel::Prefilling() {
  return const_cast<Sequence*>(std::as_const(*this).Prefilling());
}

double EngineModel::SecondsToNextEvent() const {
  if (running_.empty() || speed_ <= 0) return kNever;
  double next = kNever;
  const Sequence* prefilling = Prefilling();
  if (prefilling != nullptr) {
    next = prefilling->prefill_left / (options_.prefill_tokens_per_second * speed_);
  }
  const double step = StepSeconds();
  int decoding = 0;
  for (const Sequence& sequence : running_) {
    if (sequence.prefill_left > 0) continue;
    ++decoding;
    const double target =
        sequence.started ? static_cast<double>(sequence.request.output_tokens) : 1.0;
    next = std::min(next, std::max(0.0, target - sequence.generated) * step);
  }
  // The KV memory is full one token after the last that fits.
  if (decoding > 0 && running_.size() > 1) {
    const auto room = static_cast<double>(options_.kv_tokens - KvInUse() + 1);
    next = std::min(next, std::max(room, 1.0) / decoding * step);
  }
  return next;
}

std::optional<TimePoint> EngineModel::NextEvent() const {
  const double next = SecondsToNextEvent();
  if (next == kNever) return std::nullopt;
  return time_ + FromSeconds(next) + Duration(1);
}

void EngineModel::Admit() {
  while (!queued_.empty() && static_cast<int>(running_.size()) < options_.batch_limit) {
    Sequence& first = queued_.front();
    if (!running_.empty() && !FitsKv(first)) return;
    const auto done = static_cast<int64_t>(first.generated);
    double prefill = static_cast<double>(first.request.prompt_tokens + done);
    if (TakePrefix(first.request.prefix_hash, first.request.prefix_tokens)) {
      prefill -= static_cast<double>(first.request.prefix_tokens);
      counters_.prefix_tokens_saved += first.request.prefix_tokens;
    }
    first.prefill_left = std::max(1.0, prefill);
    counters_.prefill_tokens += static_cast<int64_t>(first.prefill_left);
    running_.splice(running_.end(), queued_, queued_.begin());
  }
}

int64_t EngineModel::KvInUse() const {
  double tokens = 0;
  for (const Sequence& sequence : running_) {
    tokens += static_cast<double>(sequence.request.prompt_tokens) + sequence.generated;
  }
  return static_cast<int64_t>(tokens);
}

bool EngineModel::FitsKv(const Sequence& sequence) const {
  const auto needed = static_cast<int64_t>(static_cast<double>(sequence.request.prompt_tokens) +
                                           sequence.generated);
  return KvInUse() + needed <= options_.kv_tokens;
}

void EngineModel::EvictForKv() {
  while (running_.size() > 1 && KvInUse() > options_.kv_tokens) {
    auto victim = running_.begin();
    for (auto sequence = running_.begin(); sequence != running_.end(); ++sequence) {
      const bool lower = sequence->request.priority > victim->request.priority;
      const bool newer =
          sequence->request.priority == victim->request.priority && sequence->order > victim->order;
      if (lower || newer) victim = sequence;
    }
    ++counters_.kv_preemptions;
    counters_.recomputed_tokens +=
        victim->request.prompt_tokens + static_cast<int64_t>(victim->generated);
    const auto position = std::find_if(queued_.begin(), queued_.end(), [&](const Sequence& other) {
      return other.request.priority >= victim->request.priority;
    });
    queued_.splice(position, running_, victim);
  }
}

bool EngineModel::TakePrefix(uint64_t hash, int64_t tokens) {
  if (hash == 0 || tokens <= 0) return false;
  for (auto entry = prefixes_.begin(); entry != prefixes_.end(); ++entry) {
    if (entry->first != hash) continue;
    prefixes_.splice(prefixes_.begin(), prefixes_, entry);
    return true;
  }
  prefixes_.emplace_front(hash, tokens);
  int64_t held = 0;
  for (const auto& [prefix, size] : prefixes_) held += size;
  while (held > options_.prefix_cache_tokens && prefixes_.size() > 1) {
    held -= prefixes_.back().second;
    prefixes_.pop_back();
  }
  return false;
}

std::vector<uint64_t> EngineModel::TakeFinished() { return std::exchange(finished_, {}); }

std::vector<uint64_t> EngineModel::TakeStarted() { return std::exchange(started_, {}); }

int64_t EngineModel::Generated(uint64_t id) const {
  for (const SequenceList* list : {&running_, &queued_}) {
    for (const Sequence& sequence : *list) {
      if (sequence.request.id == id) return static_cast<int64_t>(sequence.generated + kTokenSlack);
    }
  }
  return 0;
}

void EngineModel::ForEachRunning(const std::function<void(uint64_t, int64_t)>& visit) const {
  for (const Sequence& sequence : running_) {
    visit(sequence.request.id, static_cast<int64_t>(sequence.generated + kTokenSlack));
  }
}

void EngineModel::SetSpeed(double speed, TimePoint now) {
  Advance(now);
  speed_ = speed;
}

}  // namespace cartsail::emulator
