// The message that nodes send each other, and its encoding (Cap'n Proto, packed). Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/dispatcher.h"

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
};

std::string EncodeNodeDigest(const NodeDigest& digest);

// Nothing when the bytes are no digest.
std::optional<NodeDigest> DecodeNodeDigest(std::string_view bytes);

}  // namespace cartsail
