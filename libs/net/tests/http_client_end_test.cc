// How the client tells that an answer was cut, by all of its framings.
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <string>
#include <thread>

#include "cartsail/net/http_client.h"
#include "testing/criterion.h"
#include "testing/loopback.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Answers one request with `bytes` and closes, or resets the connection.
class OneAnswer {
 public:
  explicit OneAnswer(std::string bytes, bool resets = false)
      : bytes_(std::move(bytes)), resets_(resets) {
    const testing::LoopbackListener listener = testing::ListenOnLoopback();
    listener_ = listener.socket;
    port_ = listener.port;
    thread_ = std::thread([this] { Serve(); });
  }

  ~OneAnswer() {
    thread_.join();
    close(listener_);
  }

  Endpoint Address() const { return {"127.0.0.1", port_}; }

 private:
  void Serve() const {
    const int peer = accept(listener_, nullptr, nullptr);
    std::string request;
    char bytes[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t received = recv(peer, bytes, sizeof(bytes), 0);
      if (received <= 0) break;
      request.append(bytes, static_cast<size_t>(received));
    }
    (void)send(peer, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
    const linger now{1, 0};
    if (resets_) setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(peer);
  }

  std::string bytes_;
  bool resets_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::thread thread_;
};

absl::StatusOr<HttpResponse> Ask(const std::string& answer, bool resets = false) {
  OneAnswer server(answer, resets);
  asio::io_context io;
  absl::StatusOr<HttpResponse> response;
  const auto done = [&](const std::exception_ptr&, absl::StatusOr<HttpResponse> result) {
    response = std::move(result);
    io.stop();
  };
  asio::co_spawn(io, Fetch(io.get_executor(), server.Address(), HttpRequest{}, seconds(5)), done);
  io.run();
  return response;
}

Test(http_client_end, an_answer_with_a_length_or_chunks_is_whole_or_an_error) {
  const std::string heads[] = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n",
                               "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
  for (const std::string& head : heads) {
    const bool is_chunked = head.find("chunked") != std::string::npos;
    const std::string body = is_chunked ? "a\r\n0123456789\r\n0\r\n\r\n" : "0123456789";
    for (size_t bytes = 0; bytes <= body.size(); ++bytes) {
      const absl::StatusOr<HttpResponse> response = Ask(head + body.substr(0, bytes));
      cr_assert(response.ok() == (bytes == body.size()), "%zu bytes", bytes);
      if (!response.ok()) continue;
      cr_assert(response->body == "0123456789" && response->body_end == BodyEnd::kWhole);
    }
  }
}

Test(http_client_end, an_answer_that_ends_with_its_connection_may_lack_its_end) {
  for (const std::string version : {"1.0", "1.1"}) {
    const absl::StatusOr<HttpResponse> response =
        Ask("HTTP/" + version + " 200 OK\r\nConnection: close\r\n\r\n01234");
    cr_assert(response.ok() && response->body == "01234");
    cr_assert(response->body_end == BodyEnd::kUnknown);
  }
}

Test(http_client_end, an_answer_without_a_body_is_whole) {
  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    const absl::StatusOr<HttpResponse> response = Ask("HTTP/1.1 " + status + "\r\n\r\n");
    cr_assert(response.ok() && response->body.empty() && response->body_end == BodyEnd::kWhole);
  }
}

Test(http_client_end, a_status_that_http_does_not_know_is_an_error) {
  for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
    const absl::StatusOr<HttpResponse> response =
        Ask("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nhi");
    cr_expect(!response.ok(), "%s", status.c_str());
  }
}

Test(http_client_end, interim_heads_are_read_past_up_to_a_limit) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  const absl::StatusOr<HttpResponse> response = Ask(interim + answer);
  cr_assert(response.ok() && response->status == 200 && response->body == "hi");
  std::string endless;
  for (int i = 0; i < 100; ++i) endless += interim;
  cr_assert(!Ask(endless + answer).ok());
}

Test(http_client_end, a_transfer_coding_that_is_not_decoded_is_an_error) {
  for (const std::string coding : {"gzip", "gzip, chunked", "xchunked"}) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
    cr_expect(!Ask(head + "2\r\nhi\r\n0\r\n\r\n").ok(), "%s", coding.c_str());
  }
}

Test(http_client_end, an_answer_that_only_its_connection_ends_is_an_error_where_that_was_reset) {
  for (const std::string part : {"", "01234"}) {
    cr_expect(!Ask("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part, true).ok());
  }
}

}  // namespace
}  // namespace cartsail
