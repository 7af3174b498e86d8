#include "cartsail/backend/engine_stream.h"

#include <fmt/format.h>

#include <algorithm>

#include "cartsail/base/json.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kCancelTimeout = seconds(2);
constexpr Duration kBodyTimeout = seconds(5);
// Of a refusal's body, and of what an engine sends between two whole events. An engine may send
// bytes without end.
constexpr size_t kMaxRefusalBytes = 64 << 10;
constexpr size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::string_view kSupersededEvent = "superseded";

// Returns error.kind of a refusal's JSON body; empty if there is none.
std::string RefusalKind(const std::string& body) {
  const absl::StatusOr<json::object> object = ParseJsonObject(body);
  if (!object.ok()) return {};
  const json::object* error = GetObject(*object, "error");
  return error == nullptr ? std::string() : GetString(*error, "kind");
}

}  // namespace

EngineStream::EngineStream(HttpConnectionPool& pool, Endpoint endpoint)
    : pool_(pool), endpoint_(std::move(endpoint)) {}

EngineStream::~EngineStream() {
  if (connection_ != nullptr && finished_) pool_.Return(endpoint_, std::move(connection_));
}

asio::awaitable<absl::Status> EngineStream::Open(const EngineCall& call) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Request-Id", call.attempt},
                     {"X-Stream-Owner", call.owner},
                     {"X-Priority", std::to_string(call.priority)}};
  request.body = call.body;
  co_return co_await Exchange(std::move(request), call.fresh_connection, call.connect_timeout,
                              call.head_timeout);
}

asio::awaitable<absl::Status> EngineStream::Resume(const std::string& attempt, int64_t offset,
                                                   const std::string& owner) {
  HttpRequest request;
  request.headers = {{"X-Stream-Owner", owner}};
  request.target = fmt::format("/v1/streams/{}?offset={}", attempt, offset);
  co_return co_await Exchange(std::move(request), true, milliseconds(500), seconds(5));
}

asio::awaitable<absl::Status> EngineStream::Exchange(HttpRequest request, bool fresh,
                                                     Duration connect_timeout,
                                                     Duration head_timeout) {
  if (!fresh) connection_ = pool_.TakeIdle(endpoint_);
  if (connection_ == nullptr) {
    connection_ = pool_.MakeNew();
    const absl::Status connected = co_await connection_->Connect(endpoint_, connect_timeout);
    if (!connected.ok()) co_return connected;
  }
  if (closed_) co_return MakeError(ErrorKind::kCancelled, "closed before sending");
  state_ = RunState::kMayHaveStarted;
  const TimePoint end = Now() + head_timeout;
  const absl::Status sent = co_await connection_->Send(request, head_timeout);
  if (!sent.ok()) co_return sent;
  const Duration left = std::max<Duration>(end - Now(), Duration(0));
  const absl::StatusOr<HttpResponse> head = co_await connection_->ReadHead(left);
  if (!head.ok()) co_return head.status();
  if (head->status != 200) co_return co_await ReadRefusal(*head);
  state_ = RunState::kStarted;
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> EngineStream::ReadRefusal(const HttpResponse& head) {
  while (detail_.size() <= kMaxRefusalBytes) {
    absl::StatusOr<std::string> chunk = co_await connection_->ReadSome(kBodyTimeout);
    if (!chunk.ok() || chunk->empty()) break;
    detail_ += *chunk;
  }
  finished_ = true;
  const std::string kind = RefusalKind(detail_);
  leaving_ = kind == "leaving";
  // Only this header proves that the engine did not start the request.
  if (head.Header("X-Not-Started") == "true") state_ = RunState::kNotStarted;
  if (head.status == 404) {
    co_return MakeError(ErrorKind::kUnknownStream, "the engine does not hold this stream");
  }
  if (state_ != RunState::kNotStarted) {
    co_return MakeError(ErrorKind::kBackendFailed,
                        fmt::format("the engine answered status {}", head.status));
  }
  if (head.status >= 400 && head.status < 500) {
    co_return MakeError(ErrorKind::kMalformedRequest, "the engine rejects the request");
  }
  co_return MakeError(ErrorKind::kBackendRefused, "the engine refused: " + kind);
}

asio::awaitable<absl::StatusOr<std::optional<EngineEvent>>> EngineStream::Next(Duration timeout) {
  while (true) {
    std::optional<SseEvent> event = parser_.Next();
    if (event.has_value()) {
      bytes_since_event_ = 0;
      co_return Decode(std::move(*event));
    }
    if (bytes_since_event_ > kMaxEventBytes) {
      co_return MakeError(ErrorKind::kBackendFailed, "the engine sends an event without end");
    }
    absl::StatusOr<std::string> chunk = co_await connection_->ReadSome(timeout);
    if (!chunk.ok()) co_return chunk.status();
    if (chunk->empty()) {
      if (finished_) co_return std::optional<EngineEvent>();
      co_return MakeError(ErrorKind::kConnectionLost, "the answer ended early");
    }
    bytes_since_event_ += chunk->size();
    parser_.Feed(*chunk);
  }
}

absl::StatusOr<std::optional<EngineEvent>> EngineStream::Decode(SseEvent event) {
  if (event.name == kSupersededEvent) {
    return MakeError(ErrorKind::kSuperseded, "another connection took over the stream");
  }
  EngineEvent decoded;
  if (event.data == kEndMarker) {
    finished_ = true;
    decoded.kind = EngineEvent::Kind::kFinished;
    decoded.data = std::move(event.data);
    return std::optional<EngineEvent>(std::move(decoded));
  }
  absl::StatusOr<json::object> object = ParseJsonObject(event.data);
  if (!object.ok()) return MakeError(ErrorKind::kBackendFailed, "the engine sent no JSON");
  decoded.data = std::move(event.data);
  decoded.offset = std::atoll(event.id.c_str());
  const json::array* choices = GetArray(*object, "choices");
  if (choices == nullptr || choices->empty() || !choices->front().is_object()) {
    return MakeError(ErrorKind::kBackendFailed, "the engine sent no choices");
  }
  const json::object& choice = choices->front().as_object();
  decoded.finish_reason = GetString(choice, "finish_reason");
  if (!decoded.finish_reason.empty()) decoded.kind = EngineEvent::Kind::kFinished;
  if (const json::object* delta = GetObject(choice, "delta")) {
    decoded.text = GetString(*delta, "content");
  }
  return std::optional<EngineEvent>(std::move(decoded));
}

void EngineStream::Close() {
  closed_ = true;
  if (connection_ != nullptr) connection_->Close();
}

asio::awaitable<void> CancelStream(asio::any_io_executor executor, Endpoint endpoint,
                                   std::string attempt) {
  HttpRequest request;
  request.method = "DELETE";
  request.target = "/v1/streams/" + attempt;
  co_await Fetch(executor, std::move(endpoint), std::move(request), kCancelTimeout);
}

}  // namespace cartsail
