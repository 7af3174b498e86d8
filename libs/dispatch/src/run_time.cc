#include "cartsail/dispatch/run_time.h"

namespace cartsail {
namespace {

// weight of one stream; averages over a few seconds of a service's traffic
constexpr double kWeight = 0.02;

}  // namespace

void RunTimes::Note(const std::string& service, Duration longest_pause, Duration run_time) {
  const auto [entry, added] = means_.try_emplace(Kind(service, longest_pause), run_time);
  if (added) return;
  const double change = kWeight * ToSeconds(run_time - entry->second);
  entry->second += FromSeconds(change);
}

Duration RunTimes::Mean(const std::string& service, Duration longest_pause) const {
  const auto entry = means_.find(Kind(service, longest_pause));
  return entry == means_.end() ? initial_ : entry->second;
}

}  // namespace cartsail
