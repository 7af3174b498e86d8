#include "relay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>

#include "cartsail/base/timer.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kHeldPoll = milliseconds(5);

struct Pair {
  explicit Pair(tcp::socket socket) : caller(std::move(socket)), server(caller.get_executor()) {}
  tcp::socket caller;
  tcp::socket server;

  void Close() {
    boost::system::error_code ignored;
    caller.close(ignored);
    server.close(ignored);
  }
};

// Shared with the coroutines, which may outlive the handle.
struct RelayState {
  RelayState(asio::io_context& io, uint16_t listen_port, Endpoint target_endpoint)
      : context(io),
        port(listen_port),
        acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
        target(std::move(target_endpoint)) {}
  asio::io_context& context;
  uint16_t port;
  tcp::acceptor acceptor;
  Endpoint target;
  RelayMode mode = RelayMode::kPass;
  Duration delay{};
  std::set<std::shared_ptr<Pair>> pairs;
};

using StatePtr = std::shared_ptr<RelayState>;

asio::awaitable<void> Sleep(StatePtr state, Duration duration) {
  Timer timer(state->context);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Pump(StatePtr state, std::shared_ptr<Pair> pair, tcp::socket& from,
                           tcp::socket& to) {
  std::array<char, 16384> buffer;
  boost::system::error_code error;
  while (!error) {
    const size_t count = co_await from.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    if (state->delay > Duration(0)) co_await Sleep(state, state->delay);
    while (state->mode == RelayMode::kBlackHole) co_await Sleep(state, kHeldPoll);
    co_await asio::async_write(to, asio::buffer(buffer.data(), count),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  if (error == asio::error::eof) {
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    // Both directions ended: nothing is left to pass.
    if (!from.is_open() || !to.is_open()) state->pairs.erase(pair);
    co_return;
  }
  pair->Close();
  state->pairs.erase(pair);
}

asio::awaitable<void> Connect(StatePtr state, std::shared_ptr<Pair> pair) {
  while (state->mode == RelayMode::kBlackHole) co_await Sleep(state, kHeldPoll);
  boost::system::error_code error;
  const tcp::endpoint target(asio::ip::make_address(state->target.host), state->target.port);
  co_await pair->server.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error || state->mode == RelayMode::kRefuse) {
    pair->Close();
    state->pairs.erase(pair);
    co_return;
  }
  // The relay must not add delays of its own.
  boost::system::error_code ignored;
  pair->caller.set_option(tcp::no_delay(true), ignored);
  pair->server.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(state->context, Pump(state, pair, pair->caller, pair->server), asio::detached);
  co_await Pump(state, pair, pair->server, pair->caller);
}

asio::awaitable<void> Accept(StatePtr state) {
  while (true) {
    boost::system::error_code error;
    tcp::socket socket =
        co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;  // closed: reopened by a later mode
    auto pair = std::make_shared<Pair>(std::move(socket));
    state->pairs.insert(pair);
    asio::co_spawn(state->context, Connect(state, pair), asio::detached);
  }
}

void Reopen(const StatePtr& state) {
  if (state->acceptor.is_open()) return;
  state->acceptor.open(tcp::v4());
  state->acceptor.set_option(asio::socket_base::reuse_address(true));
  state->acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), state->port));
  state->acceptor.listen();
  asio::co_spawn(state->context, Accept(state), asio::detached);
}

class RelayImpl final : public Relay {
 public:
  RelayImpl(asio::io_context& context, uint16_t port, Endpoint target)
      : state_(std::make_shared<RelayState>(context, port, std::move(target))), port_(port) {
    asio::co_spawn(context, Accept(state_), asio::detached);
  }

  uint16_t Port() const override { return port_; }

  void SetMode(RelayMode mode) override {
    asio::post(state_->context, [state = state_, mode] {
      state->mode = mode;
      if (mode != RelayMode::kRefuse) {
        Reopen(state);
        return;
      }
      // A closed port: connects are refused by the kernel.
      boost::system::error_code ignored;
      state->acceptor.close(ignored);
      for (const auto& pair : state->pairs) pair->Close();
      state->pairs.clear();
    });
  }

  void SetDelay(Duration delay) override {
    asio::post(state_->context, [state = state_, delay] { state->delay = delay; });
  }

 private:
  StatePtr state_;
  uint16_t port_;
};

}  // namespace

std::unique_ptr<Relay> MakeRelay(asio::io_context& context, uint16_t port, Endpoint target) {
  return std::make_unique<RelayImpl>(context, port, std::move(target));
}

}  // namespace cartsail::emulator
