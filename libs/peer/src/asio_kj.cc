#include "asio_kj.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <string>

#include "cartsail/base/counters.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kReadBytes = 1 << 15;

kj::Exception Disconnected(const boost::system::error_code& error) {
  return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                       kj::heapString(error.message().c_str()));
}

// What an operation in flight needs, kept alive by its handler.
struct StreamState {
  explicit StreamState(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::array<char, kReadBytes> chunk;
  std::string unread;
};

// One tryRead() in progress.
struct ReadOperation {
  char* target;
  size_t min_bytes;
  size_t max_bytes;
  size_t done = 0;
  kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
};

void TakeUnread(StreamState& state, ReadOperation& operation) {
  const size_t count = std::min(state.unread.size(), operation.max_bytes - operation.done);
  std::memcpy(operation.target + operation.done, state.unread.data(), count);
  state.unread.erase(0, count);
  operation.done += count;
}

void ContinueRead(std::shared_ptr<StreamState> state, std::shared_ptr<ReadOperation> operation) {
  StreamState& current = *state;
  current.socket.async_read_some(
      asio::buffer(current.chunk), [state = std::move(state), operation = std::move(operation)](
                                       const boost::system::error_code& error, size_t count) {
        GlobalCounters().peer_bytes_received_total.Add(static_cast<int64_t>(count));
        state->unread.append(state->chunk.data(), count);
        // A dropped promise means that the target buffer is gone; the bytes stay unread.
        if (!operation->fulfiller->isWaiting()) return;
        TakeUnread(*state, *operation);
        if (operation->done >= operation->min_bytes || error == asio::error::eof) {
          operation->fulfiller->fulfill(kj::cp(operation->done));
          return;
        }
        if (error) {
          operation->fulfiller->reject(Disconnected(error));
          return;
        }
        ContinueRead(state, operation);
      });
}

class AsioStream final : public kj::AsyncIoStream {
 public:
  explicit AsioStream(tcp::socket socket)
      : state_(std::make_shared<StreamState>(std::move(socket))) {}

  ~AsioStream() noexcept(false) {
    boost::system::error_code ignored;
    state_->socket.close(ignored);
  }

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    auto operation = std::make_shared<ReadOperation>();
    operation->target = static_cast<char*>(buffer);
    operation->min_bytes = min_bytes;
    operation->max_bytes = max_bytes;
    TakeUnread(*state_, *operation);
    if (operation->done >= min_bytes) return operation->done;
    auto paf = kj::newPromiseAndFulfiller<size_t>();
    operation->fulfiller = kj::mv(paf.fulfiller);
    ContinueRead(state_, std::move(operation));
    return kj::mv(paf.promise);
  }

  kj::Promise<void> write(const void* buffer, size_t size) override {
    return WriteText(std::string(static_cast<const char*>(buffer), size));
  }

  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    std::string text;
    for (const auto& piece : pieces) {
      text.append(reinterpret_cast<const char*>(piece.begin()), piece.size());
    }
    return WriteText(std::move(text));
  }

  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }

  void shutdownWrite() override {
    boost::system::error_code ignored;
    state_->socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

 private:
  kj::Promise<void> WriteText(std::string text) {
    auto data = std::make_shared<std::string>(std::move(text));
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    GlobalCounters().peer_bytes_sent_total.Add(static_cast<int64_t>(data->size()));
    asio::async_write(state_->socket, asio::buffer(*data),
                      [state = state_, data, fulfiller](const boost::system::error_code& error,
                                                        size_t /*count*/) {
                        if (error) {
                          (*fulfiller)->reject(Disconnected(error));
                        } else {
                          (*fulfiller)->fulfill();
                        }
                      });
    return kj::mv(paf.promise);
  }

  std::shared_ptr<StreamState> state_;
};

}  // namespace

AsioEventPort::AsioEventPort(asio::io_context& context) : context_(context), loop_(*this) {}

AsioEventPort::~AsioEventPort() { *alive_ = false; }

bool AsioEventPort::wait() {
  context_.run_one();
  return false;
}

bool AsioEventPort::poll() {
  context_.poll();
  return false;
}

void AsioEventPort::setRunnable(bool runnable) {
  if (!runnable || scheduled_) return;
  scheduled_ = true;
  asio::post(context_, [this, alive = alive_] {
    if (!*alive) return;
    scheduled_ = false;
    loop_.run();
  });
}

kj::Own<kj::AsyncIoStream> WrapSocket(tcp::socket socket) {
  return kj::heap<AsioStream>(std::move(socket));
}

}  // namespace cartsail
