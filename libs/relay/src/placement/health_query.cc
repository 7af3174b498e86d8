#include "placement/health_query.h"

#include <absl/strings/numbers.h>

#include "cartsail/dispatch/cold_limits.h"
#include "cartsail/net/http_client.h"
#include "request/answer_notices.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kTimeout = milliseconds(500);
constexpr size_t kMaxBytes = 64 << 10;
constexpr int kOk = 200;

}  // namespace

HealthAnswer ParseHealthAnswer(const HttpResponse& response, std::string_view id,
                               const WireNames& names) {
  HealthAnswer answer;
  const std::string_view instance = FindHeader(response.headers, names.instance);
  answer.is_of_another = !instance.empty() && instance != id;
  if (instance != id) return answer;
  answer.is_not_leaving =
      response.status == kOk && FindHeader(response.headers, names.leaving).empty();
  const std::string_view told = FindHeader(response.headers, names.cold_left);
  if (told.empty()) {
    if (response.status == kOk) answer.cold_left = Duration(0);
    return answer;
  }
  double cold_ms = 0;
  const bool is_time = absl::SimpleAtod({told.data(), told.size()}, &cold_ms) && cold_ms >= 0 &&
                       cold_ms <= ToMillis(kMaxColdPeriod);
  if (is_time) answer.cold_left = FromSeconds(cold_ms / 1e3);
  return answer;
}

asio::awaitable<HealthReport> QueryHealth(RelayContext& context, const Backend& backend,
                                          const std::string& path) {
  HttpRequest request;
  request.method = "GET";
  request.target = path;
  Endpoint endpoint;
  (void)ParseEndpoint(backend.address, &endpoint);
  HealthReport report;
  report.asked = Now();
  const absl::StatusOr<HttpResponse> response =
      co_await Fetch(context.io.get_executor(), endpoint, request, kTimeout, kMaxBytes);
  report.status = response.status();
  if (!response.ok()) co_return report;
  report.http_status = response->status;
  NoteAnswer(context, backend, {response->status, response->headers, report.asked});
  report.answer = ParseHealthAnswer(*response, backend.id, context.format.Names());
  // As when another instance rejects a request: the process with this id has ended.
  if (report.answer.is_of_another) context.dispatcher.Registry().MarkLeaving(backend.key);
  co_return report;
}

}  // namespace cartsail
