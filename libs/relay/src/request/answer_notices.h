// Reads what back ends report about themselves in the headers of their answers and records it for
// the placement of all requests.
#pragma once

#include <optional>

#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// The head of a back end's answer.
struct NoticedAnswer {
  int status = 0;
  const HttpHeaders& headers;
  TimePoint asked{};  // when the answered request was sent; the clock's epoch: unknown
};

// Returns the back-off and the leaving flag that an answer reports; `told` is left unset. An answer
// with status 421 comes from another process than the addressed one and reports nothing about it.
BackendNotice ParseNotice(int status, const HttpHeaders& headers, const WireNames& names);

// Returns the rate limit that the answer reports, in requests per second; `read` is left unset.
// nullopt: the answer does not tell. A missing header means "no limit" only in the answer to a
// request that was run, which carries a signature.
std::optional<RateNotice> ParseRateLimit(const NoticedAnswer& answer, const WireNames& names);

// The same for the rate of rejections that a brittle back end can sustain, in requests per second.
std::optional<RateNotice> ParseBrittleLimit(const NoticedAnswer& answer, const WireNames& names);

// Call for the head of every answer of `backend`, as soon as it is read.
void NoteAnswer(RelayContext& context, const Backend& backend, const NoticedAnswer& answer);

}  // namespace cartsail
