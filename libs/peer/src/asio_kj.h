// A kj event loop driven by a Boost.Asio io_context, and a kj stream over an Asio socket, so that
// Cap'n Proto RPC shares the control thread with everything else on it.
#pragma once

#include <kj/async-io.h>
#include <kj/async.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace cartsail {

// Turns of the kj loop run as handlers of the io_context.
class AsioEventPort final : public kj::EventPort {
 public:
  explicit AsioEventPort(boost::asio::io_context& context);
  ~AsioEventPort();

  kj::EventLoop& Loop() { return loop_; }

  bool wait() override;
  bool poll() override;
  void setRunnable(bool runnable) override;

 private:
  boost::asio::io_context& context_;
  kj::EventLoop loop_;
  bool scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Owns `socket`. Reads and writes go through buffers of its own, so that a promise dropped by kj
// never leaves Asio with a dangling buffer. Counts bytes in the global counters.
kj::Own<kj::AsyncIoStream> WrapSocket(boost::asio::ip::tcp::socket socket);

}  // namespace cartsail
