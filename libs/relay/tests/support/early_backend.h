// A back end for tests that answers while the request is still being sent to it, and ends its
// connection before it has read the request. Blocking sockets, a thread a connection.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace cartsail::testing {

// How an early answer's connection ends, when the answer has been delivered and the sender of the
// request is waiting for room to send more.
enum class EarlyEnd {
  kReset,
  kHalfClosed,     // in order; the rest of the request is not read, and not refused either
  kClosedAndRead,  // in order; the rest of the request is then read
};

struct EarlyAnswer {
  std::string bytes;
  // False: the whole request is read first, and the connection stays open.
  bool is_early = false;
  EarlyEnd end = EarlyEnd::kReset;
};

class EarlyBackend {
 public:
  // Called with a request's head.
  using Handler = std::function<EarlyAnswer(const std::string& head)>;

  explicit EarlyBackend(Handler handler);
  // Waits for the threads of all connections, which end when their clients have gone.
  ~EarlyBackend();

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept();
  void Serve(int socket);

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;  // of the acceptor's thread until it has ended
  std::thread acceptor_;
};

}  // namespace cartsail::testing
