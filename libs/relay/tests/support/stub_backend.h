// A back end for tests: answers each request with bytes that the test gives. Blocking sockets, a
// thread a connection.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cartsail::testing {

struct StubAnswer {
  std::vector<std::string> pieces;         // sent one after the other
  int pause_ms = 0;                        // before each piece but the first
  std::function<void()> before_next = {};  // called before each piece but the first, if set
  int delay_ms = 0;                        // before the first piece
  bool close_after = false;
  bool reset_after = false;
  std::function<void()> before_each = {};  // called right before each piece is sent, if set
};

class StubBackend {
 public:
  // Called with each request's head and body.
  using Handler = std::function<StubAnswer(const std::string& request)>;

  explicit StubBackend(Handler handler);
  // Ends all connections and waits for their threads, which use the handler and what it captures.
  ~StubBackend();

  std::string Address() const;
  std::vector<std::string> Requests();
  int Connections() const { return connections_; }

  // New ones are taken.
  void CloseConnections();

  // As a process that ends: all connections break at once, and new ones are refused. May be called
  // by the handler.
  void Crash();

 private:
  void Accept();
  void Serve(int socket);
  void Converse(int socket);
  // False when this ends meanwhile.
  bool Pause(int millis);

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::condition_variable ending_;
  std::set<int> sockets_;  // of open connections
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Value of a header in a message's head, or "".
std::string HeaderOf(const std::string& message, const std::string& name);

// An answer as the default wire format wants it: the request's id, a signature, a length.
std::string SignedAnswer(const std::string& request, const std::string& body, int status = 200,
                         const std::string& more_headers = "");

}  // namespace cartsail::testing
