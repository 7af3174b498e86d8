#include "request/memory_budget.h"

#include <algorithm>
#include <utility>

namespace cartsail {
namespace {

// A caller that reads something every second is slow; one that reads nothing for longer has
// probably stopped.
constexpr Duration kStalledAfter = seconds(1);

// Share of the limit above which answers are throttled. The rest is for requests that arrive
// meanwhile and for what is read before each other answer is throttled.
constexpr double kFullShare = 0.75;

}  // namespace

bool MemoryBudget::Reserve(HolderId holder, int64_t bytes, TimePoint now) {
  EvictDownTo(limit_ - bytes, kStalledAfter, now);
  if (total_ + bytes > limit_) return false;
  Holder& entry = holders_[holder];
  entry.reserved += bytes;
  entry.last_progress = now;
  total_ += bytes;
  return true;
}

void MemoryBudget::Free(HolderId holder, int64_t bytes) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  // An aborted holder has no reservation left.
  const int64_t freed = std::min(bytes, entry->second.reserved);
  entry->second.reserved -= freed;
  total_ -= freed;
}

void MemoryBudget::SetAbortHandler(
    HolderId holder, std::function<void(int64_t bytes, Duration stalled_for)> on_abort) {
  holders_[holder].on_abort = std::move(on_abort);
}

void MemoryBudget::NoteWaiting(HolderId holder, int64_t bytes, TimePoint now) {
  Holder& entry = holders_[holder];
  if (entry.waiting == 0) entry.last_progress = now;
  total_ += bytes - entry.waiting;
  entry.waiting = bytes;
  EvictDownTo(limit_, kStalledAfter, now);
  // No caller has stalled: abort the answer that has gone longest without progress.
  EvictDownTo(limit_, Duration(0), now);
}

void MemoryBudget::NoteTaken(HolderId holder, int64_t bytes, TimePoint now) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  total_ += bytes - entry->second.waiting;
  entry->second.waiting = bytes;
  entry->second.last_progress = now;
}

void MemoryBudget::Release(HolderId holder) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  total_ -= entry->second.reserved + entry->second.waiting;
  holders_.erase(entry);
}

bool MemoryBudget::IsFull(TimePoint now) {
  const auto full = static_cast<int64_t>(kFullShare * static_cast<double>(limit_));
  EvictDownTo(full, kStalledAfter, now);
  return total_ > full;
}

void MemoryBudget::EvictDownTo(int64_t target, Duration min_stall, TimePoint now) {
  while (total_ > target) {
    Holder* victim = nullptr;
    for (auto& [holder, entry] : holders_) {
      if (entry.waiting == 0 || entry.on_abort == nullptr) continue;
      if (now - entry.last_progress < min_stall) continue;
      if (victim == nullptr || entry.last_progress < victim->last_progress) victim = &entry;
    }
    if (victim == nullptr) return;
    // Counted as free at once: the connections close now, and the rest is freed when the exchange
    // ends.
    const int64_t waiting = std::exchange(victim->waiting, 0);
    total_ -= waiting + std::exchange(victim->reserved, 0);
    const Duration stalled_for = now - victim->last_progress;
    const auto on_abort = std::exchange(victim->on_abort, nullptr);
    on_abort(waiting, stalled_for);
  }
}

}  // namespace cartsail
