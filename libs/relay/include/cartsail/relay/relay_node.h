// A node that relays requests byte for byte between callers and back ends that a store lists.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cartsail/relay/catalog_codec.h"
#include "cartsail/relay/duty_platform.h"
#include "cartsail/relay/relay_options.h"
#include "cartsail/relay/wire_format.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

// What a deployment brings: its spelling of messages and documents, its store and its settings.
struct RelayDeployment {
  std::unique_ptr<WireFormat> format;
  std::unique_ptr<CatalogCodec> codec;
  CatalogKeys keys;
  // The store; its watches wait that long at most before they ask anew.
  std::function<std::unique_ptr<KeyValueStore>(boost::asio::io_context&, Duration watch_wait)>
      make_store;
  // The calls of the duties; none where the deployment has no duties.
  std::function<std::unique_ptr<DutyPlatform>(boost::asio::io_context&)> make_duty_platform;
  // Reads the settings again, at SIGHUP.
  std::function<absl::StatusOr<RelayOptions>()> reload;
};

// Runs until SIGTERM or SIGINT and a completed drain. Returns OK after a planned stop, or why the
// start failed.
absl::Status RunRelayNode(const RelayOptions& options, const RelayDeployment& deployment);

}  // namespace cartsail
