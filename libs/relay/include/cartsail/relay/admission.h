// Decides from its head alone what becomes of a request: which route, tenant and service, or why
// it is refused. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/status.h"
#include "cartsail/dispatch/region_map.h"
#include "cartsail/relay/routing_state.h"
#include "cartsail/relay/wire_format.h"

namespace cartsail {

// What the relay reads from a request's head.
struct RequestHead {
  std::string method;
  std::string target;
  std::string host;
  std::string request_id;
  std::string resumes;  // the request that began the stream which this one takes up; or empty
  std::string authorization;
  std::string time_left;
  std::string prompt_parts;
  std::string token_counts;
};

struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  Duration retry_after{};  // 0: none is given
};

struct AdmittedRequest {
  std::shared_ptr<const RouteTable> table;  // keeps `route` alive
  const RouteRule* route = nullptr;
  std::string tenant;  // empty: none
  int64_t tier = 0;
  Duration time_left{};  // until the caller gives up or the route's time ends
  bool caller_set_time = false;
  RequestProfile profile;
};

struct AdmissionResult {
  std::optional<Refusal> refusal;
  AdmittedRequest admitted;  // where there is no refusal, or the data residency is the reason
};

// The data residency of an admitted request by `table`, which may be newer than the one by which it
// was admitted, with `admitted`. What the newer one no longer knows binds as it did.
Residency ReevaluateResidency(const RouteTable& table, const RequestHead& head,
                              const Residency& admitted);

// A view of the store older than `trusted_for` does not justify refusing unknown routes and keys:
// the caller is told to come back then.
AdmissionResult Admit(const RequestHead& head, const RoutingState& state, const WireFormat& format,
                      Duration trusted_for, TimePoint now);

}  // namespace cartsail
