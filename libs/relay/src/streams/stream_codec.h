// Cap'n Proto encoding of the messages that nodes exchange about started streams. Points in time
// are sent as the remaining time or the age at `now`. Pure.
#pragma once

#include <optional>

#include "streams/stream_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

void EncodeStreamQuestion(const StreamQuestion& question, TimePoint now,
                          wire::Datagram::Builder datagram);
void EncodeStreamAnswer(const StreamAnswer& answer, TimePoint now,
                        wire::Datagram::Builder datagram);

// Return nullopt when the kind or the source is unknown: the message is from a later build.
std::optional<StreamQuestion> DecodeStreamQuestion(wire::StreamQuestion::Reader root,
                                                   TimePoint now);
std::optional<StreamAnswer> DecodeStreamAnswer(wire::StreamAnswer::Reader root, TimePoint now);

}  // namespace cartsail
