// Reads one streamed response from an engine: OpenAI chat completions with server-sent events, plus
// the engines' extensions (request id, priority, resume from an offset, cancel).
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/net/http_client.h"
#include "cartsail/net/http_types.h"
#include "cartsail/net/sse.h"

namespace cartsail {

// Whether an engine may have started a request.
enum class RunState {
  kNotStarted,      // provably not started: no bytes were sent, or the engine refused it
  kMayHaveStarted,  // bytes may have been sent, and nothing proves that it was not started
  kStarted,         // the engine accepted it
};

struct EngineCall {
  Endpoint endpoint;
  std::string body;     // chat completion request, "stream": true
  std::string attempt;  // unique id of this attempt; the engine runs each id only once
  std::string owner;    // opaque tag of the client; the engine compares it on Resume()
  int priority = 0;     // 0 is served first
  // A kept-alive connection may break without showing whether the bytes arrived, so requests that
  // must not run twice use a new one.
  bool fresh_connection = false;
  Duration connect_timeout = milliseconds(500);
  Duration head_timeout = seconds(5);  // for sending and the response head together
};

struct EngineEvent {
  enum class Kind { kToken, kFinished };
  Kind kind = Kind::kToken;
  std::string data;           // the event's data as received: JSON, or the end marker
  std::string text;           // generated text that the event adds
  int64_t offset = 0;         // number of tokens up to and including this event
  std::string finish_reason;  // kFinished: the engine's reason; empty for the end marker
};

// Belongs to one thread and one coroutine, except Close().
class EngineStream {
 public:
  EngineStream(HttpConnectionPool& pool, Endpoint endpoint);
  ~EngineStream();

  // Sends the request. Errors: kConnectFailed, kConnectionLost, kTimeout, kBackendRefused (the
  // engine did not start it), kMalformedRequest (the engine rejected the request itself; Detail()
  // returns the response body), kBackendFailed. State() tells whether it may have been started.
  boost::asio::awaitable<absl::Status> Open(const EngineCall& call);

  // Resumes a stream at `offset`. Returns kUnknownStream if the engine does not have the stream or
  // `owner` differs from the tag that it was opened with.
  boost::asio::awaitable<absl::Status> Resume(const std::string& attempt, int64_t offset,
                                              const std::string& owner);

  // Returns the next event; nullopt after the end. Errors: kConnectionLost if the response was
  // truncated, kSuperseded if another connection took over the stream, kBackendFailed for malformed
  // events and for one without end. `timeout` applies to each read.
  boost::asio::awaitable<absl::StatusOr<std::optional<EngineEvent>>> Next(Duration timeout);

  // Makes a pending call fail with kConnectionLost. Call it on the stream's thread.
  void Close();

  RunState State() const { return state_; }
  // True if the engine refused the request because it is shutting down.
  bool Leaving() const { return leaving_; }
  // Response body of an engine that did not answer with status 200; otherwise empty.
  const std::string& Detail() const { return detail_; }

 private:
  boost::asio::awaitable<absl::Status> Exchange(HttpRequest request, bool fresh,
                                                Duration connect_timeout, Duration head_timeout);
  boost::asio::awaitable<absl::Status> ReadRefusal(const HttpResponse& head);
  absl::StatusOr<std::optional<EngineEvent>> Decode(SseEvent event);

  HttpConnectionPool& pool_;
  Endpoint endpoint_;
  std::unique_ptr<HttpConnection> connection_;
  SseParser parser_;
  size_t bytes_since_event_ = 0;  // received since the last whole event
  RunState state_ = RunState::kNotStarted;
  bool leaving_ = false;
  bool finished_ = false;
  bool closed_ = false;
  std::string detail_;
};

// Asks the engine to stop generating a stream. Best effort: errors are ignored.
boost::asio::awaitable<void> CancelStream(boost::asio::any_io_executor executor, Endpoint endpoint,
                                          std::string attempt);

}  // namespace cartsail
