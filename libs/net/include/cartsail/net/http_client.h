// An HTTP/1.1 client over Boost.Beast, with the phases of an exchange kept apart so that a caller
// knows what the server may have seen when something breaks.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/net/body_end.h"
#include "cartsail/net/http_types.h"

namespace cartsail {

// One connection, used by one coroutine at a time.
class HttpConnection {
 public:
  virtual ~HttpConnection() = default;

  // kConnectFailed when no connection could be made: nothing was sent.
  virtual boost::asio::awaitable<absl::Status> Connect(const Endpoint& endpoint,
                                                       Duration timeout) = 0;

  // Writes the request. On failure (kConnectionLost, kTimeout) bytes may have been sent.
  virtual boost::asio::awaitable<absl::Status> Send(const HttpRequest& request,
                                                    Duration timeout) = 0;

  // Reads the status line and headers; the body of the result is empty. kBackendFailed where
  // JudgeHead() says that they are no answer's, kConnectionLost where they do not parse.
  virtual boost::asio::awaitable<absl::StatusOr<HttpResponse>> ReadHead(Duration timeout) = 0;

  // Reads some of the body; an empty string is its end. kConnectionLost where it was broken off.
  virtual boost::asio::awaitable<absl::StatusOr<std::string>> ReadSome(Duration timeout) = 0;

  // At the end of a body: kWhole, or kUnknown where only the end of its connection ended it.
  virtual BodyEnd HowBodyEnded() const = 0;

  // True once something of the answer to the last request has arrived: the server has had it.
  virtual bool HasAnswerBegun() const = 0;

  // True after a whole response was read, if the server keeps the connection open and has sent
  // nothing since: surplus bytes would be taken for the answer to the next request.
  virtual bool Reusable() const = 0;

  // Closes at once; a pending call ends with kConnectionLost. Only from the connection's thread.
  virtual void Close() = 0;
};

std::unique_ptr<HttpConnection> MakeHttpConnection(boost::asio::any_io_executor executor);

// Idle connections by endpoint. Belongs to one thread.
class HttpConnectionPool {
 public:
  explicit HttpConnectionPool(boost::asio::any_io_executor executor, size_t idle_limit = 32);

  // An idle connection to `endpoint` that is still reusable, or nullptr.
  std::unique_ptr<HttpConnection> TakeIdle(const Endpoint& endpoint);

  // A connection that is not yet connected.
  std::unique_ptr<HttpConnection> MakeNew();

  // Keeps a reusable connection; drops any other.
  void Return(const Endpoint& endpoint, std::unique_ptr<HttpConnection> connection);

 private:
  boost::asio::any_io_executor executor_;
  size_t idle_limit_;
  std::map<std::string, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

// One whole exchange on a new connection, body read up to `body_limit` bytes. Its `body_end` is
// kUnknown where only the end of the connection ended the body: formats that do not tell themselves
// that they are whole are not to be read then.
boost::asio::awaitable<absl::StatusOr<HttpResponse>> Fetch(boost::asio::any_io_executor executor,
                                                           Endpoint endpoint, HttpRequest request,
                                                           Duration timeout,
                                                           size_t body_limit = 64 << 20);

// The same, using and refilling `pool`; retries once on a new connection when a kept-alive one
// turns out closed before anything of an answer came. Only for requests that may be repeated.
boost::asio::awaitable<absl::StatusOr<HttpResponse>> FetchPooled(HttpConnectionPool& pool,
                                                                 Endpoint endpoint,
                                                                 HttpRequest request,
                                                                 Duration timeout,
                                                                 size_t body_limit = 64 << 20);

}  // namespace cartsail
