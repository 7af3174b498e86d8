#include "cartsail/dispatch/prefix_directory.h"

#include <algorithm>
#include <iterator>

namespace cartsail {

void PrefixDirectory::Note(uint64_t part, BackendKey backend, TimePoint now) {
  const auto [entry, is_new] = holders_[part].try_emplace(backend, Holder{now, false});
  if (is_new) {
    parts_of_[backend].insert(part);
    return;
  }
  Holder& holder = entry->second;
  if (now - holder.last_use >= lifetime_) holder.read = false;
  holder.last_use = std::max(holder.last_use, now);
}

void PrefixDirectory::NoteRead(uint64_t part, BackendKey backend) {
  const auto holders = holders_.find(part);
  if (holders == holders_.end()) return;
  const auto holder = holders->second.find(backend);
  if (holder != holders->second.end()) holder->second.read = true;
}

const PrefixDirectory::Holder* PrefixDirectory::Find(uint64_t part, BackendKey backend,
                                                     TimePoint now) const {
  const auto holders = holders_.find(part);
  if (holders == holders_.end()) return nullptr;
  const auto holder = holders->second.find(backend);
  if (holder == holders->second.end()) return nullptr;
  return now - holder->second.last_use < lifetime_ ? &holder->second : nullptr;
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
  return std::any_of(
      holders->second.begin(), holders->second.end(),
      [this, now](const auto& entry) { return now - entry.second.last_use < lifetime_; });
}

std::vector<BackendKey> PrefixDirectory::HoldersOf(const std::vector<PromptPart>& parts,
                                                   size_t most, TimePoint now) const {
  std::vector<BackendKey> found;
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const auto holders = holders_.find(part->id);
    if (holders == holders_.end()) continue;
    size_t looked = 0;
    for (const auto& [backend, holder] : holders->second) {
      if (found.size() >= most || ++looked > most) break;
      if (now - holder.last_use >= lifetime_) continue;
      if (std::find(found.begin(), found.end(), backend) == found.end()) found.push_back(backend);
    }
  }
  return found;
}

void PrefixDirectory::Forget(BackendKey backend) {
  const auto parts = parts_of_.find(backend);
  if (parts == parts_of_.end()) return;
  for (const uint64_t part : parts->second) {
    const auto holders = holders_.find(part);
    holders->second.erase(backend);
    if (holders->second.empty()) holders_.erase(holders);
  }
  parts_of_.erase(parts);
}

void PrefixDirectory::ForgetUnless(const std::function<bool(BackendKey)>& is_known) {
  std::vector<BackendKey> gone;
  for (const auto& [backend, parts] : parts_of_) {
    if (!is_known(backend)) gone.push_back(backend);
  }
  for (const BackendKey backend : gone) Forget(backend);
}

void PrefixDirectory::Expire(TimePoint now) {
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    const uint64_t part = entry->first;
    std::erase_if(entry->second, [this, now, part](const auto& holder) {
      if (now - holder.second.last_use < lifetime_) return false;
      const auto parts = parts_of_.find(holder.first);
      parts->second.erase(part);
      if (parts->second.empty()) parts_of_.erase(parts);
      return true;
    });
    entry = entry->second.empty() ? holders_.erase(entry) : std::next(entry);
  }
}

}  // namespace cartsail
