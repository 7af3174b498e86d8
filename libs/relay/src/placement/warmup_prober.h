// Asks back ends that were lost how long they stay cold, at the node that grants requests to cold
// ones. While one is held for cold most requests go elsewhere, so that none of them may tell for
// seconds that it never started again. One thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "cartsail/base/log.h"
#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// What the answer at the health path of the back end `id` says.
struct HealthAnswer {
  bool is_of_another = false;  // one that has the address now
  // How long it stays cold. Nothing when it turned the question away like a request, or when the
  // time can't be read.
  std::optional<Duration> cold_left;
};

HealthAnswer ParseHealthAnswer(const HttpResponse& response, std::string_view id,
                               const WireNames& names);

class WarmupProber {
 public:
  explicit WarmupProber(RelayContext& context) : context_(context) {}

  // Runs until the process ends.
  void Start();

 private:
  // A zone that comes back has some dozens of back ends.
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kLinesAtOnce = 100;

  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> Ask(Backend backend, std::string path);
  void AskDue(TimePoint now);
  void NoteHealth(const Backend& backend, const HealthAnswer& answer, TimePoint asked);

  RelayContext& context_;
  size_t asking_ = 0;
  LogRateLimit lines_{kLinesPerSecond, kLinesAtOnce};
};

}  // namespace cartsail
