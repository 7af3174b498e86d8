#include "error_response.h"

#include <cmath>

#include "cartsail/base/counters.h"
#include "cartsail/base/json.h"
#include "cartsail/net/sse.h"

namespace cartsail {
namespace {

json::object FailureObject(const Failure& failure) {
  json::object error{{"kind", ErrorKindName(KindOf(failure.status))},
                     {"message", std::string(failure.status.message())},
                     {"outcome", OutcomeName(failure.outcome)}};
  if (failure.retry_after > Duration(0)) {
    error["retry_after_ms"] = static_cast<int64_t>(ToMillis(failure.retry_after));
  }
  if (!failure.stream.empty()) error["stream"] = failure.stream;
  return {{"error", std::move(error)}};
}

}  // namespace

HttpResponse FailureResponse(const Failure& failure) {
  HttpResponse response;
  response.status = HttpStatusFor(KindOf(failure.status));
  response.headers = {{"Content-Type", "application/json"}};
  if (failure.retry_after > Duration(0)) {
    const auto whole = static_cast<int64_t>(std::ceil(ToSeconds(failure.retry_after)));
    response.headers.push_back({"Retry-After", std::to_string(whole)});
  }
  response.body = json::serialize(FailureObject(failure));
  return response;
}

std::string FailureEvent(const Failure& failure) {
  SseEvent event;
  event.name = "error";
  event.data = json::serialize(FailureObject(failure));
  return FormatSse(event);
}

void CountFailure(const Failure& failure) {
  Counters& counters = GlobalCounters();
  switch (failure.outcome) {
    case Outcome::kNotRun:
      counters.requests_not_run_total.Add();
      break;
    case Outcome::kUnknown:
      counters.requests_unknown_total.Add();
      break;
    case Outcome::kPartial:
      counters.requests_partial_total.Add();
      break;
  }
}

}  // namespace cartsail
