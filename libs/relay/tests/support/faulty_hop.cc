#include "faulty_hop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace cartsail::testing {
namespace {

constexpr char kOwnAddress[] = "127.0.0.1";

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  address.sin_port = htons(endpoint.port);
  return address;
}

// Passes on what has come; false when the connection ended.
bool PassOn(int from, int to) {
  std::array<char, 4096> bytes{};
  const ssize_t received = recv(from, bytes.data(), bytes.size(), 0);
  if (received <= 0) return false;
  return send(to, bytes.data(), static_cast<size_t>(received), MSG_NOSIGNAL) == received;
}

}  // namespace

FaultyHop::FaultyHop(const Endpoint& node, std::chrono::milliseconds silence, std::string last)
    : node_(node), silence_(silence), last_(std::move(last)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = AddressOf({kOwnAddress, 0});
  bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(listener_, 64);
  socklen_t size = sizeof(address);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

FaultyHop::~FaultyHop() {
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (std::thread& thread : threads_) thread.join();
}

Endpoint FaultyHop::Address() const { return {kOwnAddress, port_}; }

void FaultyHop::Accept() {
  while (true) {
    const int caller = accept(listener_, nullptr, nullptr);
    if (caller < 0) return;
    threads_.emplace_back([this, caller] { Pass(caller); });
  }
}

void FaultyHop::Pass(int caller) {
  const int node = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = AddressOf(node_);
  bool is_open = connect(node, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  while (is_open) {
    std::array<pollfd, 2> ends = {{{caller, POLLIN, 0}, {node, POLLIN, 0}}};
    if (poll(ends.data(), ends.size(), static_cast<int>(silence_.count())) == 0) {
      (void)send(caller, last_.data(), last_.size(), MSG_NOSIGNAL);
      break;
    }
    if (ends[0].revents != 0) is_open = PassOn(caller, node);
    if (is_open && ends[1].revents != 0) is_open = PassOn(node, caller);
  }
  close(node);
  close(caller);
}

}  // namespace cartsail::testing
