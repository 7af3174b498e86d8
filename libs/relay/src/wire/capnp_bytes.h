// Packed Cap'n Proto messages as byte strings.
#pragma once

#include <capnp/message.h>

#include <functional>
#include <string>
#include <string_view>

namespace cartsail {

std::string PackedBytes(capnp::MessageBuilder& message);

// Calls `read` with the message; false when the bytes are none.
bool ReadPacked(std::string_view bytes, const std::function<void(capnp::MessageReader&)>& read);

std::string TextOf(capnp::Text::Reader text);

std::string BytesOf(capnp::Data::Reader data);

// Fills `data`, which has the size of `bytes`.
void SetBytes(capnp::Data::Builder data, std::string_view bytes);

}  // namespace cartsail
