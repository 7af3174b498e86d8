#include "load_client.h"

#include <fmt/format.h>

#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_client.h"
#include "cartsail/net/sse.h"
#include "engine_server.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = seconds(2);
constexpr Duration kResumePause = milliseconds(100);

// The state of one answer over its connections.
struct Answer {
  uint64_t seed = 0;
  int64_t tokens = 0;
  TimePoint asked;
  TimePoint first{};
  TimePoint last{};
  bool finished = false;
  bool correct = true;
  std::string last_event_id;
  std::string error_kind;
  std::string outcome;

  void AddText(const std::string& text) {
    if (text.empty()) return;
    if (tokens == 0) first = Now();
    last = Now();
    if (text != ExpectedToken(seed, tokens)) correct = false;
    ++tokens;
  }

  void TakeError(const json::object& object) {
    const json::object* error = GetObject(object, "error");
    if (error == nullptr) return;
    error_kind = GetString(*error, "kind");
    outcome = GetString(*error, "outcome");
  }

  void TakeEvent(const SseEvent& event) {
    if (event.data == "[DONE]") {
      finished = true;
      return;
    }
    const absl::StatusOr<json::object> object = ParseJsonObject(event.data);
    if (!object.ok()) {
      correct = false;
      return;
    }
    if (event.name == "error") {
      TakeError(*object);
      return;
    }
    if (!event.id.empty()) last_event_id = event.id;
    const json::array* choices = GetArray(*object, "choices");
    if (choices == nullptr || choices->empty()) return;
    const json::object* delta = GetObject(choices->front().as_object(), "delta");
    if (delta != nullptr) AddText(GetString(*delta, "content"));
  }
};

HttpRequest FirstRequest(const CallerRequest& call) {
  json::object message{{"role", "user"}, {"content", call.prompt}};
  json::object body{{"model", call.model},
                    {"messages", json::array{std::move(message)}},
                    {"stream", call.stream}};
  if (call.output_tokens > 0) body["emulated_output_tokens"] = call.output_tokens;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + call.api_key},
                     {"X-Service", call.service},
                     {"X-Class", call.class_name}};
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  request.body = json::serialize(body);
  return request;
}

HttpRequest ResumeRequest(const CallerRequest& call, const Answer& answer) {
  HttpRequest request;
  request.target = "/v1/streams/resume";
  request.headers = {{"Authorization", "Bearer " + call.api_key},
                     {"Last-Event-ID", answer.last_event_id}};
  return request;
}

// Reads a whole stream; true when the connection ended in order.
asio::awaitable<bool> ReadStream(HttpConnection& connection, const CallerRequest& call,
                                 Answer& answer) {
  SseParser parser;
  while (true) {
    absl::StatusOr<std::string> chunk = co_await connection.ReadSome(call.timeout);
    if (!chunk.ok()) co_return false;
    if (chunk->empty()) co_return answer.finished || !answer.error_kind.empty();
    parser.Feed(*chunk);
    while (std::optional<SseEvent> event = parser.Next()) answer.TakeEvent(*event);
    if (call.hang_up_after_tokens > 0 && answer.tokens >= call.hang_up_after_tokens) {
      answer.error_kind = "hung_up";
      answer.outcome = "partial";
      connection.Close();
      co_return true;
    }
  }
}

asio::awaitable<std::string> ReadBody(HttpConnection& connection, Duration timeout) {
  std::string body;
  while (true) {
    absl::StatusOr<std::string> chunk = co_await connection.ReadSome(timeout);
    if (!chunk.ok() || chunk->empty()) co_return body;
    body += *chunk;
  }
}

void TakeWholeAnswer(const std::string& body, Answer* answer) {
  const absl::StatusOr<json::object> object = ParseJsonObject(body);
  const json::array* choices = object.ok() ? GetArray(*object, "choices") : nullptr;
  if (choices == nullptr || choices->empty()) {
    answer->correct = false;
    return;
  }
  const json::object* message = GetObject(choices->front().as_object(), "message");
  std::string text = message == nullptr ? std::string() : GetString(*message, "content");
  size_t end = text.find(' ');
  while (end != std::string::npos) {
    answer->AddText(text.substr(0, end + 1));
    text.erase(0, end + 1);
    end = text.find(' ');
  }
  answer->finished = true;
}

// One connection of the call; true when no other is wanted.
asio::awaitable<bool> OneConnection(asio::any_io_executor executor, const CallerRequest& call,
                                    Endpoint target, HttpRequest request, Answer& answer,
                                    CallerResult& out) {
  const std::unique_ptr<HttpConnection> connection = MakeHttpConnection(executor);
  absl::Status status = co_await connection->Connect(target, kConnectTimeout);
  if (status.ok()) status = co_await connection->Send(request, call.timeout);
  if (!status.ok()) {
    answer.outcome = KindOf(status) == ErrorKind::kConnectFailed ? "not_run" : "unknown";
    co_return false;
  }
  absl::StatusOr<HttpResponse> head = co_await connection->ReadHead(call.timeout);
  if (!head.ok()) {
    answer.outcome = "unknown";
    co_return false;
  }
  out.http_status = head->status;
  if (head->Header("Content-Type") == "text/event-stream") {
    out.stream = head->Header("X-Stream-Id");
    co_return co_await ReadStream(*connection, call, answer);
  }
  out.body = co_await ReadBody(*connection, call.timeout);
  if (head->status == 200) {
    TakeWholeAnswer(out.body, &answer);
    co_return true;
  }
  const absl::StatusOr<json::object> object = ParseJsonObject(out.body);
  if (object.ok()) answer.TakeError(*object);
  co_return true;
}

}  // namespace

asio::awaitable<CallerResult> AskOnce(asio::any_io_executor executor, CallerRequest call) {
  CallerResult out;
  Answer answer;
  answer.seed = AnswerSeed(call.prompt);
  answer.asked = Now();
  size_t target = 0;
  bool done =
      co_await OneConnection(executor, call, call.targets[target], FirstRequest(call), answer, out);
  while (!done && !answer.last_event_id.empty() && out.result.resumes < call.max_resumes) {
    Timer timer(executor);
    timer.expires_after(kResumePause);
    co_await timer.async_wait(asio::use_awaitable);
    target = (target + 1) % call.targets.size();
    ++out.result.resumes;
    answer.error_kind.clear();
    done = co_await OneConnection(executor, call, call.targets[target], ResumeRequest(call, answer),
                                  answer, out);
  }
  RequestResult& result = out.result;
  result.class_name = call.class_name;
  result.completed = answer.finished;
  result.correct = answer.correct;
  if (answer.finished && call.output_tokens > 0 && answer.tokens != call.output_tokens) {
    result.correct = false;
  }
  result.first_token = answer.tokens > 0 ? answer.first - answer.asked : Duration(0);
  if (answer.tokens > 1) {
    result.token_interval = (answer.last - answer.first) / (answer.tokens - 1);
  }
  result.tokens = answer.tokens;
  result.ttft_target = call.ttft_target;
  result.outcome = answer.outcome;
  if (!answer.finished) {
    result.error_kind = answer.error_kind.empty() ? "connection" : answer.error_kind;
  }
  co_return out;
}

}  // namespace cartsail::emulator
