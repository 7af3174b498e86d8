// Queries a back end at the health path of its service. Single-threaded.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// The content of an answer at a back end's health path.
struct HealthAnswer {
  bool is_of_another = false;  // another back end has taken over the address
  // The back end is well and not leaving. False also when it rejected the query like a request, or
  // when the answer does not come from this back end.
  bool is_not_leaving = false;
  // The remaining warm-up time. nullopt: the back end rejected the probe like a request, the time
  // is not readable, or the answer does not come from this back end.
  std::optional<Duration> cold_left;
};

// Parses an answer at the health path of the back end `id`.
HealthAnswer ParseHealthAnswer(const HttpResponse& response, std::string_view id,
                               const WireNames& names);

// What a query brought.
struct HealthReport {
  TimePoint asked;      // when the query was sent
  absl::Status status;  // not OK: no answer came
  int http_status = 0;  // 0: no answer came
  HealthAnswer answer;
};

// Sends the query and records the notices in the answer. `path`: the health path.
boost::asio::awaitable<HealthReport> QueryHealth(RelayContext& context, const Backend& backend,
                                                 const std::string& path);

}  // namespace cartsail
