// A back end for tests that answers with some bytes, followed by filler without end until the
// connection is closed. Blocking sockets, a thread a connection.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace cartsail::testing {

class EndlessBackend {
 public:
  // What it sends for a request: `begin` once, then `filler` again and again; an empty filler: it
  // waits for the next request.
  struct Answer {
    std::string begin;
    std::string filler;
  };
  using Handler = std::function<Answer(const std::string& request)>;

  explicit EndlessBackend(Handler handler);
  // Closes all connections.
  ~EndlessBackend();

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Connections on which filler is still being sent.
  int Endless() const { return endless_; }

 private:
  void Accept();
  void Serve(int socket);
  void SendEndlessly(int socket, const std::string& filler);

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> endless_{0};
  std::vector<std::thread> threads_;  // of the acceptor's thread until it has ended
  std::thread acceptor_;
};

}  // namespace cartsail::testing
