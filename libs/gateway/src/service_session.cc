#include "service_session.h"

#include "backend_work.h"
#include "cartsail/base/counters.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr size_t kResponseLimit = 16 << 20;
constexpr int kMaxFruitlessAttempts = 8;

// Headers that go on to the back end and back to the caller.
constexpr std::string_view kForwarded[] = {"Content-Type", "Accept", "If-None-Match", "ETag",
                                           "Cache-Control"};

void CopyHeaders(const HttpHeaders& from, HttpHeaders* to) {
  for (const std::string_view name : kForwarded) {
    const std::string_view value = FindHeader(from, name);
    if (!value.empty()) to->push_back({std::string(name), std::string(value)});
  }
}

struct CallResult {
  absl::Status status;
  RunState state = RunState::kNotStarted;
  bool leaving = false;
  HttpResponse response;
};

asio::awaitable<CallResult> CallOnce(HttpConnectionPool& pool, Endpoint endpoint,
                                     HttpRequest request, Duration timeout) {
  CallResult result;
  // A new connection: one that breaks then says for certain whether anything was sent.
  std::unique_ptr<HttpConnection> connection = pool.MakeNew();
  result.status = co_await connection->Connect(endpoint, kConnectTimeout);
  if (!result.status.ok()) co_return result;
  result.state = RunState::kMayHaveStarted;
  result.status = co_await connection->Send(request, timeout);
  if (!result.status.ok()) co_return result;
  absl::StatusOr<HttpResponse> head = co_await connection->ReadHead(timeout);
  result.status = head.status();
  if (!head.ok()) co_return result;
  result.response = std::move(*head);
  while (true) {
    absl::StatusOr<std::string> chunk = co_await connection->ReadSome(timeout);
    result.status = chunk.status();
    if (!chunk.ok() || chunk->empty()) break;
    result.response.body += *chunk;
    if (result.response.body.size() > kResponseLimit) {
      result.status = MakeError(ErrorKind::kBackendFailed, "the back end's answer is too large");
      break;
    }
  }
  if (result.status.ok() && result.response.Header("X-Not-Started") == "true") {
    result.state = RunState::kNotStarted;
    result.leaving = true;
    result.status = MakeError(ErrorKind::kBackendRefused, "the back end refused");
    co_return result;
  }
  result.state = RunState::kStarted;
  // No coding was asked for, and the caller would not be told of it.
  if (result.status.ok() && !result.response.Header("Content-Encoding").empty()) {
    result.status = MakeError(ErrorKind::kBackendFailed, "the back end's answer is coded");
  }
  co_return result;
}

// A session over several attempts; the shape of ChatSession without streams.
class ServiceCall {
 public:
  ServiceCall(asio::any_io_executor executor, HttpConnectionPool& pool, ControlPlane& control,
              HttpExchange& exchange, const Caller& caller, std::string path)
      : pool_(pool),
        exchange_(exchange),
        path_(std::move(path)),
        work_(executor, control, caller, ServiceModel(caller.policy->backend), 0) {}

  asio::awaitable<void> Run() {
    exchange_.WatchPeer([this] { work_.CallerGone(); });
    CallResult result = co_await RunAttempts();
    exchange_.WatchPeer(nullptr);
    if (result.status.ok()) {
      GlobalCounters().requests_completed_total.Add();
      HttpResponse response;
      response.status = result.response.status;
      CopyHeaders(result.response.headers, &response.headers);
      response.body = std::move(result.response.body);
      co_await exchange_.Respond(std::move(response));
      co_return;
    }
    const Failure failure = work_.Describe(result.status);
    CountFailure(failure);
    co_await exchange_.Respond(FailureResponse(failure));
  }

 private:
  asio::awaitable<CallResult> RunAttempts() {
    SlotPurpose purpose = SlotPurpose::kFirst;
    CallResult result;
    while (true) {
      absl::Status status = co_await work_.Acquire(purpose, nullptr);
      if (!status.ok()) {
        if (!work_.RetryDenied()) result.status = status;
        co_return result;
      }
      status = co_await work_.PrepareAttempt();
      if (!status.ok()) {
        work_.Release(SlotEnd::kCancelled, {.started = false});
        result.status = status;
        co_return result;
      }
      result = co_await CallOnce(pool_, work_.Slot().endpoint, BackendRequest(), work_.TimeLeft());
      work_.NoteState(result.state);
      work_.Release(EndOf(result), {.started = result.state == RunState::kStarted});
      if (result.status.ok() || !TryAgain(result)) co_return result;
      purpose =
          result.state == RunState::kNotStarted ? SlotPurpose::kContinuation : SlotPurpose::kRetry;
      work_.Exclude(work_.Slot().engine);
    }
  }

  bool TryAgain(const CallResult& result) {
    if (!work_.MayTryAgain() || work_.TimeLeft() == Duration(0)) return false;
    if (result.state == RunState::kNotStarted) {
      return ++fruitless_attempts_ <= kMaxFruitlessAttempts;
    }
    return true;
  }

  static SlotEnd EndOf(const CallResult& result) {
    if (result.status.ok()) return SlotEnd::kServed;
    if (result.leaving) return SlotEnd::kLeaving;
    return SlotEnd::kFailed;
  }

  HttpRequest BackendRequest() const {
    const HttpRequest& original = exchange_.Request();
    HttpRequest request;
    request.method = original.method;
    request.target = path_;
    CopyHeaders(original.headers, &request.headers);
    request.headers.push_back({"X-Request-Id", work_.Attempt()});
    request.body = original.body;
    return request;
  }

  HttpConnectionPool& pool_;
  HttpExchange& exchange_;
  std::string path_;
  BackendWork work_;
  int fruitless_attempts_ = 0;
};

}  // namespace

std::string ServiceModel(const std::string& backend_group) { return "service:" + backend_group; }

asio::awaitable<void> ForwardCall(asio::any_io_executor executor, HttpConnectionPool& pool,
                                  ControlPlane& control, HttpExchange& exchange, Caller caller,
                                  std::string path) {
  ServiceCall call(executor, pool, control, exchange, caller, std::move(path));
  co_await call.Run();
}

}  // namespace cartsail
