#include "gated_link.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "cartsail/net/http_types.h"

namespace cartsail::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

struct GatedLink::Pair {
  explicit Pair(asio::io_context& io) : node(io), engine(io) {}

  void Reset() {
    for (tcp::socket* socket : {&node, &engine}) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  tcp::socket node;
  tcp::socket engine;
  int epoch = 0;  // in which it was made
};

LinkThread::LinkThread() : guard_(io_.get_executor()), thread_([this] { io_.run(); }) {}

LinkThread::~LinkThread() {
  io_.stop();
  thread_.join();
}

void LinkThread::Run(const std::function<void()>& work) {
  std::promise<void> done;
  asio::post(io_, [&work, &done] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

GatedLink::GatedLink(LinkThread& thread, const std::string& target) : thread_(thread) {
  Endpoint endpoint;
  (void)ParseEndpoint(target, &endpoint);
  target_ = {asio::ip::make_address(endpoint.host), endpoint.port};
  listens_at_ = {asio::ip::make_address("127.0.0.1"), 0};
  thread_.Run([this] { Listen(); });
}

GatedLink::~GatedLink() {
  thread_.Run([this] {
    ResetAll();
    if (acceptor_ != nullptr) acceptor_->close();
    for (const int filler : fillers_) close(filler);
  });
}

std::string GatedLink::Address() const {
  return listens_at_.address().to_string() + ":" + std::to_string(listens_at_.port());
}

void GatedLink::Set(PathState state) {
  thread_.Run([this, state] { Apply(state); });
}

void GatedLink::Apply(PathState state) {
  ++epoch_;
  state_ = state;
  if (acceptor_ != nullptr) acceptor_->close();
  acceptor_ = nullptr;
  port_holder_.reset();
  for (const int filler : fillers_) close(filler);
  fillers_.clear();
  if (state == PathState::kReset || state == PathState::kRefused) ResetAll();
  if (state == PathState::kRefused || state == PathState::kOldOnly) return HoldPort();
  Listen();
  if (state == PathState::kSilent || state == PathState::kOneWay) StopAnswering();
}

// Bound, and listening to nobody: connections are refused, and no other process is given the port.
void GatedLink::HoldPort() {
  port_holder_.emplace(thread_.Context());
  port_holder_->open(tcp::v4());
  port_holder_->set_option(tcp::acceptor::reuse_address(true));
  port_holder_->bind(listens_at_);
}

void GatedLink::Listen() {
  acceptor_ = std::make_shared<tcp::acceptor>(thread_.Context());
  acceptor_->open(tcp::v4());
  acceptor_->set_option(tcp::acceptor::reuse_address(true));
  acceptor_->bind(listens_at_);
  acceptor_->listen();
  listens_at_ = acceptor_->local_endpoint();
  const bool answers = state_ != PathState::kSilent && state_ != PathState::kOneWay;
  if (answers) asio::co_spawn(thread_.Context(), Accept(acceptor_), asio::detached);
}

// A listener whose queue is full drops what comes to it.
void GatedLink::StopAnswering() {
  constexpr int kFillers = 3;
  listen(acceptor_->native_handle(), 0);
  for (int i = 0; i < kFillers; ++i) {
    const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    (void)connect(filler, listens_at_.data(), static_cast<socklen_t>(listens_at_.size()));
    fillers_.push_back(filler);
  }
}

asio::awaitable<void> GatedLink::Accept(std::shared_ptr<tcp::acceptor> acceptor) {
  while (acceptor->is_open()) {
    auto pair = std::make_shared<Pair>(thread_.Context());
    boost::system::error_code error;
    co_await acceptor->async_accept(pair->node, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    if (state_ == PathState::kReset) {
      pair->Reset();
      continue;
    }
    pair->epoch = epoch_;
    pairs_.push_back(pair);
    asio::co_spawn(thread_.Context(), Serve(pair), asio::detached);
  }
}

asio::awaitable<void> GatedLink::Serve(std::shared_ptr<Pair> pair) {
  boost::system::error_code error;
  co_await pair->engine.async_connect(target_, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    pair->Reset();
    co_return;
  }
  ++connections_;
  asio::co_spawn(thread_.Context(), Pass(pair, true), asio::detached);
  co_await Pass(pair, false);
}

bool GatedLink::Drops(const Pair& pair, bool to_engine) const {
  if (state_ == PathState::kSilent) return true;
  if (state_ == PathState::kNewOnly) return pair.epoch < epoch_;
  return state_ == PathState::kOneWay && !to_engine;
}

asio::awaitable<void> GatedLink::Pass(std::shared_ptr<Pair> pair, bool to_engine) {
  std::array<char, 4096> bytes{};
  tcp::socket& from = to_engine ? pair->node : pair->engine;
  tcp::socket& to = to_engine ? pair->engine : pair->node;
  while (true) {
    boost::system::error_code error;
    const size_t read = co_await from.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (Drops(*pair, to_engine)) {
      if (error) co_return;
      continue;
    }
    if (error == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, error);
      co_return;
    }
    if (!error) {
      co_await asio::async_write(to, asio::buffer(bytes.data(), read),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
      pair->Reset();
      co_return;
    }
  }
}

void GatedLink::ResetAll() {
  for (const std::weak_ptr<Pair>& weak : pairs_) {
    const std::shared_ptr<Pair> pair = weak.lock();
    if (pair != nullptr) pair->Reset();
  }
  pairs_.clear();
}

}  // namespace cartsail::testing
