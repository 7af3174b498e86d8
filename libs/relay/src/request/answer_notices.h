// Reads what back ends say of themselves in answers, and notes it for all ways to a back end.
#pragma once

#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// Of an answer with this status and these headers, without the time. An answer by another process
// than the one that was meant (421) says nothing of that one.
BackendNotice NoticeIn(int status, const HttpHeaders& headers, const WireNames& names);

// To be called for the head of every answer of `backend`, as soon as it is read.
void NoteAnswer(RelayContext& context, const Backend& backend, int status,
                const HttpHeaders& headers);

}  // namespace cartsail
