#include "cartsail/reachability/path_table.h"

#include <algorithm>

namespace cartsail {
namespace {

// How long after a failure here another node's connection shows that the path was its cause.
constexpr Duration kFailureValidity = seconds(5);
// Number of paths found cut, with no connection established in between, from which on all paths
// count as lost. With one, a single cut path would send all traffic through other nodes.
constexpr size_t kCutsToLoseAll = 2;
constexpr Duration kFirstProbeDelay = milliseconds(500);
constexpr Duration kMaxProbeDelay = seconds(2);

Duration ProbeDelay(int probes) {
  Duration delay = kFirstProbeDelay;
  for (int i = 0; i < probes && delay < kMaxProbeDelay; ++i) delay *= 2;
  return std::min(delay, kMaxProbeDelay);
}

}  // namespace

void PathTable::NoteConnected(BackendKey backend, TimePoint now) {
  failed_.erase(backend);
  cut_.erase(backend);
  consecutive_cuts_.clear();
  if (!has_lost_all_) return;
  has_lost_all_ = false;
  // When one path is restored, the others usually are too: probe them at once.
  for (auto& [key, path] : cut_) path = {now, 0};
}

void PathTable::NoteFailed(BackendKey backend, TimePoint now) { failed_[backend] = now; }

std::optional<TimePoint> PathTable::FailedAt(BackendKey backend, TimePoint now) const {
  const auto failure = failed_.find(backend);
  if (failure == failed_.end() || now - failure->second > kFailureValidity) return std::nullopt;
  return failure->second;
}

bool PathTable::NoteReachedByOther(BackendKey backend, TimePoint now) {
  if (!FailedAt(backend, now).has_value()) return false;
  const bool is_new = cut_.try_emplace(backend, CutPath{now + kFirstProbeDelay, 0}).second;
  consecutive_cuts_.insert(backend);
  if (consecutive_cuts_.size() >= kCutsToLoseAll) has_lost_all_ = true;
  return is_new;
}

bool PathTable::IsCut(BackendKey backend) const { return has_lost_all_ || cut_.contains(backend); }

std::vector<BackendKey> PathTable::TakeProbes(TimePoint now, size_t max_count) {
  std::vector<BackendKey> due;
  for (const auto& [backend, path] : cut_) {
    if (now >= path.next_probe) due.push_back(backend);
  }
  const auto is_earlier = [this](BackendKey left, BackendKey right) {
    return cut_.at(left).next_probe < cut_.at(right).next_probe;
  };
  const size_t taken = std::min(max_count, due.size());
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(taken), due.end(),
                    is_earlier);
  due.resize(taken);
  for (const BackendKey backend : due) {
    CutPath& path = cut_.at(backend);
    path.next_probe = now + ProbeDelay(++path.probes);
  }
  return due;
}

void PathTable::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  const auto is_gone = [&is_known](const auto& entry) { return !is_known(entry.first); };
  std::erase_if(failed_, is_gone);
  std::erase_if(cut_, is_gone);
  std::erase_if(consecutive_cuts_, [&is_known](BackendKey backend) { return !is_known(backend); });
  if (cut_.empty()) has_lost_all_ = false;
}

}  // namespace cartsail
