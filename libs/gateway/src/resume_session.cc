#include "resume_session.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <random>

#include "cartsail/backend/engine_stream.h"
#include "cartsail/base/counters.h"
#include "cartsail/base/status.h"
#include "cartsail/net/async.h"
#include "error_response.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kTokenTimeout = seconds(60);

asio::awaitable<void> Refuse(HttpExchange& exchange, ErrorKind kind, std::string_view message) {
  Failure failure;
  failure.status = MakeError(kind, message);
  failure.outcome = Outcome::kUnknown;
  CountFailure(failure);
  co_await exchange.Respond(FailureResponse(failure));
}

// Gives the adopted slot back however the session ends.
class AdoptedSlot {
 public:
  AdoptedSlot(ControlPlane& control, const std::string& engine) : control_(control) {
    static thread_local std::mt19937_64 random(std::random_device{}());
    WorkItem item;
    item.id = id_ = random();
    control_.AdoptSlot(id_, engine, item);
  }
  ~AdoptedSlot() { control_.ReleaseSlot(id_, SlotEnd::kServed, {}); }
  AdoptedSlot(const AdoptedSlot&) = delete;
  AdoptedSlot& operator=(const AdoptedSlot&) = delete;

 private:
  ControlPlane& control_;
  RequestId id_ = 0;
};

asio::awaitable<absl::Status> Relay(EngineStream& stream, HttpExchange& exchange,
                                    std::string stream_id) {
  while (true) {
    absl::StatusOr<std::optional<EngineEvent>> event = co_await stream.Next(kTokenTimeout);
    if (!event.ok()) co_return event.status();
    if (!event->has_value()) co_return co_await exchange.EndStream();
    const EngineEvent& current = **event;
    SseEvent out;
    out.data = current.data;
    if (current.kind == EngineEvent::Kind::kToken) {
      out.id = fmt::format("{}:{}", stream_id, current.offset);
      GlobalCounters().tokens_delivered_total.Add();
    }
    const std::string text = FormatSse(out);
    const absl::Status written = co_await exchange.Write(text);
    if (!written.ok()) co_return MakeError(ErrorKind::kCancelled, "the caller has gone");
  }
}

}  // namespace

bool ParseStreamPosition(std::string_view text, StreamPosition* position) {
  const size_t colon = text.rfind(':');
  if (colon != std::string_view::npos) {
    const std::string_view offset = text.substr(colon + 1);
    if (!absl::SimpleAtoi(absl::string_view(offset.data(), offset.size()), &position->offset)) {
      return false;
    }
    text = text.substr(0, colon);
  }
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == text.size()) return false;
  position->engine = text.substr(0, dot);
  position->attempt = text.substr(dot + 1);
  for (const char c : position->attempt) {
    if (!std::isxdigit(static_cast<unsigned char>(c))) return false;
  }
  return position->offset >= 0;
}

asio::awaitable<void> ResumeStream(asio::any_io_executor executor, HttpConnectionPool& pool,
                                   ControlPlane& control, HttpExchange& exchange, Caller caller,
                                   StreamPosition position) {
  std::function<void(std::function<void(std::optional<Endpoint>)>)> locate =
      [&control, &position](std::function<void(std::optional<Endpoint>)> done) {
        control.Locate(position.engine, std::move(done));
      };
  const std::optional<Endpoint> endpoint =
      co_await AwaitCallback<std::optional<Endpoint>>(std::move(locate));
  if (!endpoint.has_value()) {
    co_await Refuse(exchange, ErrorKind::kUnknownStream, "no engine holds this stream");
    co_return;
  }
  EngineStream stream(pool, *endpoint);
  const std::string owner = caller.OwnerTag();
  absl::Status status = co_await stream.Resume(position.attempt, position.offset, owner);
  if (!status.ok()) {
    co_await Refuse(exchange, KindOf(status), status.message().data());
    co_return;
  }
  GlobalCounters().streams_resumed_total.Add();
  const AdoptedSlot slot(control, position.engine);
  const std::string stream_id = position.engine + "." + position.attempt;
  HttpHeaders headers = {{"Content-Type", "text/event-stream"},
                         {"Cache-Control", "no-store"},
                         {"X-Stream-Id", stream_id}};
  status = co_await exchange.BeginStream(200, std::move(headers));
  exchange.WatchPeer([&stream] { stream.Close(); });
  if (status.ok()) status = co_await Relay(stream, exchange, stream_id);
  exchange.WatchPeer(nullptr);
  if (status.ok()) {
    GlobalCounters().requests_completed_total.Add();
    co_return;
  }
  // The engine keeps the stream for its own grace time: the caller may resume once more.
  Failure failure{status, Outcome::kPartial, Duration(0), stream_id};
  CountFailure(failure);
  const std::string text = FailureEvent(failure);
  co_await exchange.Write(text);
  co_await exchange.EndStream();
}

}  // namespace cartsail
