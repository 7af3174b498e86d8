// One answer being read from an engine: OpenAI chat completions with server-sent events, plus the
// engines' extensions (request id, priority, resume from an offset, cancel).
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

// What an engine may have done with a request so far.
enum class RunState {
  kNotStarted,      // provably not started: no byte was sent, or the engine refused it
  kMayHaveStarted,  // bytes were sent, no answer yet
  kStarted,         // the engine accepted it
};

struct EngineCall {
  Endpoint endpoint;
  std::string body;     // chat completion request, "stream": true
  std::string attempt;  // unique id of this attempt; the engine runs an id once
  std::string owner;    // opaque tag of the caller; the engine gives it back on resume
  int priority = 0;     // 0 first
  // A kept-alive connection may break in a way that hides whether bytes arrived; requests that
  // may not run twice use a new one.
  bool fresh_connection = false;
  Duration connect_timeout = milliseconds(500);
  Duration head_timeout = seconds(5);  // to the engine's acceptance
};

struct EngineEvent {
  enum class Kind { kToken, kFinished };
  Kind kind = Kind::kToken;
  std::string data;           // the event's JSON as sent
  std::string text;           // kToken: the text it adds
  int64_t offset = 0;         // tokens up to and including this one
  std::string finish_reason;  // kFinished
};

// Belongs to one thread and one coroutine, except Close().
class EngineStream {
 public:
  EngineStream(HttpConnectionPool& pool, Endpoint endpoint);
  ~EngineStream();

  // Sends the request. Errors: kConnectFailed, kConnectionLost, kTimeout, kBackendRefused (the
  // engine did not start it), kMalformedRequest (the engine rejects the request as such; Detail()
  // has its body), kBackendFailed. State() tells what the engine may have done.
  boost::asio::awaitable<absl::Status> Open(const EngineCall& call);

  // Takes up a stream at `offset`. kUnknownStream when the engine does not hold it or `owner` is
  // not the tag that it was opened with.
  boost::asio::awaitable<absl::Status> Resume(const std::string& attempt, int64_t offset,
                                              const std::string& owner);

  // The next event; an empty optional after the end. kConnectionLost when the engine broke off,
  // kSuperseded when another connection took over the stream.
  boost::asio::awaitable<absl::StatusOr<std::optional<EngineEvent>>> Next(Duration timeout);

  // Ends a pending call with kConnectionLost. On the stream's thread.
  void Close();

  RunState State() const { return state_; }
  // True when the engine said it is leaving.
  bool Leaving() const { return leaving_; }
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
  RunState state_ = RunState::kNotStarted;
  bool leaving_ = false;
  bool finished_ = false;
  bool closed_ = false;
  std::string detail_;
};

// Tells the engine to stop computing a stream. Best effort.
boost::asio::awaitable<void> CancelStream(boost::asio::any_io_executor executor, Endpoint endpoint,
                                          std::string attempt);

}  // namespace cartsail
