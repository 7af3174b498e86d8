// Asks engines which parts of prompts they hold, when this node becomes the coordinator of their
// service: another coordinator's knowledge ends with it, what engines hold does not. Each engine is
// asked once at most. One thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "cartsail/net/http_client.h"
#include "relay_context.h"

namespace cartsail {

class CacheInventory {
 public:
  explicit CacheInventory(RelayContext& context) : context_(context) {}

  // Does nothing where engines cannot be asked.
  void Start();

 private:
  // How long this node has been the first in rank for a service.
  struct Coordination {
    TimePoint since;
    bool is_first = false;
    bool asked = false;
  };

  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> AskWaiting();
  boost::asio::awaitable<void> Ask(Backend engine);
  absl::StatusOr<std::vector<PromptPart>> PartsOf(
      const absl::StatusOr<HttpResponse>& response) const;
  void Check(TimePoint now);
  void Enqueue(const std::string& service);

  RelayContext& context_;
  TimePoint started_;
  std::map<std::string, Coordination> services_;
  std::set<BackendKey> known_;  // asked, or new since this node became the coordinator
  std::deque<Backend> waiting_;
  int asking_ = 0;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace cartsail
