// Queries engines for the prompt parts in their caches when this node becomes the coordinator of
// their service. The previous coordinator's knowledge is lost with it, but the engines' caches are
// not. Each engine is queried at most once. Single-threaded.
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

  // Does nothing if engines do not list their caches or the mechanism is disabled.
  void Start();

 private:
  // Since when this node has, or has not, been the first in rank for a service.
  struct Coordination {
    TimePoint since;
    bool is_first = false;
    bool queried = false;
  };

  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> QueryQueued();
  boost::asio::awaitable<void> Query(Backend engine);
  absl::StatusOr<std::vector<PromptPart>> PartsOf(
      const absl::StatusOr<HttpResponse>& response) const;
  void Check(TimePoint now);
  void Enqueue(const std::string& service);

  RelayContext& context_;
  TimePoint started_;
  std::map<std::string, Coordination> services_;
  std::set<BackendKey> seen_;  // queried, left out, or new since this node became coordinator
  std::deque<Backend> queue_;
  int queries_in_progress_ = 0;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace cartsail
