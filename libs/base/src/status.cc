#include "cartsail/base/status.h"

#include <absl/strings/cord.h>

#include <array>

namespace cartsail {
namespace {

constexpr std::string_view kKindPayloadUrl = "cartsail/error-kind";

struct KindInfo {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  absl::StatusCode code;
};

constexpr std::array kKinds = {
    KindInfo{ErrorKind::kInternal, "internal", 500, absl::StatusCode::kInternal},
    KindInfo{ErrorKind::kInvalidArgument, "invalid_argument", 400,
             absl::StatusCode::kInvalidArgument},
    KindInfo{ErrorKind::kMalformedRequest, "malformed_request", 400,
             absl::StatusCode::kInvalidArgument},
    KindInfo{ErrorKind::kHeadersTooLarge, "headers_too_large", 431,
             absl::StatusCode::kInvalidArgument},
    KindInfo{ErrorKind::kBodyTooLarge, "body_too_large", 413, absl::StatusCode::kInvalidArgument},
    KindInfo{ErrorKind::kUnknownKey, "unknown_key", 401, absl::StatusCode::kUnauthenticated},
    KindInfo{ErrorKind::kUnknownModel, "unknown_model", 404, absl::StatusCode::kNotFound},
    KindInfo{ErrorKind::kUnknownService, "unknown_service", 404, absl::StatusCode::kNotFound},
    KindInfo{ErrorKind::kUnknownClass, "unknown_class", 404, absl::StatusCode::kNotFound},
    KindInfo{ErrorKind::kUnknownStream, "unknown_stream", 404, absl::StatusCode::kNotFound},
    KindInfo{ErrorKind::kUnknownPath, "unknown_path", 404, absl::StatusCode::kNotFound},
    KindInfo{ErrorKind::kIdempotencyKeyRequired, "idempotency_key_required", 400,
             absl::StatusCode::kInvalidArgument},
    KindInfo{ErrorKind::kIdempotencyKeyInUse, "idempotency_key_in_use", 409,
             absl::StatusCode::kAlreadyExists},
    KindInfo{ErrorKind::kRateLimited, "rate_limited", 429, absl::StatusCode::kResourceExhausted},
    KindInfo{ErrorKind::kOverloaded, "overloaded", 503, absl::StatusCode::kResourceExhausted},
    KindInfo{ErrorKind::kQueueTimeout, "queue_timeout", 503, absl::StatusCode::kDeadlineExceeded},
    KindInfo{ErrorKind::kNoBackend, "no_backend", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kStreamVersionUnknown, "stream_version_unknown", 503,
             absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kStreamVersionGone, "stream_version_gone", 503,
             absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kQuarantined, "quarantined", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kBackendRefused, "backend_refused", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kBackendFailed, "backend_failed", 502, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kConnectFailed, "connect_failed", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kConnectionLost, "connection_lost", 502, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kTimeout, "timeout", 504, absl::StatusCode::kDeadlineExceeded},
    KindInfo{ErrorKind::kPreempted, "preempted", 503, absl::StatusCode::kAborted},
    KindInfo{ErrorKind::kSuperseded, "superseded", 409, absl::StatusCode::kAborted},
    KindInfo{ErrorKind::kPlatformUnavailable, "platform_unavailable", 503,
             absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kPlatformThrottled, "platform_throttled", 503,
             absl::StatusCode::kResourceExhausted},
    KindInfo{ErrorKind::kConflict, "conflict", 409, absl::StatusCode::kAborted},
    KindInfo{ErrorKind::kInvalidSetting, "invalid_setting", 400,
             absl::StatusCode::kInvalidArgument},
    KindInfo{ErrorKind::kNotReady, "not_ready", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kDraining, "draining", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kPeerUnavailable, "peer_unavailable", 503, absl::StatusCode::kUnavailable},
    KindInfo{ErrorKind::kHistoryLost, "history_lost", 503, absl::StatusCode::kOutOfRange},
    KindInfo{ErrorKind::kStaleRevision, "stale_revision", 409,
             absl::StatusCode::kFailedPrecondition},
    KindInfo{ErrorKind::kCancelled, "cancelled", 499, absl::StatusCode::kCancelled},
};

const KindInfo& InfoOf(ErrorKind kind) {
  for (const KindInfo& info : kKinds) {
    if (info.kind == kind) return info;
  }
  return kKinds[0];
}

}  // namespace

std::string_view ErrorKindName(ErrorKind kind) { return InfoOf(kind).name; }

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kPartial:
      return "partial";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

int HttpStatusFor(ErrorKind kind) { return InfoOf(kind).http_status; }

absl::Status MakeError(ErrorKind kind, std::string_view message) {
  const KindInfo& info = InfoOf(kind);
  absl::Status status(info.code, absl::string_view(message.data(), message.size()));
  status.SetPayload(absl::string_view(kKindPayloadUrl.data(), kKindPayloadUrl.size()),
                    absl::Cord(absl::string_view(info.name.data(), info.name.size())));
  return status;
}

ErrorKind KindOf(const absl::Status& status) {
  const auto payload =
      status.GetPayload(absl::string_view(kKindPayloadUrl.data(), kKindPayloadUrl.size()));
  if (!payload.has_value()) return ErrorKind::kInternal;
  const std::string name(*payload);
  for (const KindInfo& info : kKinds) {
    if (info.name == name) return info.kind;
  }
  return ErrorKind::kInternal;
}

}  // namespace cartsail
