#include "cartsail/dispatch/prefill_backlog.h"

#include <algorithm>

namespace cartsail {
namespace {

constexpr Duration kPeaksKept = seconds(10);  // longer than almost all streams run

// Delay from the end of a prefill until this node learns of the first output: one step of the
// engine, a network round trip, and batching of messages between nodes.
constexpr Duration kOutputDelay = milliseconds(40);

}  // namespace

double PrefillBacklog::ScheduledMillis(const Queue& queue, TimePoint now) {
  return std::clamp(ToMillis(queue.busy_until - now), 0.0, queue.unread_ms);
}

double PrefillBacklog::OverdueMillis(const Queue& queue, TimePoint now) {
  return std::max(0.0, ToMillis(now - queue.output_due - kOutputDelay));
}

// An overdue engine is slower than expected or does not respond. It is expected to take as long
// again.
double PrefillBacklog::LeftMillis(const Queue& queue, TimePoint now) {
  if (queue.prompts == 0) return 0;
  return ScheduledMillis(queue, now) + OverdueMillis(queue, now);
}

void PrefillBacklog::Add(BackendKey backend, double prefill_ms, TimePoint now) {
  Queue& queue = queues_[backend];
  const TimePoint free_at = std::max(now, queue.busy_until);
  queue.busy_until = free_at + FromSeconds(prefill_ms / 1e3);
  queue.unread_ms += prefill_ms;
  // Further prompts do not postpone the output that is due: an engine that does not respond would
  // never be overdue while it is sent requests.
  if (queue.prompts++ == 0) queue.output_due = queue.busy_until;
  const double backlog_ms = ScheduledMillis(queue, now);
  while (!queue.peaks.empty() && queue.peaks.back().backlog_ms <= backlog_ms) {
    queue.peaks.pop_back();
  }
  while (!queue.peaks.empty() && now - queue.peaks.front().at > kPeaksKept) {
    queue.peaks.pop_front();
  }
  queue.peaks.push_back({now, backlog_ms});
}

void PrefillBacklog::Answered(BackendKey backend, double prefill_ms, TimePoint now) {
  const auto entry = queues_.find(backend);
  if (entry == queues_.end()) return;
  Queue& queue = entry->second;
  const bool was_overdue = OverdueMillis(queue, now) > 0;
  Remove(backend, prefill_ms, now);
  queue.output_due = now + FromSeconds(queue.unread_ms / 1e3);
  if (was_overdue) queue.busy_until = queue.output_due;
}

void PrefillBacklog::Remove(BackendKey backend, double prefill_ms, TimePoint now) {
  const auto entry = queues_.find(backend);
  if (entry == queues_.end()) return;
  Queue& queue = entry->second;
  if (queue.prompts == 0) return;  // added before the engine was forgotten
  --queue.prompts;
  queue.unread_ms = queue.prompts == 0 ? 0 : std::max(0.0, queue.unread_ms - prefill_ms);
  // The remaining prompts cannot take longer than this, whatever was expected before.
  const TimePoint latest = now + FromSeconds(queue.unread_ms / 1e3);
  queue.busy_until = std::min(queue.busy_until, latest);
}

double PrefillBacklog::Millis(BackendKey backend, TimePoint now) const {
  const auto queue = queues_.find(backend);
  if (queue == queues_.end()) return 0;
  return LeftMillis(queue->second, now);
}

double PrefillBacklog::PeakMillisBetween(BackendKey backend, TimePoint since,
                                         TimePoint until) const {
  const auto queue = queues_.find(backend);
  if (queue == queues_.end()) return 0;
  for (const Peak& peak : queue->second.peaks) {
    const TimePoint read_at = peak.at + FromSeconds(peak.backlog_ms / 1e3);
    if (peak.at >= since && read_at <= until) return peak.backlog_ms;
  }
  return 0;
}

void PrefillBacklog::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  std::erase_if(queues_, [&is_known](const auto& queue) { return !is_known(queue.first); });
}

}  // namespace cartsail
