#include "cartsail/dispatch/prefix_directory.h"

#include <algorithm>
#include <set>

namespace cartsail {

void PrefixDirectory::Note(uint64_t part, BackendKey backend, TimePoint now) {
  std::vector<Holder>& holders = holders_[part];
  for (Holder& holder : holders) {
    if (holder.backend != backend) continue;
    if (now - holder.last_use >= lifetime_) holder.read = false;
    holder.last_use = std::max(holder.last_use, now);
    return;
  }
  holders.push_back({backend, now, false});
}

void PrefixDirectory::NoteRead(uint64_t part, BackendKey backend) {
  const auto holders = holders_.find(part);
  if (holders == holders_.end()) return;
  for (Holder& holder : holders->second) {
    if (holder.backend == backend) holder.read = true;
  }
}

const PrefixDirectory::Holder* PrefixDirectory::Find(uint64_t part, BackendKey backend,
                                                     TimePoint now) const {
  const auto holders = holders_.find(part);
  if (holders == holders_.end()) return nullptr;
  for (const Holder& holder : holders->second) {
    if (holder.backend != backend) continue;
    return now - holder.last_use < lifetime_ ? &holder : nullptr;
  }
  return nullptr;
}

int64_t PrefixDirectory::HeldTokens(const std::vector<PromptPart>& parts, BackendKey backend,
                                    TimePoint now) const {
  int64_t tokens = 0;
  for (const PromptPart& part : parts) {
    if (Find(part.id, backend, now) == nullptr) break;
    tokens += part.tokens;
  }
  return tokens;
}

int64_t PrefixDirectory::ReadTokens(const std::vector<PromptPart>& parts, BackendKey backend,
                                    TimePoint now) const {
  int64_t tokens = 0;
  for (const PromptPart& part : parts) {
    const Holder* holder = Find(part.id, backend, now);
    if (holder == nullptr || !holder->read) break;
    tokens += part.tokens;
  }
  return tokens;
}

bool PrefixDirectory::AnyHolds(uint64_t part, TimePoint now) const {
  const auto holders = holders_.find(part);
  if (holders == holders_.end()) return false;
  for (const Holder& holder : holders->second) {
    if (now - holder.last_use < lifetime_) return true;
  }
  return false;
}

void PrefixDirectory::Forget(BackendKey backend) {
  for (auto& [part, holders] : holders_) {
    std::erase_if(holders, [backend](const Holder& holder) { return holder.backend == backend; });
  }
}

std::vector<BackendKey> PrefixDirectory::Backends() const {
  std::set<BackendKey> backends;
  for (const auto& [part, holders] : holders_) {
    for (const Holder& holder : holders) backends.insert(holder.backend);
  }
  return {backends.begin(), backends.end()};
}

void PrefixDirectory::Expire(TimePoint now) {
  const auto expired = [this, now](const Holder& holder) {
    return now - holder.last_use >= lifetime_;
  };
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    std::erase_if(entry->second, expired);
    entry = entry->second.empty() ? holders_.erase(entry) : std::next(entry);
  }
}

}  // namespace cartsail
