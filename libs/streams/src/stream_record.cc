#include "cartsail/streams/stream_record.h"

#include "cartsail/base/hash.h"

namespace cartsail {

StreamKey KeyOfStream(std::string_view service, std::string_view tenant,
                      std::string_view request_id) {
  return Hash64(request_id, Hash64(tenant, Hash64(service)));
}

}  // namespace cartsail
