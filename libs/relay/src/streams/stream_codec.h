// Encodes what nodes ask and tell each other of begun streams. Times are sent as what is left at
// `now`. Pure.
#pragma once

#include <optional>

#include "streams/stream_message.h"
#include "wire/messages.capnp.h"

namespace cartsail {

void EncodeStreamQuestion(const StreamQuestion& question, TimePoint now,
                          wire::Datagram::Builder datagram);
void EncodeStreamAnswer(const StreamAnswer& answer, TimePoint now,
                        wire::Datagram::Builder datagram);

// Nothing when it is of a later build.
std::optional<StreamQuestion> DecodeStreamQuestion(wire::StreamQuestion::Reader root,
                                                   TimePoint now);
std::optional<StreamAnswer> DecodeStreamAnswer(wire::StreamAnswer::Reader root, TimePoint now);

}  // namespace cartsail
