// A listening socket on a free port of the loopback address, for stand-ins of tests.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

namespace cartsail::testing {

struct LoopbackListener {
  int socket = -1;
  uint16_t port = 0;
};

// `receive_bytes`: size of the receive buffers of accepted connections; 0: the kernel's choice.
inline LoopbackListener ListenOnLoopback(int receive_bytes = 0) {
  LoopbackListener listener;
  listener.socket = socket(AF_INET, SOCK_STREAM, 0);
  if (receive_bytes > 0) {
    setsockopt(listener.socket, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(listener.socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(listener.socket, SOMAXCONN);
  socklen_t size = sizeof(address);
  getsockname(listener.socket, reinterpret_cast<sockaddr*>(&address), &size);
  listener.port = ntohs(address.sin_port);
  return listener;
}

}  // namespace cartsail::testing
