#include "cartsail/dispatch/run_time.h"

namespace cartsail {
namespace {

constexpr double kWeight = 0.02;  // of one stream: some seconds of traffic of a service

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
