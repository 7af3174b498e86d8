// What of a kept connection may serve another request.
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <string>
#include <thread>
#include <vector>

#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"
#include "testing/criterion.h"
#include "testing/loopback.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

std::string AnswerWith(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What a server does with one request.
struct Step {
  std::string bytes;
  bool resets = false;       // ends the connection after them
  std::string surplus = {};  // sent some time after them
};

// Does one step for each request, whatever its connection.
class SteppingServer {
 public:
  explicit SteppingServer(std::vector<Step> steps) : steps_(std::move(steps)) {
    const testing::LoopbackListener listener = testing::ListenOnLoopback();
    listener_ = listener.socket;
    port_ = listener.port;
    acceptor_ = std::thread([this] { Accept(); });
  }

  ~SteppingServer() {
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (std::thread& thread : threads_) thread.join();
    close(listener_);
  }

  Endpoint Address() const { return {"127.0.0.1", port_}; }
  size_t Requests() const { return requests_; }

  // Waits until all surplus bytes have been delivered.
  void AwaitSurplus() const {
    while (!surplus_delivered_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  void Accept() {
    while (true) {
      const int socket = accept(listener_, nullptr, nullptr);
      if (socket < 0) return;
      threads_.emplace_back([this, socket] {
        while (Serve(socket)) {
        }
        close(socket);
      });
    }
  }

  bool Serve(int socket) {
    std::string request;
    char bytes[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t received = recv(socket, bytes, sizeof(bytes), 0);
      if (received <= 0) return false;
      request.append(bytes, static_cast<size_t>(received));
    }
    const size_t number = requests_++;
    if (number >= steps_.size()) return false;
    const Step& step = steps_[number];
    Deliver(socket, step.bytes);
    if (step.resets) {
      const linger now{1, 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      return false;
    }
    if (!step.surplus.empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      Deliver(socket, step.surplus);
      surplus_delivered_ = true;
    }
    return true;
  }

  static void Deliver(int socket, const std::string& bytes) {
    (void)send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    int unsent = 1;
    while (ioctl(socket, SIOCOUTQ, &unsent) == 0 && unsent > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::vector<Step> steps_;
  std::atomic<size_t> requests_{0};
  std::atomic<bool> surplus_delivered_{false};
  int listener_ = -1;
  uint16_t port_ = 0;
  std::vector<std::thread> threads_;  // of the acceptor's thread until it has ended
  std::thread acceptor_;
};

class PooledClient {
 public:
  absl::StatusOr<HttpResponse> Ask(const SteppingServer& server,
                                   const std::string& method = "GET") {
    absl::StatusOr<HttpResponse> response;
    const auto done = [&](const std::exception_ptr&, absl::StatusOr<HttpResponse> result) {
      response = std::move(result);
      io_.stop();
    };
    HttpRequest request;
    request.method = method;
    asio::co_spawn(io_, FetchPooled(pool_, server.Address(), request, seconds(2)), done);
    io_.restart();
    io_.run();
    return response;
  }

 private:
  asio::io_context io_;
  HttpConnectionPool pool_{io_.get_executor()};
};

// The bytes look like an answer.
Test(http_client_pool, surplus_bytes_are_not_the_next_answer) {
  const std::string surplus = AnswerWith("surplus");
  SteppingServer server({{AnswerWith("first") + surplus}, {AnswerWith("second")}});
  PooledClient client;
  const absl::StatusOr<HttpResponse> first = client.Ask(server);
  cr_assert(first.ok() && first->body == "first");
  const absl::StatusOr<HttpResponse> second = client.Ask(server);
  cr_assert(second.ok() && second->body == "second", "%s", second->body.c_str());
}

Test(http_client_pool, surplus_bytes_that_come_late_are_not_the_next_answer) {
  SteppingServer server(
      {{AnswerWith("first"), false, AnswerWith("surplus")}, {AnswerWith("second")}});
  PooledClient client;
  const absl::StatusOr<HttpResponse> first = client.Ask(server);
  cr_assert(first.ok() && first->body == "first");
  server.AwaitSurplus();
  const absl::StatusOr<HttpResponse> second = client.Ask(server);
  cr_assert(second.ok() && second->body == "second", "%s", second->body.c_str());
}

Test(http_client_pool, bytes_after_an_answer_without_a_body_are_not_the_next_answer) {
  const std::string surplus = AnswerWith("surplus");
  for (const std::string head : {"204 No Content", "304 Not Modified"}) {
    SteppingServer server({{"HTTP/1.1 " + head + "\r\n\r\n" + surplus}, {AnswerWith("second")}});
    PooledClient client;
    const absl::StatusOr<HttpResponse> first = client.Ask(server);
    cr_assert(first.ok() && first->body.empty());
    const absl::StatusOr<HttpResponse> second = client.Ask(server);
    cr_assert(second.ok() && second->body == "second", "%s", second->body.c_str());
  }
}

Test(http_client_pool, an_answer_to_head_has_no_body) {
  SteppingServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}});
  PooledClient client;
  const absl::StatusOr<HttpResponse> response = client.Ask(server, "HEAD");
  cr_assert(response.ok() && response->body.empty());
}

// The server has run it: only what the server may never have seen is sent again.
Test(http_client_pool, a_request_whose_answer_was_cut_is_not_sent_again) {
  for (const std::string part :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234", "HTTP/1.1 2"}) {
    SteppingServer server({{AnswerWith("first")}, {part, true}, {AnswerWith("again")}});
    PooledClient client;
    cr_assert(client.Ask(server).ok());
    const absl::StatusOr<HttpResponse> cut = client.Ask(server);
    cr_expect(!cut.ok() && KindOf(cut.status()) == ErrorKind::kConnectionLost);
    cr_expect(server.Requests() == 2, "%zu requests", server.Requests());
  }
}

Test(http_client_pool, a_request_whose_kept_connection_was_closed_is_sent_again) {
  SteppingServer server({{AnswerWith("first")}, {"", true}, {AnswerWith("again")}});
  PooledClient client;
  cr_assert(client.Ask(server).ok());
  const absl::StatusOr<HttpResponse> response = client.Ask(server);
  cr_expect(response.ok() && response->body == "again");
}

}  // namespace
}  // namespace cartsail
