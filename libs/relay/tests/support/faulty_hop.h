// A hop between callers and a node that gives up on answers that are silent, as a node must not.
#pragma once

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "cartsail/net/http_types.h"

namespace cartsail::testing {

class FaultyHop {
 public:
  // Passes on what comes from `node` until nothing has come for `silence`. Then it sends `last` to
  // the caller and closes the connection.
  FaultyHop(const Endpoint& node, std::chrono::milliseconds silence, std::string last);
  ~FaultyHop();

  // Where callers reach it.
  Endpoint Address() const;

 private:
  void Accept();
  void Pass(int caller);

  const Endpoint node_;
  const std::chrono::milliseconds silence_;
  const std::string last_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace cartsail::testing
