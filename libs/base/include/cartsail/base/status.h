// Typed errors: every failure is an absl::Status that carries one ErrorKind from a closed list.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cartsail {

// The closed list of failure kinds. ErrorKindName() gives the spelling used in
// JSON bodies (`error.kind`), logs and exit messages.
enum class ErrorKind {
  kInternal,
  kInvalidArgument,         // a flag, a variable or a call's argument is out of range
  kMalformedRequest,        // HTTP or JSON that does not parse
  kHeadersTooLarge,         // the header section exceeds the limit
  kBodyTooLarge,            // the body exceeds the limit
  kUnknownKey,              // no tenant has this API key
  kUnknownModel,            // no engine serves this model
  kUnknownService,          // the tenant has no such service
  kUnknownClass,            // the service has no such class
  kUnknownStream,           // no engine holds this stream, or it belongs to another caller
  kUnknownPath,             // no such endpoint
  kIdempotencyKeyRequired,  // a not-repeatable request without an idempotency key
  kIdempotencyKeyInUse,     // the idempotency key was claimed before
  kRateLimited,             // the tenant's own limit
  kOverloaded,              // given up: the pool is full at this tier
  kQueueTimeout,            // given up: waited as long as its class allows
  kNoBackend,               // no live back end serves this
  kStreamVersionUnknown,    // it is not known which version of engines began the stream
  kStreamVersionGone,       // no engine of the version that began the stream is left
  kQuarantined,             // back ends ended under this request: it is sent to no further one
  kBackendRefused,          // the back end answered that it did not start the request
  kBackendFailed,           // the back end broke off
  kConnectFailed,           // no connection could be made; nothing was sent
  kConnectionLost,          // the connection broke after bytes may have been sent
  kTimeout,                 // no answer in time
  kPreempted,               // the slot was taken back for a higher tier
  kSuperseded,              // another resumer took over this stream
  kPlatformUnavailable,     // the key-value service does not answer
  kPlatformThrottled,       // the key-value service refused by rate
  kConflict,                // compare-and-swap lost against another writer
  kInvalidSetting,          // a settings edit failed validation
  kNotReady,                // the node has no configuration yet
  kDraining,                // the node is stopping
  kPeerUnavailable,         // another node does not answer
  kHistoryLost,             // the store no longer has the changes asked for
  kStaleRevision,           // an older configuration revision than the one in force
  kCancelled,               // the caller has gone
};

// What a failed request's caller may rely on.
enum class Outcome {
  kNotRun,   // provably no back end started it
  kUnknown,  // a back end may have started it
  kPartial,  // part of the answer was delivered
};

std::string_view ErrorKindName(ErrorKind kind);
std::string_view OutcomeName(Outcome outcome);

// The HTTP status that reports `kind` to a caller.
int HttpStatusFor(ErrorKind kind);

// A non-OK status that carries `kind`. `message` is for people, never parsed.
absl::Status MakeError(ErrorKind kind, std::string_view message);

// The kind a status carries; kInternal for a status not made by MakeError().
ErrorKind KindOf(const absl::Status& status);

}  // namespace cartsail
