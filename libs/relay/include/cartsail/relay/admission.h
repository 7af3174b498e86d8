// Admits or refuses a request by its head alone: determines route, tenant and service, or the
// reason of the refusal. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/status.h"
#include "cartsail/dispatch/region_map.h"
#include "cartsail/relay/routing_state.h"
#include "cartsail/relay/wire_format.h"

namespace cartsail {

// The parts of a request's head that the relay reads. An absent header is empty.
struct RequestHead {
  std::string method;
  std::string target;
  std::string host;
  std::string request_id;
  std::string resumes;  // id of the request that started the stream to resume; empty: none
  std::string authorization;
  std::string time_left;
  std::string prompt_parts;
  std::string token_counts;
};

struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  Duration retry_after{};  // 0: the answer has no Retry-After
};

struct AdmittedRequest {
  std::shared_ptr<const RouteTable> table;  // keeps `route` alive
  const RouteRule* route = nullptr;
  std::string tenant;  // empty: none
  int64_t tier = 0;
  Duration time_left{};  // the lesser of the caller's time limit and the route's
  bool caller_set_time = false;
  RequestProfile profile;
};

struct AdmissionResult {
  std::optional<Refusal> refusal;
  // Filled if there is no refusal, or if the data residency is the reason of the refusal.
  AdmittedRequest admitted;
};

// Returns the data residency of a request under `table`, which may be newer than the table that
// admitted the request with the residency `admitted`. A route or tenant that `table` no longer has
// keeps its former restrictions.
Residency ReevaluateResidency(const RouteTable& table, const RequestHead& head,
                              const Residency& admitted);

// Admits or refuses a request. Unknown routes and keys are refused for good only if the view of the
// store is at most `trusted_for` old; with an older view the refusal is kNotReady with Retry-After.
AdmissionResult Admit(const RequestHead& head, const RoutingState& state, const WireFormat& format,
                      Duration trusted_for, TimePoint now);

}  // namespace cartsail
