// KeyValueStore over the etcd v3 JSON gateway (POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant,
// /v3/watch; keys and values in base64).
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "cartsail/base/clock.h"
#include "cartsail/net/http_types.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

struct EtcdClientOptions {
  Endpoint endpoint;
  Duration call_timeout = seconds(2);
  // A watch that is silent for so long is taken up anew: a dead connection must not hide changes.
  Duration watch_timeout = seconds(30);
};

// Belongs to one thread. Calls still pending when the client dies end with kPlatformUnavailable.
std::unique_ptr<KeyValueStore> MakeEtcdClient(boost::asio::any_io_executor executor,
                                              EtcdClientOptions options);

}  // namespace cartsail
