#include "request/held_memory.h"

#include <utility>

namespace cartsail {
namespace {

// A caller that takes something each second is slow; one that takes nothing for longer has
// probably stopped.
constexpr Duration kLeftAlone = seconds(1);

}  // namespace

bool HeldMemory::Reserve(HolderId holder, int64_t bytes, TimePoint now) {
  MakeRoom(bytes, kLeftAlone, now);
  if (!Fits(bytes)) return false;
  Holder& entry = holders_[holder];
  entry.reserved += bytes;
  entry.taken = now;
  total_ += bytes;
  return true;
}

void HeldMemory::OnGiveUp(HolderId holder,
                          std::function<void(int64_t bytes, Duration left_alone)> give_up) {
  holders_[holder].give_up = std::move(give_up);
}

void HeldMemory::NoteWaiting(HolderId holder, int64_t bytes, TimePoint now) {
  Holder& entry = holders_[holder];
  if (entry.waiting == 0) entry.taken = now;
  total_ += bytes - entry.waiting;
  entry.waiting = bytes;
  MakeRoom(0, kLeftAlone, now);
  // All callers take something: the slowest one is given up.
  MakeRoom(0, Duration(0), now);
}

void HeldMemory::NoteTaken(HolderId holder, int64_t bytes, TimePoint now) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  total_ += bytes - entry->second.waiting;
  entry->second.waiting = bytes;
  entry->second.taken = now;
}

void HeldMemory::Release(HolderId holder) {
  const auto entry = holders_.find(holder);
  if (entry == holders_.end()) return;
  total_ -= entry->second.reserved + entry->second.waiting;
  holders_.erase(entry);
}

void HeldMemory::MakeRoom(int64_t bytes, Duration patience, TimePoint now) {
  while (!Fits(bytes)) {
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
