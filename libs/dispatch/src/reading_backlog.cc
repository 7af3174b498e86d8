#include "cartsail/dispatch/reading_backlog.h"

#include <algorithm>

namespace cartsail {
namespace {

constexpr Duration kPeaksKept = seconds(10);  // longer than nearly all streams run

double LeftMillis(double unread_ms, TimePoint busy_until, TimePoint now) {
  return std::clamp(ToMillis(busy_until - now), 0.0, std::max(unread_ms, 0.0));
}

}  // namespace

void ReadingBacklog::Add(BackendKey backend, double reading_ms, TimePoint now) {
  Queue& queue = queues_[backend];
  const TimePoint free_at = std::max(now, queue.busy_until);
  queue.busy_until = free_at + FromSeconds(reading_ms / 1e3);
  queue.unread_ms += reading_ms;
  const double backlog_ms = LeftMillis(queue.unread_ms, queue.busy_until, now);
  while (!queue.peaks.empty() && queue.peaks.back().backlog_ms <= backlog_ms) {
    queue.peaks.pop_back();
  }
  while (!queue.peaks.empty() && now - queue.peaks.front().at > kPeaksKept) {
    queue.peaks.pop_front();
  }
  queue.peaks.push_back({now, backlog_ms});
}

void ReadingBacklog::Remove(BackendKey backend, double reading_ms, TimePoint now) {
  const auto entry = queues_.find(backend);
  if (entry == queues_.end()) return;
  Queue& queue = entry->second;
  queue.unread_ms = std::max(0.0, queue.unread_ms - reading_ms);
  // What is left can't take longer than this, whatever was expected before.
  const TimePoint latest = now + FromSeconds(queue.unread_ms / 1e3);
  queue.busy_until = std::min(queue.busy_until, latest);
}

double ReadingBacklog::Millis(BackendKey backend, TimePoint now) const {
  const auto queue = queues_.find(backend);
  if (queue == queues_.end()) return 0;
  return LeftMillis(queue->second.unread_ms, queue->second.busy_until, now);
}

double ReadingBacklog::MostMillisBetween(BackendKey backend, TimePoint since,
                                         TimePoint until) const {
  const auto queue = queues_.find(backend);
  if (queue == queues_.end()) return 0;
  for (const Peak& peak : queue->second.peaks) {
    const TimePoint read_at = peak.at + FromSeconds(peak.backlog_ms / 1e3);
    if (peak.at >= since && read_at <= until) return peak.backlog_ms;
  }
  return 0;
}

void ReadingBacklog::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  std::erase_if(queues_, [&is_known](const auto& queue) { return !is_known(queue.first); });
}

}  // namespace cartsail
