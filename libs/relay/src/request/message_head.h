// Builds the heads of forwarded HTTP messages: end-to-end headers are kept unchanged, hop-by-hop
// headers are removed. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cartsail/net/http_types.h"

namespace cartsail {

// True for headers that apply to a single connection, including those listed in the Connection
// header of `headers`.
bool IsHopByHop(std::string_view name, const HttpHeaders& headers);

// Returns `headers` without hop-by-hop headers, Content-Length and the names in `without`
// (case-insensitive).
HttpHeaders EndToEndHeaders(const HttpHeaders& headers, const std::vector<std::string>& without);

// The request line ("GET /path HTTP/1.1"), the headers and the empty line.
std::string RequestHeadText(std::string_view method, std::string_view target,
                            const HttpHeaders& headers);

// The status line ("HTTP/1.1 200 OK"), the headers and the empty line.
std::string ResponseHeadText(int status, std::string_view reason, const HttpHeaders& headers);

}  // namespace cartsail
