// A server for tests that answers one request with bytes that never end. Blocking sockets, a
// thread.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

#include "testing/loopback.h"

namespace cartsail::testing {

// Far more than any reader may take of an answer that is none.
inline constexpr size_t kEndlessBytes = 256 << 20;

// Answers one request with `begin`, and then with `filler` until the connection ends or
// kEndlessBytes were taken.
class EndlessServer {
 public:
  EndlessServer(std::string begin, std::string filler)
      : begin_(std::move(begin)), filler_(std::move(filler)) {
    const LoopbackListener listener = ListenOnLoopback();
    listener_ = listener.socket;
    port_ = listener.port;
    thread_ = std::thread([this] { Serve(); });
  }

  ~EndlessServer() {
    thread_.join();
    close(listener_);
  }

  uint16_t Port() const { return port_; }
  // Bytes of the filler that the connection has taken.
  size_t Taken() const { return taken_; }

 private:
  void Serve() {
    const int peer = accept(listener_, nullptr, nullptr);
    std::string request;
    char bytes[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t received = recv(peer, bytes, sizeof(bytes), 0);
      if (received <= 0) break;
      request.append(bytes, static_cast<size_t>(received));
    }
    (void)send(peer, begin_.data(), begin_.size(), MSG_NOSIGNAL);
    ssize_t sent = 0;
    while (sent >= 0 && taken_ < kEndlessBytes) {
      sent = send(peer, filler_.data(), filler_.size(), MSG_NOSIGNAL);
      taken_ += static_cast<size_t>(std::max<ssize_t>(sent, 0));
    }
    close(peer);
  }

  std::string begin_;
  std::string filler_;
  std::atomic<size_t> taken_{0};
  int listener_ = -1;
  uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace cartsail::testing
