#include "cartsail/membership/member_table.h"

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {

namespace {

// 20 heartbeats per second at the base interval of 250 ms; docs/CAPACITY.md lists their bytes.
constexpr size_t kPeersAtBaseInterval = 5;

}  // namespace

Duration HeartbeatInterval(Duration base, size_t peers) {
  if (peers <= kPeersAtBaseInterval) return base;
  return base * static_cast<int64_t>(peers) / static_cast<int64_t>(kPeersAtBaseInterval);
}

MemberTable::MemberTable(MemberTableOptions options, TimePoint now)
    : options_(std::move(options)), last_tick_(now) {
  Member self;
  self.id = options_.self;
  self.zone = options_.zone;
  self.state = MemberState::kLive;
  self.last_heard = now;
  members_.emplace(self.id, self);
}

void MemberTable::SetListed(const std::vector<Member>& listed) {
  listed_.clear();
  for (const Member& entry : listed) {
    listed_[entry.id] = true;
    if (entry.id == options_.self) continue;
    const auto [member, added] = members_.try_emplace(entry.id, entry);
    if (added) member->second.state = MemberState::kUnheard;
    member->second.address = entry.address;
  }
  std::erase_if(members_, [this](const auto& entry) {
    return entry.second.state == MemberState::kUnheard && !listed_.contains(entry.first);
  });
}

bool MemberTable::Heard(const std::string& id, const std::string& zone, const std::string& address,
                        bool draining, TimePoint now, Duration interval) {
  if (id == options_.self) return false;
  Member& member = members_[id];
  const MemberState before = member.state;
  member.id = id;
  member.zone = zone;
  member.address = address;
  member.last_heard = now;
  member.interval = interval;
  member.state = draining ? MemberState::kDraining : MemberState::kLive;
  const bool changed = before != member.state;
  if (changed) ++epoch_;
  return changed;
}

std::vector<std::string> MemberTable::Tick(TimePoint now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  was_paused_ = gap > options_.pause_threshold;
  std::vector<std::string> suspects;
  for (auto& [id, member] : members_) {
    if (id == options_.self) continue;
    // Heartbeats that arrived during the pause are still unread, so it does not count as silence.
    if (was_paused_) member.last_heard += gap;
    const Duration timeout = std::max(options_.suspect_after, member.interval * kSuspectIntervals);
    const bool silent = now - member.last_heard > timeout;
    const bool is_active =
        member.state == MemberState::kLive || member.state == MemberState::kDraining;
    if (!silent || !is_active) continue;
    member.state = MemberState::kSuspect;
    suspects.push_back(id);
    ++epoch_;
  }
  std::erase_if(members_, [this, now](const auto& entry) {
    return entry.second.state == MemberState::kSuspect && !listed_.contains(entry.first) &&
           now - entry.second.last_heard > options_.forget_after;
  });
  return suspects;
}

void MemberTable::SetSelfDraining() {
  members_[options_.self].state = MemberState::kDraining;
  ++epoch_;
}

std::vector<std::string> MemberTable::Ranked(std::string_view key, const std::string& zone,
                                             size_t count) const {
  std::vector<std::pair<uint64_t, const Member*>> ranked;
  for (const bool any_zone : {false, true}) {
    for (const auto& [id, member] : members_) {
      if (!CanOwn(member)) continue;
      if (!any_zone && member.zone != zone) continue;
      ranked.emplace_back(Hash64(key, Hash64(id)), &member);
    }
    if (!ranked.empty()) break;
  }
  const size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  std::vector<std::string> ids;
  for (size_t i = 0; i < kept; ++i) ids.push_back(ranked[i].second->id);
  return ids;
}

size_t MemberTable::OwnRank(std::string_view key) const {
  const uint64_t own = Hash64(key, Hash64(options_.self));
  size_t rank = 0;
  for (const auto& [id, member] : members_) {
    if (id == options_.self || member.zone != options_.zone) continue;
    const bool may_be_up =
        member.state == MemberState::kLive || member.state == MemberState::kUnheard;
    if (may_be_up && Hash64(key, Hash64(id)) > own) ++rank;
  }
  return rank;
}

std::string MemberTable::OwnerOf(std::string_view key, const std::string& zone) const {
  const std::vector<std::string> first = Ranked(key, zone, 1);
  return first.empty() ? std::string() : first.front();
}

const Member* MemberTable::Find(const std::string& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<const Member*> MemberTable::Peers() const {
  std::vector<const Member*> peers;
  for (const auto& [id, member] : members_) {
    if (id != options_.self) peers.push_back(&member);
  }
  return peers;
}

int MemberTable::LiveCount() const {
  int count = 0;
  for (const auto& [id, member] : members_) {
    if (member.state == MemberState::kLive || member.state == MemberState::kDraining) ++count;
  }
  return count;
}

}  // namespace cartsail
