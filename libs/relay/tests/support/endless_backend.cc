#include "support/endless_backend.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "support/stub_backend.h"

namespace cartsail::testing {
namespace {

constexpr int kPollMs = 20;  // between two looks whether the test is over

// True once the socket is ready for `events`, or broken; false when `stopping` is set first.
bool WaitFor(int socket, int16_t events, const std::atomic<bool>& stopping) {
  while (!stopping) {
    pollfd descriptor{socket, events, 0};
    if (poll(&descriptor, 1, kPollMs) > 0) return true;
  }
  return false;
}

bool SendSome(int socket, const std::string& bytes, const std::atomic<bool>& stopping) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    if (!WaitFor(socket, POLLOUT, stopping)) return false;
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Reads one request; empty when the connection ended.
std::string ReadRequest(int socket, const std::atomic<bool>& stopping) {
  std::string request;
  std::array<char, 4096> bytes{};
  while (WaitFor(socket, POLLIN, stopping)) {
    const ssize_t received = recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (received <= 0) return {};
    request.append(bytes.data(), static_cast<size_t>(received));
    const size_t head_end = request.find("\r\n\r\n");
    if (head_end == std::string::npos) continue;
    const std::string length = HeaderOf(request, "Content-Length");
    if (request.size() >= head_end + 4 + (length.empty() ? 0 : std::stoul(length))) return request;
  }
  return {};
}

}  // namespace

EndlessBackend::EndlessBackend(Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(listener_, 64);
  socklen_t size = sizeof(address);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

EndlessBackend::~EndlessBackend() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (std::thread& thread : threads_) thread.join();
}

void EndlessBackend::Accept() {
  while (!stopping_) {
    const int socket = accept(listener_, nullptr, nullptr);
    if (socket < 0) return;
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void EndlessBackend::Serve(int socket) {
  while (!stopping_) {
    const std::string request = ReadRequest(socket, stopping_);
    if (request.empty()) break;
    const Answer answer = handler_(request);
    if (!SendSome(socket, answer.begin, stopping_)) break;
    if (!answer.filler.empty()) SendEndlessly(socket, answer.filler);
  }
  close(socket);
}

void EndlessBackend::SendEndlessly(int socket, const std::string& filler) {
  ++endless_;
  while (SendSome(socket, filler, stopping_)) {
  }
  --endless_;
}

}  // namespace cartsail::testing
