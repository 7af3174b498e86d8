#include "wire/capnp_bytes.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

namespace cartsail {
namespace {

// Traversal limit of a received message, in 8-byte words.
constexpr size_t kMaxTraversalWords = 1 << 22;

}  // namespace

std::string PackedBytes(capnp::MessageBuilder& message) {
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message);
  const auto bytes = output.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

bool ReadPacked(std::string_view bytes, const std::function<void(capnp::MessageReader&)>& read) {
  const auto decode = [&] {
    const kj::ArrayPtr<const kj::byte> input_bytes(reinterpret_cast<const kj::byte*>(bytes.data()),
                                                   bytes.size());
    kj::ArrayInputStream input(input_bytes);
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxTraversalWords;
    capnp::PackedMessageReader message(input, options);
    read(message);
  };
  return kj::runCatchingExceptions(decode) == nullptr;
}

std::string TextOf(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

std::string BytesOf(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

void SetBytes(capnp::Data::Builder data, std::string_view bytes) {
  std::copy(bytes.begin(), bytes.end(), data.begin());
}

}  // namespace cartsail
