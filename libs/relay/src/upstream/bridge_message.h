// The bridge protocol, by which one node relays HTTP exchanges with a back end for another over one
// TCP connection, the bridge. The requesting node sends an order, receives a one-byte result, and
// then sends requests, each preceded by a BridgedRequest; one with zero bytes reports that the
// previous response was read completely. The bridging node sends the back end's response in frames,
// so that a response delimited by connection close can be told from a truncated one, wherever the
// truncation occurs. Plain structs and their encoding.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

struct BridgeOrder {
  BackendKey backend = 0;
  // Requires a new connection to the back end: an idle one does not prove that the path works.
  bool fresh = false;
  Duration patience{};  // time limit for connecting to the back end
};

// The result of an order, sent as one byte.
enum class BridgeResult : uint8_t {
  kConnected,
  kRefused,  // the back end's host refuses connections from the bridging node
  kFailed,   // the bridging node could not connect in time
  kNoPath,   // the bridging node knows its own path to the back end to be cut
  kUnknown,  // the bridging node does not know the back end, or may not contact it
  kBusy,     // the bridging node is out of bridge memory, or is draining
  kLost,     // never sent: the bridging node did not answer
};

inline constexpr uint8_t kBridgeResults = 7;  // number of BridgeResult values

std::string_view BridgeResultName(BridgeResult result);

// Precedes each request on a bridge. Zero `bytes`: the previous response was read completely.
struct BridgedRequest {
  std::string id;
  uint64_t bytes = 0;  // length of the request that follows
  Duration left{};     // remaining time that the caller waits
};

// Messages of the requesting node are preceded by their length in 4 bytes, big-endian.
inline constexpr size_t kBridgeLengthBytes = 4;
inline constexpr size_t kMostBridgeMessageBytes = 4096;

std::string EncodeBridgeOrder(const BridgeOrder& order);
std::string EncodeBridgedRequest(const BridgedRequest& request);

// `bytes` excludes the length prefix; std::nullopt if they are not a valid message.
std::optional<BridgeOrder> DecodeBridgeOrder(std::string_view bytes);
std::optional<BridgedRequest> DecodeBridgedRequest(std::string_view bytes);

// Decodes the length prefix; std::nullopt if the message exceeds kMostBridgeMessageBytes.
std::optional<size_t> BridgeMessageLength(const std::array<char, kBridgeLengthBytes>& bytes);

// What a frame from the bridging node carries or reports.
enum class FrameKind : uint8_t {
  kData,
  kEnd,       // the back end closed its connection in order, having taken the whole request
  kBroken,    // the connection to the back end failed, or was closed earlier
  kWithheld,  // the request was not forwarded: the back end may no longer receive requests
};

struct FrameHead {
  FrameKind kind = FrameKind::kData;
  uint32_t bytes = 0;  // length of the payload that follows
};

inline constexpr size_t kFrameHeadBytes = 4;
inline constexpr uint32_t kMostFrameBytes = 1 << 16;

std::array<char, kFrameHeadBytes> EncodeFrameHead(const FrameHead& head);

// std::nullopt if the bytes are not a valid frame head.
std::optional<FrameHead> DecodeFrameHead(const std::array<char, kFrameHeadBytes>& bytes);

}  // namespace cartsail
