// A node that relays requests byte for byte between callers and the back ends listed in a store.
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

// What a deployment supplies: formats of messages and documents, the store, and settings.
struct RelayDeployment {
  std::unique_ptr<WireFormat> format;
  std::unique_ptr<CatalogCodec> codec;
  CatalogKeys keys;
  // Creates the store client. Its watches time out after `watch_wait` and are then renewed.
  std::function<std::unique_ptr<KeyValueStore>(boost::asio::io_context&, Duration watch_wait)>
      make_store;
  // Creates the platform client of the duties; empty: the deployment has no duties.
  std::function<std::unique_ptr<DutyPlatform>(boost::asio::io_context&)> make_duty_platform;
  // Reads the settings again; called on SIGHUP.
  std::function<absl::StatusOr<RelayOptions>()> reload;
};

// Runs until SIGTERM or SIGINT and the end of the drain. Returns OK after a planned stop, otherwise
// the error that prevented the start.
absl::Status RunRelayNode(const RelayOptions& options, const RelayDeployment& deployment);

}  // namespace cartsail
