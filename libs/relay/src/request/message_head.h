// Heads of HTTP messages as the relay passes them on: end-to-end headers stay as they came,
// headers of one connection are left out. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cartsail/net/http_types.h"

namespace cartsail {

// Headers that concern one connection only, among them those that `Connection` names.
bool IsHopByHop(std::string_view name, const HttpHeaders& headers);

// `headers` without the hop-by-hop ones, the message's length and those named in `without`
// (case-insensitive).
HttpHeaders EndToEndHeaders(const HttpHeaders& headers, const std::vector<std::string>& without);

// "GET /path HTTP/1.1", the headers and the empty line.
std::string RequestHeadText(std::string_view method, std::string_view target,
                            const HttpHeaders& headers);

// "HTTP/1.1 200 OK", the headers and the empty line.
std::string ResponseHeadText(int status, std::string_view reason, const HttpHeaders& headers);

}  // namespace cartsail
