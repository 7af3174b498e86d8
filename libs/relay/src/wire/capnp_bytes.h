// Conversion between Cap'n Proto messages and packed byte strings.
#pragma once

#include <capnp/message.h>

#include <functional>
#include <string>
#include <string_view>

namespace cartsail {

std::string PackedBytes(capnp::MessageBuilder& message);

// Decodes `bytes` and calls `read` with the message. Returns false when decoding or `read` fails.
bool ReadPacked(std::string_view bytes, const std::function<void(capnp::MessageReader&)>& read);

std::string TextOf(capnp::Text::Reader text);

std::string BytesOf(capnp::Data::Reader data);

// Copies `bytes` into `data`, which must have the same size.
void SetBytes(capnp::Data::Builder data, std::string_view bytes);

}  // namespace cartsail
