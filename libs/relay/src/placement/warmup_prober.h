// Probes the health path of lost back ends for their remaining warm-up time, on the node that
// grants requests to cold back ends. Most requests avoid a back end that is considered cold, so
// without probes seconds may pass before an answer shows that it never restarted. Single-threaded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "cartsail/base/log.h"
#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// The content of an answer at a back end's health path.
struct HealthAnswer {
  bool is_of_another = false;  // another back end has taken over the address
  // The remaining warm-up time. nullopt: the back end rejected the probe like a request, the time
  // is not readable, or the answer does not come from this back end.
  std::optional<Duration> cold_left;
};

// Parses an answer at the health path of the back end `id`.
HealthAnswer ParseHealthAnswer(const HttpResponse& response, std::string_view id,
                               const WireNames& names);

class WarmupProber {
 public:
  explicit WarmupProber(RelayContext& context) : context_(context) {}

  // Runs until the process ends.
  void Start();

 private:
  // A recovering zone has some dozens of back ends.
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kLinesAtOnce = 100;

  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> Probe(Backend backend, std::string path);
  void ProbeDue(TimePoint now);
  void NoteHealth(const Backend& backend, const HealthAnswer& answer, TimePoint asked);

  RelayContext& context_;
  size_t probes_in_progress_ = 0;
  LogRateLimit lines_{kLinesPerSecond, kLinesAtOnce};
};

}  // namespace cartsail
