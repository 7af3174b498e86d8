// Typed errors: every failure is an absl::Status that carries an ErrorKind.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cartsail {

// All kinds of failure. ErrorKindName() returns the name used in JSON bodies (`error.kind`), logs
// and exit messages.
enum class ErrorKind {
  kInternal,
  kInvalidArgument,         // a flag, an environment variable or an argument is invalid
  kMalformedRequest,        // HTTP or JSON that does not parse
  kHeadersTooLarge,         // the header section exceeds the limit
  kBodyTooLarge,            // the body exceeds the limit
  kUnknownKey,              // no tenant has this API key
  kUnknownModel,            // no engine serves this model
  kUnknownService,          // the tenant has no such service
  kUnknownClass,            // the service has no such class
  kUnknownStream,           // no engine holds this stream, or it belongs to another caller
  kUnknownPath,             // no such endpoint
  kIdempotencyKeyRequired,  // a non-repeatable request has no idempotency key
  kIdempotencyKeyInUse,     // the idempotency key has already been claimed
  kRateLimited,             // the tenant's rate limit is exceeded
  kOverloaded,              // rejected: the pool is full at this tier
  kQueueTimeout,            // rejected after the longest wait that its class allows
  kNoBackend,               // no live back end serves the request
  kStreamVersionUnknown,    // the engine version that began the stream is not known
  kStreamVersionGone,       // no engine of the version that began the stream is left
  kQuarantined,             // back ends ended while running this request: it is not sent to others
  kBackendRefused,          // the back end answered that it did not start the request
  kBackendFailed,           // the back end broke off its answer, or the answer is unusable
  kConnectFailed,           // no connection could be made; nothing was sent
  kConnectionLost,          // the connection was lost after bytes may have been sent
  kTimeout,                 // no answer in time
  kPreempted,               // the slot was reclaimed for a higher tier
  kSuperseded,              // another connection took over this stream
  kPlatformUnavailable,     // the key-value service does not answer
  kPlatformThrottled,       // the key-value service refused the call due to its rate limit
  kConflict,                // a compare-and-swap failed due to another writer
  kInvalidSetting,          // a settings edit failed validation
  kNotReady,                // the node has no configuration yet
  kDraining,                // the node is shutting down
  kPeerUnavailable,         // another node does not answer
  kHistoryLost,             // the store no longer has the requested changes
  kStaleRevision,           // the revision is not newer than the current one, or leaves a gap
  kCancelled,               // the caller disconnected
};

// What the caller of a failed request may assume about its execution.
enum class Outcome {
  kNotRun,   // certain: no back end has started it
  kUnknown,  // a back end may have started it
  kPartial,  // part of the answer was delivered
};

std::string_view ErrorKindName(ErrorKind kind);
std::string_view OutcomeName(Outcome outcome);

// The HTTP status with which `kind` is reported to a caller.
int HttpStatusFor(ErrorKind kind);

// Returns a non-OK status that carries `kind`. `message` is meant for people and is never parsed.
absl::Status MakeError(ErrorKind kind, std::string_view message);

// The kind that a status carries; kInternal for a status not made by MakeError(), also an OK one.
ErrorKind KindOf(const absl::Status& status);

}  // namespace cartsail
