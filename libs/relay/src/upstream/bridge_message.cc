#include "upstream/bridge_message.h"

#include <capnp/message.h>

#include <boost/endian/conversion.hpp>

#include "wire/capnp_bytes.h"
#include "wire/messages.capnp.h"
#include "wire/wire_number.h"

namespace cartsail {
namespace {

// A frame head holds the kind in its upper byte and the payload length in the lower three.
constexpr uint32_t kKindShift = 24;
constexpr uint32_t kLengthMask = (1U << kKindShift) - 1;

void StoreNumber(uint32_t number, char* bytes) {
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes), number);
}

uint32_t LoadNumber(const char* bytes) {
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes));
}

std::string WithLength(capnp::MessageBuilder& message) {
  const std::string packed = PackedBytes(message);
  std::string bytes(kBridgeLengthBytes, '\0');
  StoreNumber(static_cast<uint32_t>(packed.size()), bytes.data());
  return bytes + packed;
}

}  // namespace

std::string_view BridgeResultName(BridgeResult result) {
  switch (result) {
    case BridgeResult::kConnected:
      return "connected";
    case BridgeResult::kRefused:
      return "refused";
    case BridgeResult::kFailed:
      return "failed";
    case BridgeResult::kNoPath:
      return "no_path";
    case BridgeResult::kUnknown:
      return "unknown";
    case BridgeResult::kBusy:
      return "busy";
    case BridgeResult::kLost:
      return "lost";
  }
  return "unreadable";
}

std::string EncodeBridgeOrder(const BridgeOrder& order) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::BridgeOrder>();
  root.setBackend(order.backend);
  root.setFresh(order.fresh);
  root.setPatienceMs(BoundedTo<uint32_t>(ToMillis(order.patience)));
  return WithLength(message);
}

std::string EncodeBridgedRequest(const BridgedRequest& request) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::BridgedRequest>();
  root.setId(request.id);
  root.setBytes(request.bytes);
  root.setLeftMs(BoundedTo<uint32_t>(ToMillis(request.left)));
  return WithLength(message);
}

std::optional<BridgeOrder> DecodeBridgeOrder(std::string_view bytes) {
  BridgeOrder order;
  const bool ok = ReadPacked(bytes, [&order](capnp::MessageReader& message) {
    const auto root = message.getRoot<wire::BridgeOrder>();
    order = {root.getBackend(), root.getFresh(), milliseconds(root.getPatienceMs())};
  });
  return ok ? std::optional(order) : std::nullopt;
}

std::optional<BridgedRequest> DecodeBridgedRequest(std::string_view bytes) {
  BridgedRequest request;
  const bool ok = ReadPacked(bytes, [&request](capnp::MessageReader& message) {
    const auto root = message.getRoot<wire::BridgedRequest>();
    request = {TextOf(root.getId()), root.getBytes(), milliseconds(root.getLeftMs())};
  });
  return ok ? std::optional(request) : std::nullopt;
}

std::optional<size_t> BridgeMessageLength(const std::array<char, kBridgeLengthBytes>& bytes) {
  const size_t length = LoadNumber(bytes.data());
  return length <= kMostBridgeMessageBytes ? std::optional(length) : std::nullopt;
}

std::array<char, kFrameHeadBytes> EncodeFrameHead(const FrameHead& head) {
  std::array<char, kFrameHeadBytes> bytes{};
  StoreNumber((static_cast<uint32_t>(head.kind) << kKindShift) | head.bytes, bytes.data());
  return bytes;
}

std::optional<FrameHead> DecodeFrameHead(const std::array<char, kFrameHeadBytes>& bytes) {
  const uint32_t number = LoadNumber(bytes.data());
  const uint32_t kind = number >> kKindShift;
  const FrameHead head{static_cast<FrameKind>(kind), number & kLengthMask};
  const bool is_known = kind <= static_cast<uint32_t>(FrameKind::kWithheld);
  return is_known && head.bytes <= kMostFrameBytes ? std::optional(head) : std::nullopt;
}

}  // namespace cartsail
