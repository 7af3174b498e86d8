// What each node tells its peers regularly. A plain struct.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_book.h"

namespace cartsail {

struct NodeDigest {
  std::string node;
  std::string zone;
  int64_t catalog_revision = 0;  // of the store: all changes up to it are known
  int64_t document_version = 0;
  std::optional<Duration> confirmed_age;  // since the store last confirmed the document
  Duration interval{};                    // to the next digest
  DispatchDigest dispatch;
  std::vector<std::string> hosts;  // some other nodes, heard lately
  bool stopping = false;
  double capacity = 0;  // share of a core that the node may use
  Duration uptime{};
  // Told to a coordinator: this node's questions whose requests have not ended. The loads are then
  // without those that this coordinator placed.
  std::optional<std::vector<QuestionId>> live_questions;
};

}  // namespace cartsail
