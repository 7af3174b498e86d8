// Reads what back ends say of themselves in answers, and notes it for all ways to a back end.
#pragma once

#include <optional>

#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// The head of an answer of a back end.
struct NoticedAnswer {
  int status = 0;
  const HttpHeaders& headers;
  TimePoint asked{};  // when the request was sent that it answers; long past: unknown
};

// Of an answer with this status and these headers, without the time. An answer by another process
// than the one that was meant (421) says nothing of that one.
BackendNotice ParseNotice(int status, const HttpHeaders& headers, const WireNames& names);

// What the answer says of the rate that its back end takes, without the time at which it was read.
// Nothing: it says nothing of it. Only an answer of a run, which carries a signature, says that
// there is no bound by not naming one.
std::optional<RateWord> ParseRateLimit(const NoticedAnswer& answer, const WireNames& names);

// The same of the requests a second that a brittle back end bears to turn away.
std::optional<RateWord> ParseBrittleLimit(const NoticedAnswer& answer, const WireNames& names);

// To be called for the head of every answer of `backend`, as soon as it is read.
void NoteAnswer(RelayContext& context, const Backend& backend, const NoticedAnswer& answer);

}  // namespace cartsail
