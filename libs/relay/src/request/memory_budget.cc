#include "request/memory_budget.h"

#include <algorithm>
#include <utility>

namespace cartsail {
namespace {

// A caller that takes something each second is slow; one that takes nothing for longer has
// probably stopped.
constexpr Duration kLeftAlone = seconds(1);

// Of the limit. The rest is for requests that come meanwhile and for what is read before each of
// the others is held back.
constexpr double kFullShare = 0.75;

}  // namespace

bool MemoryBudget::Reserve(HolderId holder, int64_t bytes, TimePoint now) {
  ReduceTo(limit_ - bytes, kLeftAlone, now);
  if (total_ + bytes > limit_) return false;
  Holder& entry = holders_[holder];
  entry.reserved += bytes;
  entry.taken = now;
  total_ += bytes;
  return true;
}

void MemoryBudget::Free(HolderId holder, int64_t bytes) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  // Of one that was given up nothing is reserved any more.
  const int64_t freed = std::min(bytes, entry->second.reserved);
  entry->second.reserved -= freed;
  total_ -= freed;
}

void MemoryBudget::SetAbortHandler(
    HolderId holder, std::function<void(int64_t bytes, Duration left_alone)> give_up) {
  holders_[holder].give_up = std::move(give_up);
}

void MemoryBudget::NoteWaiting(HolderId holder, int64_t bytes, TimePoint now) {
  Holder& entry = holders_[holder];
  if (entry.waiting == 0) entry.taken = now;
  total_ += bytes - entry.waiting;
  entry.waiting = bytes;
  ReduceTo(limit_, kLeftAlone, now);
  // All callers take something: the slowest one is given up.
  ReduceTo(limit_, Duration(0), now);
}

void MemoryBudget::NoteTaken(HolderId holder, int64_t bytes, TimePoint now) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  total_ += bytes - entry->second.waiting;
  entry->second.waiting = bytes;
  entry->second.taken = now;
}

void MemoryBudget::Release(HolderId holder) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  total_ -= entry->second.reserved + entry->second.waiting;
  holders_.erase(entry);
}

bool MemoryBudget::IsFull(TimePoint now) {
  const auto full = static_cast<int64_t>(kFullShare * static_cast<double>(limit_));
  ReduceTo(full, kLeftAlone, now);
  return total_ > full;
}

void MemoryBudget::ReduceTo(int64_t most, Duration patience, TimePoint now) {
  while (total_ > most) {
    Holder* victim = nullptr;
    for (auto& [holder, entry] : holders_) {
      if (entry.waiting == 0 || entry.give_up == nullptr) continue;
      if (now - entry.taken < patience) continue;
      if (victim == nullptr || entry.taken < victim->taken) victim = &entry;
    }
    if (victim == nullptr) return;
    // Its connections close at once; what it holds besides goes when its exchange ends.
    const int64_t waiting = std::exchange(victim->waiting, 0);
    total_ -= waiting + std::exchange(victim->reserved, 0);
    const Duration left_alone = now - victim->taken;
    const auto give_up = std::exchange(victim->give_up, nullptr);
    give_up(waiting, left_alone);
  }
}

}  // namespace cartsail
