// A link between one node and one engine, for tests: a TCP proxy on loopback that fails as paths
// through a network do.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cartsail::testing {

enum class PathState {
  kWell,
  kSilent,   // nothing passes, and new connections get no answer
  kReset,    // open connections are reset, and new ones as soon as they are made
  kRefused,  // open connections are reset, new ones are refused
  kOneWay,   // what the engine sends is lost
  kOldOnly,  // open connections live on, new ones are refused
  kNewOnly,  // open connections are silent, new ones work
};

// The thread on which links run. Outlives them.
class LinkThread {
 public:
  LinkThread();
  ~LinkThread();

  boost::asio::io_context& Context() { return io_; }

  // Runs `work` on the thread and waits for it.
  void Run(const std::function<void()>& work);

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::thread thread_;
};

class GatedLink {
 public:
  // `target`: IP:PORT of the engine.
  GatedLink(LinkThread& thread, const std::string& target);
  ~GatedLink();

  // IP:PORT at which the node reaches the engine.
  std::string Address() const;

  void Set(PathState state);

  // Connections that were made to the engine.
  int Connections() const { return connections_; }

 private:
  struct Pair;

  void Apply(PathState state);
  void Listen();
  void HoldPort();
  void StopAnswering();
  boost::asio::awaitable<void> Accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
  boost::asio::awaitable<void> Serve(std::shared_ptr<Pair> pair);
  boost::asio::awaitable<void> Pass(std::shared_ptr<Pair> pair, bool to_engine);
  bool Drops(const Pair& pair, bool to_engine) const;
  void ResetAll();

  LinkThread& thread_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::endpoint listens_at_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::optional<boost::asio::ip::tcp::acceptor> port_holder_;  // while nobody listens
  std::vector<int> fillers_;  // connections that keep a listener from answering others
  std::vector<std::weak_ptr<Pair>> pairs_;
  PathState state_ = PathState::kWell;
  int epoch_ = 0;  // grows with each change of the state
  std::atomic<int> connections_{0};
};

}  // namespace cartsail::testing
