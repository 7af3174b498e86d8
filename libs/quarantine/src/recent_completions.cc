#include "cartsail/quarantine/recent_completions.h"

#include <utility>

namespace cartsail {
namespace {

// Completions are kept for one to two generations. Clients that poll do so within a minute.
constexpr Duration kGenerationLength = seconds(60);
// 480 nodes that serve 16,000 requests/s see 33 requests/s each on average, 2,000 per generation.
// A burst of ten times that takes 0.9 MB in both generations.
constexpr size_t kMaxPerGeneration = 10000;

}  // namespace

void RecentCompletions::Note(RequestFingerprint request, TimePoint now) {
  if (now - begun_ > kGenerationLength || newer_.size() >= kMaxPerGeneration) {
    older_ = std::exchange(newer_, {});
    begun_ = now;
  }
  newer_[request] = now;
}

bool RecentCompletions::CompletedSince(RequestFingerprint request, TimePoint since) const {
  const std::optional<TimePoint> last = LastOf(request);
  return last.has_value() && *last > since;
}

std::optional<TimePoint> RecentCompletions::LastOf(RequestFingerprint request) const {
  for (const Generation* generation : {&newer_, &older_}) {
    const auto completed = generation->find(request);
    if (completed != generation->end()) return completed->second;
  }
  return std::nullopt;
}

}  // namespace cartsail
