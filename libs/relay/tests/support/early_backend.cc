#include "support/early_backend.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

#include "support/stub_backend.h"
#include "testing/loopback.h"

namespace cartsail::testing {
namespace {

// The request that is being sent does not fit into so small a receive buffer, nor into the send
// buffer of a connection whose window stays that small.
constexpr int kReceiveBufferBytes = 4096;
// The client takes the answer up and waits for more within this time.
constexpr std::chrono::milliseconds kSettleTime(50);
constexpr int kHeldOpenMs = 3000;

void AwaitDelivery(int socket) {
  int unsent = 1;
  while (ioctl(socket, SIOCOUTQ, &unsent) == 0 && unsent > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::this_thread::sleep_for(kSettleTime);
}

// True if the client ended the connection.
bool ReadRest(int socket) {
  char bytes[4096];
  ssize_t received = 1;
  while (received > 0) received = recv(socket, bytes, sizeof(bytes), 0);
  return received == 0;
}

void End(int socket, EarlyEnd end) {
  AwaitDelivery(socket);
  if (end == EarlyEnd::kReset) {
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    return;
  }
  shutdown(socket, SHUT_WR);
  pollfd gone{socket, POLLRDHUP, 0};
  if (end == EarlyEnd::kHalfClosed) (void)poll(&gone, 1, kHeldOpenMs);
  if (end == EarlyEnd::kClosedAndRead) (void)ReadRest(socket);
}

bool SendAll(int socket, const std::string& bytes) {
  const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(bytes.size());
}

}  // namespace

EarlyBackend::EarlyBackend(Handler handler) : handler_(std::move(handler)) {
  const LoopbackListener listener = ListenOnLoopback(kReceiveBufferBytes);
  listener_ = listener.socket;
  port_ = listener.port;
  acceptor_ = std::thread([this] { Accept(); });
}

EarlyBackend::~EarlyBackend() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (std::thread& thread : threads_) thread.join();
}

void EarlyBackend::Accept() {
  while (!stopping_) {
    const int socket = accept(listener_, nullptr, nullptr);
    if (socket < 0) return;
    threads_.emplace_back([this, socket] {
      Serve(socket);
      close(socket);
    });
  }
}

void EarlyBackend::Serve(int socket) {
  std::string request;
  char bytes[1024];
  while (request.find("\r\n\r\n") == std::string::npos) {
    const ssize_t received = recv(socket, bytes, sizeof(bytes), 0);
    if (received <= 0) return;
    request.append(bytes, static_cast<size_t>(received));
  }
  const EarlyAnswer answer = handler_(request);
  if (answer.is_early) {
    if (SendAll(socket, answer.bytes)) End(socket, answer.end);
    return;
  }
  const size_t total =
      request.find("\r\n\r\n") + 4 + std::stoul("0" + HeaderOf(request, "Content-Length"));
  for (size_t read = request.size(); read < total;) {
    const ssize_t received = recv(socket, bytes, sizeof(bytes), 0);
    if (received <= 0) return;
    read += static_cast<size_t>(received);
  }
  // The connection stays open until the client ends it: an answer is delimited by its length.
  if (SendAll(socket, answer.bytes)) (void)ReadRest(socket);
}

}  // namespace cartsail::testing
