// Nodes before engines that pause, and callers that wait for whole answers.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/answer_oracle.h"
#include "support/path_fleet.h"
#include "support/pausing_engines.h"

namespace cartsail::testing {

// Of a request, where a test names no other. Longer than an answer and its pauses take.
inline constexpr Duration kTimeLeft = seconds(8);

struct PausingFleetOptions {
  int nodes = 3;
  int engines = 5;
  bool has_retries = false;  // false: the retry budget is spent
  int64_t max_attempts = 2;  // of the repeatable routes
  StreamShape shape;
};

class PausingFleet {
 public:
  explicit PausingFleet(const PausingFleetOptions& options);
  ~PausingFleet();

  PathFleet& Fleet() { return fleet_; }
  PausingEngines& Engines() { return engines_; }

  // Sends a request to a node, on a thread of its own. `route`: "safe", "once", "stream" or
  // "resume".
  void Ask(int node, const std::string& route, Duration time_left = kTimeLeft);

  // The same, where the caller reaches the node at `address`.
  void AskAt(const Endpoint& address, const std::string& route, Duration time_left = kTimeLeft);

  // `count` requests to each node.
  void AskAll(const std::string& route, int count, Duration time_left = kTimeLeft);

  // Waits until each stream has brought `events` events; false when that takes too long.
  bool AwaitEvents(int events);

  // Waits until `condition` holds; false when that takes too long.
  bool Await(const std::function<bool()>& condition);

  void PauseAllFor(milliseconds time);

  // Puts a newer document in force at all nodes, with another timeout.
  void ChangeConfiguration();

  // Waits for all answers; then all pauses end, and engines run what they had accepted.
  AnswerReport Finish();

 private:
  struct Call {
    AskedRequest asked;
    std::string route;
    ReceivedAnswer received;
    int events = 0;  // received so far
    std::thread thread;
  };

  void Converse(Call& call, const Endpoint& address);

  const PausingFleetOptions options_;
  PausingEngines engines_;
  PathFleet fleet_;
  RoutingDocument document_;
  std::mutex mutex_;  // of the calls' events
  std::vector<std::unique_ptr<Call>> calls_;
};

}  // namespace cartsail::testing
